package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// Times after which something is tried again or given up. No safety rests on
// them.
const (
	// MinSearchBackoff and MaxSearchBackoff bound how long a search that found too little is
	// not repeated. The pause doubles until credits come in.
	MinSearchBackoff = time.Second
	MaxSearchBackoff = 8 * time.Second
	// MinStoreBackoff and MaxStoreBackoff bound the pause after a failed write. It
	// doubles until the store answers.
	MinStoreBackoff = time.Second
	MaxStoreBackoff = 16 * time.Second
	// TransferRequestTimeout is how long a search waits for one peer.
	TransferRequestTimeout = 500 * time.Millisecond
	// EmptyAccountDelay is how long an account that was seen empty is not asked again.
	EmptyAccountDelay = time.Second
	// CeilingRetryDelay is the pause before a raise is sent again.
	CeilingRetryDelay = time.Second
	// TransferRetryDelay is the pause before a transfer is sent again.
	TransferRetryDelay = 2 * time.Second
)

// FirstWavePeers is how many of the nearest peers are asked before others, and
// MaxSearchPeers how many are asked in one search. The next search asks others.
const (
	FirstWavePeers = 2
	MaxSearchPeers = 18
)

const unknownRemaining = math.MaxInt64

// Manager decides on the rights of one holder in all its budgets. Only the control
// thread uses it. It sends and writes nothing itself: every method returns the
// orders that follow.
//
// A view passed to HandleAccount must be of a page no older than any page passed
// before. Window is the time constant of the demand estimates. Joint is true while
// draws are made anyway, so that one more costs no further call. VM names where the
// holder runs.
type Manager[S SizingPolicy] struct {
	Self        ident.Incarnation
	VM          string
	Window      time.Duration
	Batched     bool
	Sizing      S
	Balances    *Balances
	Peers       []ident.Incarnation
	Supply      Supply
	Allocations map[string]*Allocation
}

// New returns a book without rights.
func New[S SizingPolicy](self ident.Incarnation, sizer S, purses *Balances) *Manager[S] {
	return &Manager[S]{
		Self:        self,
		Window:      DemandWindow,
		Sizing:      sizer,
		Balances:    purses,
		Allocations: make(map[string]*Allocation),
	}
}

// Allocation returns the state of one budget.
func (b *Manager[S]) Allocation(budget string) *Allocation {
	allocation, ok := b.Allocations[budget]
	if !ok {
		allocation = newAllocation(budget, b.Balances.Get(budget), b.Window)
		b.Allocations[budget] = allocation
	}
	return allocation
}

// SetPeers takes the peers that can be reached, those first that are best to
// pull from and to have as guards.
func (b *Manager[S]) SetPeers(peers []ident.Incarnation) {
	b.Peers = slices.Clone(peers)
}

// Supply is how a large fleet keeps most of its processes from drawing on the
// store. A holder refills from one of Bankers, or draws itself if there are none.
// Banks says that others refill here, which makes their demand its own, and All is
// how many processes of the fleet draw on the store: they share what remains.
type Supply struct {
	Suppliers     []ident.Incarnation
	Supplies      bool
	DirectHolders int
}

// SetSupply takes who draws on the store for whom.
func (b *Manager[S]) SetSupply(supply Supply) {
	b.Supply = supply
}

// SetPurchased takes the total purchased in the configuration in force. It is
// called before a budget's first use here and when the configuration changes
// for those in Holdings.
func (b *Manager[S]) SetPurchased(budget string, purchased int64) {
	allocation := b.Allocation(budget)
	if purchased > allocation.Purchased {
		allocation.Purchased = purchased
		allocation.Remaining = unknownRemaining
		allocation.resetSearchBackoff()
	}
}

