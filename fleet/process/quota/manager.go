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
	holding, ok := b.Allocations[budget]
	if !ok {
		holding = newAllocation(budget, b.Balances.Get(budget), b.Window)
		b.Allocations[budget] = holding
	}
	return holding
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
func (b *Manager[S]) SetSupply(banking Supply) {
	b.Supply = banking
}

// SetPurchased takes the total purchased in the configuration in force. It is
// called before a budget's first use here and when the configuration changes
// for those in Holdings.
func (b *Manager[S]) SetPurchased(budget string, purchased int64) {
	holding := b.Allocation(budget)
	if purchased > holding.Purchased {
		holding.Purchased = purchased
		holding.Remaining = unknownRemaining
		holding.resetSearchBackoff()
	}
}

// Request says that requests wait for need credits in sum, or that none wait any
// more if it is zero. It is called when that sum changes and, while any wait,
// from time to time. Searching then tells whether to keep them.
func (b *Manager[S]) Request(budget string, need int64, now time.Time) Actions {
	holding := b.Allocation(budget)
	if need == 0 || now.Before(holding.SearchRetryAt) {
		holding.Search = Search{}
		return Actions{}
	}
	if holding.Search.Need == 0 {
		holding.Search.StartedAt = now
		holding.Searches++
		holding.observeRequest(need)
		holding.Search.RequestedAt = make(map[ident.Incarnation]time.Time)
		holding.Search.Replied = make(map[ident.Incarnation]bool)
	}
	holding.Search.Need = need
	return b.search(holding, now)
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
	holding := b.Allocation(budget)
	holding.UpdatePending = false
	holding.OutcomeUnknown = false
	holding.StoreUnavailable = false
	holding.StoreFailures = 0
	holding.StoreRetryAt = time.Time{}
	holding.applyView(view, now)
	holding.RecordClosed = holding.RecordClosed || view.Record.Closed || (holding.RecordSeen && !view.Found)
	holding.RecordSeen = holding.RecordSeen || view.Found
	if view.Found && !view.Record.Closed {
		holding.applyGrant(view.Record.Granted)
		holding.dropSupersededSets(view.Record)
		holding.RefundStored = max(holding.RefundStored, view.Record.Returned)
		holding.applyCeiling()
	}
	if holding.RecordClosed {
		holding.RefundStored = holding.Refunded
	}
	holding.Search.handleStoreReply(view.Remaining)
	orders := b.sendPending(holding, now)
	orders.Add(b.search(holding, now))
	return orders
}

// ObserveAccount takes the account of a budget that was read along with others, while
// nothing was changed on it.
func (b *Manager[S]) ObserveAccount(budget string, view account.View, now time.Time) {
	holding, ok := b.Allocations[budget]
	if !ok || holding.UpdatePending {
		return
	}
	holding.applyView(view, now)
}

// HandleStoreFailure says that the store gave no answer for the budget's account.
func (b *Manager[S]) HandleStoreFailure(budget string, now time.Time) Actions {
	holding := b.Allocation(budget)
	holding.OutcomeUnknown = holding.OutcomeUnknown || holding.UpdatePending
	holding.StoreUnavailable = true
	holding.UpdatePending = false
	holding.StoreRetryAt = now.Add(backoff(MinStoreBackoff, MaxStoreBackoff, holding.StoreFailures))
	holding.StoreFailures++
	holding.Search.handleStoreReply(0)
	return b.search(holding, now)
}

// HandleStoreRecovery says that the store answers again, so that what waits for its next
// try need not wait any longer.
func (b *Manager[S]) HandleStoreRecovery() {
	for _, holding := range b.Allocations {
		holding.StoreUnavailable = false
		holding.StoreFailures = 0
		holding.StoreRetryAt = time.Time{}
		holding.resetSearchBackoff()
	}
}

