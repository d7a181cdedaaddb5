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
	var balance quota.Balance
	balance.Add(added)

	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range tries {
				if balance.Reserve(amount) {
					balance.Settle(amount, amount-1)
				}
			}
		})
	}
	group.Wait()

	got := balance.Level()
	if got.Spent > added {
		t.Errorf("spent: got %d, want at most %d", got.Spent, added)
	}
	if sum := got.Available + got.Spent + got.Reserved; sum != added {
		t.Errorf("sum: got %d, want %d", sum, added)
	}
}

func TestSettleCapsCostAtReservation(t *testing.T) {
	var balance quota.Balance
	balance.Add(10)
	if !balance.Reserve(4) {
		t.Fatal("reserve: got false, want true")
	}
	balance.Settle(4, 9)
	want := quota.Level{Available: 6, Spent: 4}
	if got := balance.Level(); got != want {
		t.Errorf("level: got %+v, want %+v", got, want)
	}
}