// Request says that requests wait for need credits in sum, or that none wait any
// more if it is zero. It is called when that sum changes and, while any wait,
// from time to time. Searching then tells whether to keep them.
func (b *Manager[S]) Request(budget string, need int64, now time.Time) Actions {
	allocation := b.Allocation(budget)
	if need == 0 || now.Before(allocation.SearchRetryAt) {
		allocation.Search = Search{}
		return Actions{}
	}
	if allocation.Search.Need == 0 {
		allocation.Search.StartedAt = now
		allocation.Searches++
		allocation.observeRequest(need)
		allocation.Search.RequestedAt = make(map[ident.Incarnation]time.Time)
		allocation.Search.Replied = make(map[ident.Incarnation]bool)
	}
	allocation.Search.Need = need
	return b.search(allocation, now)
}

// Searching reports whether the search for credits goes on. Requests that still
// do not fit the purse when it has ended are refused.
func (b *Manager[S]) Searching(budget string) bool {
	return b.Allocation(budget).Search.Need > 0
}

// AddRefused notes that a request was refused, as a part of the demand.
func (b *Manager[S]) AddRefused(budget string, need int64) {
	b.Allocation(budget).RefusedCredits += need
}

// HandleAccount takes the account as it is in the store, after an update that took
// effect, one that was not needed, or a read.
func (b *Manager[S]) HandleAccount(budget string, view account.View, now time.Time) Actions {
	allocation := b.Allocation(budget)
	allocation.UpdatePending = false
	allocation.OutcomeUnknown = false
	allocation.StoreUnavailable = false
	allocation.StoreFailures = 0
	allocation.StoreRetryAt = time.Time{}
	allocation.applyView(view, now)
	allocation.RecordClosed = allocation.RecordClosed || view.Record.Closed || (allocation.RecordSeen && !view.Found)
	allocation.RecordSeen = allocation.RecordSeen || view.Found
	if view.Found && !view.Record.Closed {
		allocation.applyGrant(view.Record.Granted)
		allocation.dropSupersededSets(view.Record)
		allocation.RefundStored = max(allocation.RefundStored, view.Record.Returned)
		allocation.applyCeiling()
	}
	if allocation.RecordClosed {
		allocation.RefundStored = allocation.Refunded
	}
	allocation.Search.handleStoreReply(view.Remaining)
	actions := b.sendPending(allocation, now)
	actions.Add(b.search(allocation, now))
	return actions
}

// ObserveAccount takes the account of a budget that was read along with others, while
// nothing was changed on it.
func (b *Manager[S]) ObserveAccount(budget string, view account.View, now time.Time) {
	allocation, ok := b.Allocations[budget]
	if !ok || allocation.UpdatePending {
		return
	}
	allocation.applyView(view, now)
}

// HandleStoreFailure says that the store gave no answer for the budget's account.
func (b *Manager[S]) HandleStoreFailure(budget string, now time.Time) Actions {
	allocation := b.Allocation(budget)
	allocation.OutcomeUnknown = allocation.OutcomeUnknown || allocation.UpdatePending
	allocation.StoreUnavailable = true
	allocation.UpdatePending = false
	allocation.StoreRetryAt = now.Add(backoff(MinStoreBackoff, MaxStoreBackoff, allocation.StoreFailures))
	allocation.StoreFailures++
	allocation.Search.handleStoreReply(0)
	return b.search(allocation, now)
}

// HandleStoreRecovery says that the store answers again, so that what waits for its next
// try need not wait any longer.
func (b *Manager[S]) HandleStoreRecovery() {
	for _, allocation := range b.Allocations {
		allocation.StoreUnavailable = false
		allocation.StoreFailures = 0
		allocation.StoreRetryAt = time.Time{}
		allocation.resetSearchBackoff()
	}
}

