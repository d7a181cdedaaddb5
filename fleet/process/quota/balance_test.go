package quota_test

import (
	"sync"
	"testing"

	"jacinthpaddle.example/fleet/process/quota"
)

func TestBalanceNeverSpendsMoreThanAdded(t *testing.T) {
	const (
		added   = 10_000
		workers = 16
		tries   = 1_000
		amount  = 3
	)
	var purse quota.Balance
	purse.Add(added)

	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range tries {
				if purse.Reserve(amount) {
					purse.Settle(amount, amount-1)
				}
			}
		})
	}
	group.Wait()

	got := purse.Level()
	if got.Spent > added {
		t.Errorf("spent: got %d, want at most %d", got.Spent, added)
	}
	if sum := got.Available + got.Spent + got.Reserved; sum != added {
		t.Errorf("sum: got %d, want %d", sum, added)
	}
}

func TestSettleCapsCostAtReservation(t *testing.T) {
	var purse quota.Balance
	purse.Add(10)
	if !purse.Reserve(4) {
		t.Fatal("reserve: got false, want true")
	}
	purse.Settle(4, 9)
	want := quota.Level{Available: 6, Spent: 4}
	if got := purse.Level(); got != want {
		t.Errorf("level: got %+v, want %+v", got, want)
	}
}
