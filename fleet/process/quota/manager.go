package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// Delays and timeouts. No safety property depends on them.
const (
	// MinSearchBackoff is the first back-off after a search that found too little. It
	// doubles with each further one, up to MaxSearchBackoff, until credits become
	// available.
	MinSearchBackoff = time.Second
	MaxSearchBackoff = 8 * time.Second
	// MinStoreBackoff is the first back-off after a failed store call. It doubles with
	// each further one, up to MaxStoreBackoff, until the store replies.
	MinStoreBackoff = time.Second
	MaxStoreBackoff = 16 * time.Second
	// MaxSupplierBackoff replaces MaxStoreBackoff at a supplier.
	MaxSupplierBackoff = 2 * time.Second
	// TransferRequestTimeout is how long a search waits for the reply of one peer.
	TransferRequestTimeout = 250 * time.Millisecond
	// StoreHeadStart is how long a search waits for the store before it also queries peers.
	StoreHeadStart = 200 * time.Millisecond
	// EmptyAccountDelay is how long no grant is requested from an account that was
	// read as empty.
	EmptyAccountDelay = time.Second
	// CeilingRetryDelay is the delay before a CeilingRequest is sent again.
	CeilingRetryDelay = time.Second
	// TransferRetryDelay is the delay before an unacknowledged Transfer is sent again.
	TransferRetryDelay = 2 * time.Second
)

// Limits of the peers that are sent a TransferRequest.
const (
	// FirstWavePeers is the number of nearest peers that each search queries first.
	FirstWavePeers = 2
	// MaxSearchPeers is the number of all peers that one search queries. Beyond the
	// first wave the next search queries other peers.
	MaxSearchPeers = 18
)

// unknownRemaining is the value of Allocation.Remaining before the account was read.
const unknownRemaining = math.MaxInt64

// Manager decides on the quota of one holder in all its budgets. Only the control
// thread uses it. It performs no I/O: the methods return the actions to carry out.
type Manager[S SizingPolicy] struct {
	Self ident.Incarnation
	// VM is the name of the VM on which the holder runs.
	VM string
	// Window is the time constant of the demand estimates.
	Window time.Duration
	// Batched is true during a Tick in which the sizing policy requests a grant for any
	// budget. Budgets share account pages, so that a grant for another budget of the
	// same page causes no additional store call.
	Batched  bool
	Sizing   S
	Balances *Balances
	// Peers lists the reachable peers in the order of preference.
	Peers       []ident.Incarnation
	Supply      Supply
	Allocations map[string]*Allocation
	// reachableSuppliers and reachableHomes have the processes of Supply that are reachable.
	reachableSuppliers []ident.Incarnation
	reachableHomes     []ident.Incarnation
	// silent has the suppliers that did not reply to a search, until when they are avoided.
	silent map[ident.Incarnation]time.Time
}

// New returns a manager without quota.
func New[S SizingPolicy](self ident.Incarnation, sizing S, balances *Balances) *Manager[S] {
	return &Manager[S]{
		Self:        self,
		Window:      DemandWindow,
		Sizing:      sizing,
		Balances:    balances,
		Allocations: make(map[string]*Allocation),
		silent:      make(map[ident.Incarnation]time.Time),
	}
}

// Allocation returns the state of one budget and creates it on first use.
func (m *Manager[S]) Allocation(budget string) *Allocation {
	allocation, ok := m.Allocations[budget]
	if !ok {
		allocation = newAllocation(budget, m.Balances.Get(budget), m.Window)
		m.Allocations[budget] = allocation
	}
	return allocation
}

// SetPeers sets the reachable peers, in the order of preference for transfer requests
// and as witnesses.
func (m *Manager[S]) SetPeers(peers []ident.Incarnation) {
	m.Peers = slices.Clone(peers)
	m.updateReachable()
}

// SetPurchased sets the total purchased in the active configuration. It is called
// before the first use of a budget and, for those in Allocations, when the
// configuration changes. A total that is not higher than before is ignored.
func (m *Manager[S]) SetPurchased(budget string, purchased int64) {
	allocation := m.Allocation(budget)
	if purchased > allocation.Purchased {
		allocation.Purchased = purchased
		allocation.Remaining = unknownRemaining
		allocation.resetSearchBackoff()
	}
}