// Tick estimates demand, refills what runs low, looks after guards and repeats
// what was not confirmed. It is called about once a second.
func (b *Manager[S]) Tick(now time.Time) Actions {
	var orders Actions
	budgets := slices.Sorted(maps.Keys(b.Allocations))
	joint := false
	for _, budget := range budgets {
		holding := b.Allocations[budget]
		holding.Demand.Observe(b.demandTotal(holding), now)
		joint = joint || b.Sizing.GrantAmount(b.sizingInput(holding)) > 0
	}
	b.Batched = joint
	defer func() { b.Batched = false }()
	for _, budget := range budgets {
		holding := b.Allocations[budget]
		orders.Add(b.resendTransfers(holding, now))
		if holding.Closing {
			orders.Add(b.continueClose(holding, now))
			continue
		}
		b.maintainWitnesses(holding)
		orders.Add(b.requestCeiling(holding, now))
		orders.Add(b.refillAmount(holding, now))
		orders.Add(b.search(holding, now))
		orders.Add(b.refund(holding, now))
	}
	return orders
}

// demandTotal returns the monotone total by which demand is estimated.
func (b *Manager[S]) demandTotal(holding *Allocation) int64 {
	total := holding.Balance.Level().Spent + holding.RefusedCredits
	if b.Supply.Supplies {
		for _, exchange := range holding.Transfers {
			total += exchange.SentTotal
		}
	}
	return total
}

// Close gives up the rights in one budget, at drain, when no request is in
// progress. They return to the store, or pass to a peer if the store is away.
// It is called again until Closed.
func (b *Manager[S]) Close(budget string, now time.Time) Actions {
	holding := b.Allocation(budget)
	if b.Closed(budget) || holding.UpdatePending {
		return Actions{}
	}
	if holding.Closing {
		return b.continueClose(holding, now)
	}
	if holding.OutcomeUnknown && !now.Before(holding.StoreRetryAt) {
		return b.requestGrant(holding, now)
	}
	away := holding.StoreUnavailable || !holding.RecordSeen || holding.RecordClosed
	if away && len(b.Peers) > 0 {
		orders := b.handOver(holding, now)
		orders.Add(b.refund(holding, now))
		return orders
	}
	if away {
		return b.refund(holding, now)
	}
	holding.Returned = holding.Refunded + holding.Unacknowledged() + holding.Balance.Take(math.MaxInt64)
	holding.Closing = true
	return b.continueClose(holding, now)
}

// Closed reports whether no rights are left here in one budget.
func (b *Manager[S]) Closed(budget string) bool {
	holding := b.Allocation(budget)
	settled := holding.RecordClosed || (!holding.RecordSeen && !holding.OutcomeUnknown)
	return settled && holding.Held() == 0 && holding.Refunded <= holding.RefundStored
}

// backoff doubles the pause with each failure.
func backoff(least, most time.Duration, failures int) time.Duration {
	return min(most, least<<min(failures, 20))
}

// continueClose orders the return until the store has it. What comes in meanwhile
// goes on to a peer.
func (b *Manager[S]) continueClose(holding *Allocation, now time.Time) Actions {
	var orders Actions
	if holding.Balance.Level().Available > 0 && len(b.Peers) > 0 {
		orders = b.handOver(holding, now)
	}
	if holding.RecordClosed || now.Before(holding.StoreRetryAt) {
		return orders
	}
	orders.Returns = []account.Return{{
		Budget:   holding.Budget,
		Holder:   b.Self,
		Granted:  holding.Granted,
		Returned: holding.Returned,
	}}
	return orders
}

// handOver passes all rights to the nearest peer, those that are parked once the
// guards allow it.
func (b *Manager[S]) handOver(holding *Allocation, now time.Time) Actions {
	heir := b.Peers[0]
	exchange := holding.Transfers[heir]
	exchange.Pending = holding.Unacknowledged()
	holding.Transfers[heir] = exchange
	orders := b.send(holding, heir, holding.Balance.Take(math.MaxInt64), now)
	orders.Add(b.requestCeiling(holding, now))
	return orders
}
