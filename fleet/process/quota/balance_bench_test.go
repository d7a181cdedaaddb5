package quota_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/quota"
)

func BenchmarkReserveSettle(b *testing.B) {
	var purse quota.Balance
	purse.Add(1 << 60)
	b.ReportAllocs()
	for b.Loop() {
		if purse.Reserve(100) {
			purse.Settle(100, 60)
		}
	}
}

func BenchmarkReserveSettleParallel(b *testing.B) {
	var purse quota.Balance
	purse.Add(1 << 60)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if purse.Reserve(100) {
				purse.Settle(100, 60)
			}
		}
	})
}

func BenchmarkTick300Budgets(b *testing.B) {
	w := newCluster(4, 1<<40, policies["shrinking"])
	holder := w.nodes[0].manager
	now := w.now
	for number := range 300 {
		holding := holder.Allocation(fmt.Sprintf("budget-%04d", number))
		holding.Purchased = 1 << 40
		holding.Granted = 1 << 30
		holding.Balance.Add(1 << 20)
		holding.RecordSeen = true
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		holder.Tick(now)
	}
}

func BenchmarkAtomicAdd(b *testing.B) {
	var counter atomic.Int64
	b.ReportAllocs()
	for b.Loop() {
		counter.Add(1)
	}
}

func BenchmarkAtomicAddParallel(b *testing.B) {
	var counter atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			counter.Add(1)
		}
	})
}