// Unread reports whether the account of the budget was not read since the start or the
// last purchase.
func (m *Manager[S]) Unread(budget string) bool {
	return m.Allocation(budget).unread()
}

// Request registers how many credits all waiting requests need together, or zero if
// none wait. It is called when that sum changes and repeatedly while any wait.
// Searching then reports whether to keep them waiting. During the search back-off no
// search is started.
func (m *Manager[S]) Request(budget string, need int64, now time.Time) Actions {
	allocation := m.Allocation(budget)
	allocation.BackingOff = now.Before(allocation.SearchRetryAt)
	if need == 0 || allocation.BackingOff {
		allocation.Search = Search{}
		return Actions{}
	}
	if allocation.Search.Need == 0 {
		allocation.Search.StartedAt = now
		allocation.Searches++
		allocation.observeRequest(need)
		allocation.Search.Store = StoreNotAsked
		allocation.Search.RequestedAt = make(map[ident.Incarnation]time.Time)
		allocation.Search.Replied = make(map[ident.Incarnation]int64)
	}
	allocation.Search.Need = need
	return m.search(allocation, now)
}

// Searching reports whether a search for credits is in progress. Requests that the
// balance still cannot serve when it has ended are refused.
func (m *Manager[S]) Searching(budget string) bool {
	return m.Allocation(budget).Search.Need > 0
}

// HandleAccount applies the account as it is in the store, after an update that took
// effect, an update that was not needed, or a read. The view must be of a page no
// older than any page passed before.
func (m *Manager[S]) HandleAccount(budget string, view account.View, now time.Time) Actions {
	allocation := m.Allocation(budget)
	if allocation.StoreUnavailable && view.Remaining > 0 {
		m.restoreUnserved(allocation, now)
	}
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
	allocation.Search.handleStoreReply(view.Remaining, StoreEmpty)
	actions := m.sendPending(allocation, now)
	actions.Add(m.sendReserves(allocation, now))
	if view.Remaining == 0 {
		actions.Add(m.answerPending(allocation, now))
	}
	if m.Supply.Supplies && allocation.pendingTransfers()+allocation.pendingReserves() > 0 {
		actions.Add(m.requestGrant(allocation, now))
	}
	actions.Add(m.search(allocation, now))
	return actions
}

// ObserveAccount stores the remaining credits and the other holders of an account that
// was read along with others of its page, without an update for this budget.
func (m *Manager[S]) ObserveAccount(budget string, view account.View, now time.Time) {
	allocation, ok := m.Allocations[budget]
	if !ok || allocation.UpdatePending {
		return
	}
	allocation.applyView(view, now)
}

// HandleStoreFailure handles a failed store call for the account of the budget. A
// pending update may still have taken effect.
func (m *Manager[S]) HandleStoreFailure(budget string, now time.Time) Actions {
	allocation := m.Allocation(budget)
	allocation.OutcomeUnknown = allocation.OutcomeUnknown || allocation.UpdatePending
	allocation.StoreUnavailable = true
	allocation.UpdatePending = false
	allocation.StoreRetryAt = now.Add(backoff(MinStoreBackoff, m.maxStoreBackoff(), allocation.StoreFailures))
	allocation.StoreFailures++
	allocation.Search.handleStoreReply(0, StoreFailed)
	actions := m.sendPending(allocation, now)
	actions.Add(m.sendReserves(allocation, now))
	actions.Add(m.answerPending(allocation, now))
	actions.Add(m.search(allocation, now))
	return actions
}

// maxStoreBackoff returns the longest back-off after failed store calls. Peers wait for a
// supplier, and there are few of them.
func (m *Manager[S]) maxStoreBackoff() time.Duration {
	if m.Supply.Supplies {
		return MaxSupplierBackoff
	}
	return MaxStoreBackoff
}

// HandleStoreRecovery ends all back-offs once the store is available again.
func (m *Manager[S]) HandleStoreRecovery() {
	for _, allocation := range m.Allocations {
		allocation.StoreUnavailable = false
		allocation.StoreFailures = 0
		allocation.StoreRetryAt = time.Time{}
		allocation.resetSearchBackoff()
	}
}

