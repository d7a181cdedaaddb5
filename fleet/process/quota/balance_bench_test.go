package quota_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/quota"
)

func BenchmarkReserveSettle(b *testing.B) {
	var balance quota.Balance
	balance.Add(1 << 60)
	b.ReportAllocs()
	for b.Loop() {
		if balance.Reserve(100) {
			balance.Settle(100, 60)
		}
	}
}

func BenchmarkReserveSettleParallel(b *testing.B) {
	var balance quota.Balance
	balance.Add(1 << 60)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if balance.Reserve(100) {
				balance.Settle(100, 60)
			}
		}
	})
}

func BenchmarkTick300Budgets(b *testing.B) {
	c := newCluster(4, 1<<40, policies["shrinking"])
	holder := c.nodes[0].manager
	now := c.now
	for number := range 300 {
		allocation := holder.Allocation(fmt.Sprintf("budget-%04d", number))
		allocation.Purchased = 1 << 40
		allocation.Granted = 1 << 30
		allocation.Balance.Add(1 << 20)
		allocation.RecordSeen = true
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