// Tick estimates demand, refills what runs low, looks after guards and repeats
// what was not confirmed. It is called about once a second.
func (b *Manager[S]) Tick(now time.Time) Actions {
	var actions Actions
	budgets := slices.Sorted(maps.Keys(b.Allocations))
	joint := false
	for _, budget := range budgets {
		allocation := b.Allocations[budget]
		allocation.Demand.Observe(b.demandTotal(allocation), now)
		joint = joint || b.Sizing.GrantAmount(b.sizingInput(allocation)) > 0
	}
	b.Batched = joint
	defer func() { b.Batched = false }()
	for _, budget := range budgets {
		allocation := b.Allocations[budget]
		actions.Add(b.resendTransfers(allocation, now))
		if allocation.Closing {
			actions.Add(b.continueClose(allocation, now))
			continue
		}
		b.maintainWitnesses(allocation)
		actions.Add(b.requestCeiling(allocation, now))
		actions.Add(b.refillAmount(allocation, now))
		actions.Add(b.search(allocation, now))
		actions.Add(b.refund(allocation, now))
	}
	return actions
}

// demandTotal returns the monotone total by which demand is estimated.
func (b *Manager[S]) demandTotal(allocation *Allocation) int64 {
	total := allocation.Balance.Level().Spent + allocation.RefusedCredits
	if b.Supply.Supplies {
		for _, transfers := range allocation.Transfers {
			total += transfers.SentTotal
		}
	}
	return total
}

// Close gives up the rights in one budget, at drain, when no request is in
// progress. They return to the store, or pass to a peer if the store is away.
// It is called again until Closed.
func (b *Manager[S]) Close(budget string, now time.Time) Actions {
	allocation := b.Allocation(budget)
	if b.Closed(budget) || allocation.UpdatePending {
		return Actions{}
	}
	if allocation.Closing {
		return b.continueClose(allocation, now)
	}
	if allocation.OutcomeUnknown && !now.Before(allocation.StoreRetryAt) {
		return b.requestGrant(allocation, now)
	}
	away := allocation.StoreUnavailable || !allocation.RecordSeen || allocation.RecordClosed
	if away && len(b.Peers) > 0 {
		actions := b.handOver(allocation, now)
		actions.Add(b.refund(allocation, now))
		return actions
	}
	if away {
		return b.refund(allocation, now)
	}
	allocation.Returned = allocation.Refunded + allocation.Unacknowledged() + allocation.Balance.Take(math.MaxInt64)
	allocation.Closing = true
	return b.continueClose(allocation, now)
}

// Closed reports whether no rights are left here in one budget.
func (b *Manager[S]) Closed(budget string) bool {
	allocation := b.Allocation(budget)
	settled := allocation.RecordClosed || (!allocation.RecordSeen && !allocation.OutcomeUnknown)
	return settled && allocation.Held() == 0 && allocation.Refunded <= allocation.RefundStored
}

// backoff doubles the pause with each failure.
func backoff(least, most time.Duration, failures int) time.Duration {
	return min(most, least<<min(failures, 20))
}

// continueClose orders the return until the store has it. What comes in meanwhile
// goes on to a peer.
func (b *Manager[S]) continueClose(allocation *Allocation, now time.Time) Actions {
	var actions Actions
	if allocation.Balance.Level().Available > 0 && len(b.Peers) > 0 {
		actions = b.handOver(allocation, now)
	}
	if allocation.RecordClosed || now.Before(allocation.StoreRetryAt) {
		return actions
	}
	actions.Returns = []account.Return{{
		Budget:   allocation.Budget,
		Holder:   b.Self,
		Granted:  allocation.Granted,
		Returned: allocation.Returned,
	}}
	return actions
}

// handOver passes all rights to the nearest peer, those that are parked once the
// guards allow it.
func (b *Manager[S]) handOver(allocation *Allocation, now time.Time) Actions {
	successor := b.Peers[0]
	transfers := allocation.Transfers[successor]
	transfers.Pending = allocation.Unacknowledged()
	allocation.Transfers[successor] = transfers
	actions := b.send(allocation, successor, allocation.Balance.Take(math.MaxInt64), now)
	actions.Add(b.requestCeiling(allocation, now))
	return actions
}