// Tick updates the demand estimates, refills and refunds, replaces witnesses, and
// sends unacknowledged messages again. It is called about once a second.
func (m *Manager[S]) Tick(now time.Time) Actions {
	var actions Actions
	maps.DeleteFunc(m.silent, func(_ ident.Incarnation, until time.Time) bool { return !now.Before(until) })
	budgets := slices.Sorted(maps.Keys(m.Allocations))
	batched := false
	for _, budget := range budgets {
		allocation := m.Allocations[budget]
		allocation.Demand.Observe(m.demandTotal(allocation), now)
		batched = batched || m.Sizing.GrantAmount(m.sizing(allocation)) > 0
	}
	m.Batched = batched
	defer func() { m.Batched = false }()
	for _, budget := range budgets {
		allocation := m.Allocations[budget]
		actions.Add(m.resendTransfers(allocation, now))
		if allocation.Closing {
			actions.Add(m.continueClose(allocation, now))
			continue
		}
		m.maintainWitnesses(allocation)
		actions.Add(m.requestCeiling(allocation, now))
		actions.Add(m.refill(allocation, now))
		actions.Add(m.search(allocation, now))
		actions.Add(m.refund(allocation, now))
	}
	return actions
}

// demandTotal returns the monotone total from which the demand is estimated: spent and
// refused credits, and for a supplier those sent to peers.
func (m *Manager[S]) demandTotal(allocation *Allocation) int64 {
	total := allocation.Balance.Level().Spent + allocation.RefusedCredits
	if m.Supply.Supplies {
		total += allocation.usedByPeers()
	}
	return total
}

// Close gives up the quota in one budget, at drain, when no request is in progress.
// The credits are returned to the store. They are transferred to a peer instead while
// the store is unavailable or has no open record of this holder. Close is called again
// until Closed reports true.
func (m *Manager[S]) Close(budget string, now time.Time) Actions {
	allocation := m.Allocation(budget)
	if m.Closed(budget) || allocation.UpdatePending {
		return Actions{}
	}
	if allocation.Closing {
		return m.continueClose(allocation, now)
	}
	if allocation.OutcomeUnknown && !now.Before(allocation.StoreRetryAt) {
		return m.requestGrant(allocation, now)
	}
	cannotReturn := allocation.StoreUnavailable || !allocation.RecordSeen || allocation.RecordClosed
	if cannotReturn && len(m.Peers) > 0 {
		actions := m.handOver(allocation, now)
		actions.Add(m.refund(allocation, now))
		return actions
	}
	if cannotReturn {
		return m.refund(allocation, now)
	}
	allocation.Returned = allocation.Refunded + allocation.Unacknowledged() + allocation.Balance.Take(math.MaxInt64)
	allocation.Closing = true
	return m.continueClose(allocation, now)
}

// Closed reports whether the holder has no quota left in the budget and the store has
// recorded all refunds.
func (m *Manager[S]) Closed(budget string) bool {
	allocation := m.Allocation(budget)
	settled := allocation.RecordClosed || (!allocation.RecordSeen && !allocation.OutcomeUnknown)
	return settled && allocation.Held() == 0 && allocation.Refunded <= allocation.RefundStored
}

// backoff returns the delay after the number of failures: minDelay, doubled with each
// failure up to maxDelay.
func backoff(minDelay, maxDelay time.Duration, failures int) time.Duration {
	return min(maxDelay, minDelay<<min(failures, 20))
}

// continueClose returns the quota of a closing holder until the store has recorded it.
// Credits received meanwhile are handed over to a peer.
func (m *Manager[S]) continueClose(allocation *Allocation, now time.Time) Actions {
	var actions Actions
	if allocation.Balance.Level().Available > 0 && len(m.Peers) > 0 {
		actions = m.handOver(allocation, now)
	}
	if allocation.RecordClosed || now.Before(allocation.StoreRetryAt) {
		return actions
	}
	actions.Returns = []account.Return{{
		Budget:   allocation.Budget,
		Holder:   m.Self,
		Granted:  allocation.Granted,
		Returned: allocation.Returned,
	}}
	return actions
}

// handOver transfers all credits to the nearest peer: the available ones at once, the
// unacknowledged ones when the witnesses have acknowledged them.
func (m *Manager[S]) handOver(allocation *Allocation, now time.Time) Actions {
	successor := m.Peers[0]
	transfers := allocation.Transfers[successor]
	transfers.Pending = allocation.Unacknowledged()
	allocation.Transfers[successor] = transfers
	actions := m.send(allocation, successor, allocation.Balance.Take(math.MaxInt64), now)
	actions.Add(m.requestCeiling(allocation, now))
	return actions
}
