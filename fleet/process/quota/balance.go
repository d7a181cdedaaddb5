// Package quota manages the credits of prepaid budgets that are granted to this
// process.
//
// A credit is the unit in which budgets are purchased and requests are charged. A
// holder is one process incarnation to which credits of a budget are granted.
//
// Requests reserve credits from a Balance and settle them to the actual cost with
// atomic operations. The control thread fills the balances through a Manager, which
// decides which grants to request from the accounts in the store and which credits to
// transfer between peers. For each holder and budget this invariant holds:
//
//	ceiling + received - sent - refunded = available + reserved + spent
//
// When the holder closes, it removes the available credits and returns them as well.
//
// The ceiling is how much of its grant the holder may use, by spending or by
// transferring credits. Witnesses acknowledge each increase of the ceiling before it
// takes effect, so that a Recovery can reclaim the unacknowledged rest if the holder
// terminates without returning it. No step depends on a clock: a holder that was only
// paused cannot use more than its witnesses attested, since they refuse it any further
// increase.
//
// # Usage
//
// A request reserves an upper bound of its cost and settles to the actual cost:
//
//	if !balance.Reserve(upperBound) {
//		return refused
//	}
//	defer func() { balance.Settle(upperBound, actual) }()
//
// The control thread queues requests that could not reserve, carries out the actions
// and retries the requests after each event:
//
//	manager := quota.New(self, quota.NewDemandShrinking(len(routers)), balances)
//	actions := manager.Request(budget, sumOfWaiting, clock.Now())
//	// Update the account pages, send the messages, and handle the replies:
//	actions = manager.HandleAccount(budget, view, clock.Now())
//	actions = manager.HandleTransfer(message, clock.Now())
//	if !manager.Searching(budget) {
//		refuseRequestsThatStillDoNotFit()
//	}
package quota

import "sync/atomic"

// Balance holds the credits of one budget that this process may spend. All methods are
// safe for concurrent use and never block.
type Balance struct {
	available atomic.Int64
	reserved  atomic.Int64
	spent     atomic.Int64
}

// Level is a snapshot of a Balance, in credits.
type Level struct {
	Available int64 `json:"available"`
	Reserved  int64 `json:"reserved"`
	Spent     int64 `json:"spent"`
}

// Reserve moves the amount from available to reserved. It reports false and changes
// nothing if fewer credits are available.
func (b *Balance) Reserve(amount int64) bool {
	for {
		available := b.available.Load()
		if available < amount {
			return false
		}
		if b.available.CompareAndSwap(available, available-amount) {
			b.reserved.Add(amount)
			return true
		}
	}
}

// Settle ends a reservation: the actual cost is spent and the rest is available again.
// A cost above the reservation is capped at it.
func (b *Balance) Settle(reserved, actual int64) {
	actual = min(max(actual, 0), reserved)
	b.spent.Add(actual)
	b.reserved.Add(-reserved)
	b.available.Add(reserved - actual)
}

// Add makes more credits available. Only the control thread calls it.
func (b *Balance) Add(amount int64) {
	b.available.Add(amount)
}

// Take removes up to the amount from the available credits and returns how many it
// removed. Only the control thread calls it.
func (b *Balance) Take(amount int64) int64 {
	for {
		available := b.available.Load()
		taken := max(0, min(amount, available))
		if b.available.CompareAndSwap(available, available-taken) {
			return taken
		}
	}
}

// Level returns the current amounts. They are loaded one after the other, so that
// their sum can be off by reservations made or settled meanwhile.
func (b *Balance) Level() Level {
	return Level{
		Available: b.available.Load(),
		Reserved:  b.reserved.Load(),
		Spent:     b.spent.Load(),
	}
}
