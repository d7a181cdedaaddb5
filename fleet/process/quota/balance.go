// Package quota holds the part of prepaid budgets that this process may spend.
//
// Traffic spends from a Balance through atomics. The control thread fills it by a
// Manager, which decides what to draw from the accounts in the store and what to
// exchange with peers. All credits of a holder are in this sum:
//
//	ceiling + received - passed = available + reserved + spent
//
// The ceiling is the part of the granted total that may leave the purse. Guards
// acknowledge each rise of it, so that the rest, which is parked, can be
// reclaimed by a Recovery if the holder is lost. No step of this rests on a
// clock: a holder that was only paused can spend no more than what the guards
// attested, since they refuse it any further rise.
//
// # Usage
//
// Traffic reserves an upper bound and settles to the cost:
//
//	if !purse.Reserve(upperBound) {
//		return refused
//	}
//	defer func() { purse.Settle(upperBound, actual) }()
//
// The control thread keeps requests that did not fit, obeys the orders and
// tries the requests again after each event:
//
//	book := quota.New(self, quota.NewDemandShrinking(len(routers)), purses)
//	orders := book.Request(budget, sumOfWaiting, clock.Now())
//	// update the account pages, send the messages, and on answers:
//	orders = book.HandleAccount(budget, view, clock.Now())
//	orders = book.HandleTransfer(message, clock.Now())
//	if !book.Searching(budget) {
//		refuseThoseThatStillDoNotFit()
//	}
package quota

import "sync/atomic"

// Balance is the spendable part of one budget in this process, in credits. All
// methods are safe for concurrent use and never block.
type Balance struct {
	available atomic.Int64
	reserved  atomic.Int64
	spent     atomic.Int64
}

// Level is a reading of a purse, in credits.
type Level struct {
	Available int64 `json:"available"`
	Reserved  int64 `json:"reserved"`
	Spent     int64 `json:"spent"`
}

// Reserve sets the amount aside and reports whether it was there.
func (p *Balance) Reserve(amount int64) bool {
	for {
		available := p.available.Load()
		if available < amount {
			return false
		}
		if p.available.CompareAndSwap(available, available-amount) {
			p.reserved.Add(amount)
			return true
		}
	}
}

// Settle ends a reservation: the actual cost is spent and the rest is
// available again. A cost above the reservation is cut to it.
func (p *Balance) Settle(reserved, actual int64) {
	actual = min(max(actual, 0), reserved)
	p.spent.Add(actual)
	p.reserved.Add(-reserved)
	p.available.Add(reserved - actual)
}

// Add makes more credits available. Only the control thread calls it.
func (p *Balance) Add(amount int64) {
	p.available.Add(amount)
}

// Take removes up to the amount from what is available and returns how much it
// took. Only the control thread calls it.
func (p *Balance) Take(amount int64) int64 {
	for {
		available := p.available.Load()
		taken := max(0, min(amount, available))
		if p.available.CompareAndSwap(available, available-taken) {
			return taken
		}
	}
}

// Level returns the present amounts. They are read one after the other, so
// that their sum can be off by reservations in progress.
func (p *Balance) Level() Level {
	return Level{
		Available: p.available.Load(),
		Reserved:  p.reserved.Load(),
		Spent:     p.spent.Load(),
	}
}
