package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// ReportInterval is how often a holder with a reserve reports its demand and what it holds
// to its supplier.
const ReportInterval = 5 * time.Second

// LargeFleetMaxShare is SizingInput.MaxShare in a large fleet.
const LargeFleetMaxShare = 0.5

// SilenceDuration is how long a supplier that did not reply to a search is avoided. By then
// the membership knows whether it has failed.
const SilenceDuration = 3 * time.Second

// UnservedLifetime is how long a supplier remembers what a peer needed while the store was
// unavailable. The peer then asks again.
const UnservedLifetime = 2 * time.Second

// Supply determines which processes of a large fleet request grants from the store and
// transfer credits to the others, so that most processes do not call the store. For each
// account page one of the Suppliers requests the grants; two that both believe to be that
// one cost store calls, but no credits.
type Supply struct {
	// Suppliers lists the processes from which this holder refills, and this holder itself
	// if it is one of them. It is a direct holder, which requests grants itself, if there
	// are none. Otherwise it requests grants only for waiting requests that the suppliers
	// do not serve.
	Suppliers []ident.Incarnation
	// Supplies reports that other holders refill here. Their demand counts as demand
	// of this holder.
	Supplies bool
	// DirectHolders is the number of suppliers of the fleet. They share what remains of a
	// budget.
	DirectHolders int
	// Homes lists the suppliers of a large fleet. Each may be the home of a budget:
	// the only supplier of a budget that is too small to be shared.
	Homes []ident.Incarnation
	// Pages is the number of pages over which the accounts are distributed.
	Pages int
}

// SetSupply sets from whom this holder refills and whether it supplies others.
func (m *Manager[S]) SetSupply(supply Supply) {
	m.Supply = supply
	m.updateReachable()
}

// Draws reports whether this holder itself requests grants for the budget.
func (m *Manager[S]) Draws(budget string) bool {
	return !m.supplied(m.Allocation(budget))
}

// supplierOf returns the peer from which the allocation is refilled. It returns false
// for a direct allocation and if no supplier is reachable.
func (m *Manager[S]) supplierOf(allocation *Allocation) (ident.Incarnation, bool) {
	if !m.supplied(allocation) {
		return "", false
	}
	if m.concentrated(allocation) {
		return m.home(allocation.Budget)
	}
	return m.drawer(allocation.Budget)
}

// supplied reports whether the allocation refills at a supplier, reachable or not. A
// supplied allocation requests grants only for waiting requests: in a partition all holders
// of a large fleet would otherwise request their shares at the same time. With witnesses, a
// holder with steady demand requests grants itself, since it can only spend its own grant
// after a witness has acknowledged it.
func (m *Manager[S]) supplied(allocation *Allocation) bool {
	if m.concentrated(allocation) {
		home, ok := m.home(allocation.Budget)
		return ok && home != m.Self
	}
	if len(m.Supply.Suppliers) == 0 || m.Sizing.UsesWitnesses() && allocation.hasSteadyDemand() {
		return false
	}
	drawer, ok := m.drawer(allocation.Budget)
	return !ok || drawer != m.Self
}

// drawer returns the supplier that requests the grants for the page of the budget: the one
// with the highest hash together with the page of those that are reachable and not silent.
func (m *Manager[S]) drawer(budget string) (ident.Incarnation, bool) {
	return highestHash(account.PageName(budget, max(1, m.Supply.Pages)), m.respondingSuppliers())
}

// respondingSuppliers returns the reachable suppliers without the silent ones, unless all
// are silent.
func (m *Manager[S]) respondingSuppliers() []ident.Incarnation {
	responding := filter(m.reachableSuppliers, func(supplier ident.Incarnation) bool {
		_, silent := m.silent[supplier]
		return !silent
	})
	if len(responding) == 0 {
		return m.reachableSuppliers
	}
	return responding
}

// highestHash returns the candidate with the highest hash together with the key, so that
// all processes agree on it and most keys keep theirs when one candidate leaves. It returns
// false if there is none.
func highestHash(key string, candidates []ident.Incarnation) (ident.Incarnation, bool) {
	var chosen ident.Incarnation
	var highest uint64
	for _, candidate := range candidates {
		if hash := xxhash.Sum64String(key + "/" + string(candidate)); chosen == "" || hash > highest {
			chosen, highest = candidate, hash
		}
	}
	return chosen, chosen != ""
}

// updateReachable derives reachableSuppliers and reachableHomes from the supply and the
// peers.
func (m *Manager[S]) updateReachable() {
	isReachable := func(candidate ident.Incarnation) bool {
		return candidate == m.Self || slices.Contains(m.Peers, candidate)
	}
	m.reachableSuppliers = filter(m.Supply.Suppliers, isReachable)
	m.reachableHomes = filter(m.Supply.Homes, isReachable)
}

// filter returns the elements that the function accepts.
func filter[E any](all []E, accepts func(E) bool) []E {
	return slices.DeleteFunc(slices.Clone(all), func(each E) bool { return !accepts(each) })
}

// keepsReserve reports whether a supplied allocation keeps credits ready: callers are
// directed to suppliers, and others may have steady demand all the same.
func (m *Manager[S]) keepsReserve(allocation *Allocation) bool {
	if m.Sizing.UsesWitnesses() || m.concentrated(allocation) {
		return false
	}
	return m.Supply.Supplies || allocation.hasSteadyDemand()
}

// refillFromSupplier requests from the supplier what the reserve of a supplied allocation
// lacks, and returns to it what it has too much. It also reports the demand and what is
// held at each ReportInterval.
func (m *Manager[S]) refillFromSupplier(allocation *Allocation, now time.Time) Actions {
	supplier, ok := m.supplierOf(allocation)
	if !ok || !m.keepsReserve(allocation) {
		return Actions{}
	}
	input := m.sizing(allocation)
	if surplus := m.Sizing.Surplus(input); surplus > 0 && !allocation.unread() {
		return m.send(allocation, supplier, allocation.Balance.Take(surplus), now)
	}
	lacking := max(0, m.Sizing.GrantAmount(input))
	if lacking == 0 && !allocation.unread() && now.Sub(allocation.ReportedAt) < ReportInterval {
		return Actions{}
	}
	allocation.ReportedAt = now
	return Actions{TransferRequests: []TransferRequest{{
		Budget:  allocation.Budget,
		From:    m.Self,
		To:      supplier,
		Reserve: lacking,
		Demand:  allocation.Demand.Rate,
		Held:    input.Held,
	}}}
}

// handleRefillRequest records what the peer reported and adds what it lacks to the pending
// transfers.
func (m *Manager[S]) handleRefillRequest(allocation *Allocation, message TransferRequest, now time.Time) {
	transfers := allocation.Transfers[message.From]
	transfers.Reserve = message.Held
	transfers.Demand = message.Demand
	transfers.ReportedAt = now
	transfers.PendingReserve, transfers.ReserveRequested = message.Reserve, false
	allocation.Transfers[message.From] = transfers
}

// sendReserves sends the pending reserves of peers, after a grant request that covered them,
// from what is held beyond the need of waiting requests. If that is not enough for them and
// the target of this holder, each gets its part.
func (m *Manager[S]) sendReserves(allocation *Allocation, now time.Time) Actions {
	var wanted int64
	for _, transfers := range allocation.Transfers {
		if transfers.ReserveRequested {
			wanted += transfers.PendingReserve
		}
	}
	spare := max(0, allocation.Balance.Level().Available-m.neededCredits(allocation))
	own := m.Sizing.Exposure(m.sizing(allocation))
	part := min(1, float64(spare)/float64(wanted+own))
	var actions Actions
	for _, peer := range slices.Sorted(maps.Keys(allocation.Transfers)) {
		transfers := allocation.Transfers[peer]
		if !transfers.ReserveRequested || transfers.PendingReserve == 0 {
			continue
		}
		sent := allocation.Balance.Take(int64(part * float64(transfers.PendingReserve)))
		transfers.PendingReserve, transfers.ReserveRequested = 0, false
		transfers.Reserve += sent
		allocation.Transfers[peer] = transfers
		actions.Add(m.send(allocation, peer, sent, now))
	}
	return actions
}

// answerPending replies to the peers whose pending transfers cannot be served, so that they
// search elsewhere at once.
func (m *Manager[S]) answerPending(allocation *Allocation, now time.Time) Actions {
	if !m.Supply.Supplies {
		return Actions{}
	}
	var actions Actions
	for _, peer := range slices.Sorted(maps.Keys(allocation.Transfers)) {
		transfers := allocation.Transfers[peer]
		if transfers.Pending+transfers.PendingReserve == 0 {
			continue
		}
		transfers.Unserved, transfers.UnservedAt = transfers.Pending, now
		transfers.Pending, transfers.PendingReserve, transfers.ReserveRequested = 0, 0, false
		allocation.Transfers[peer] = transfers
		actions.Add(m.send(allocation, peer, 0, now))
	}
	return actions
}

// restoreUnserved makes the transfers pending again that were given up while the store was
// unavailable.
func (m *Manager[S]) restoreUnserved(allocation *Allocation, now time.Time) {
	for peer, transfers := range allocation.Transfers {
		if now.Sub(transfers.UnservedAt) < UnservedLifetime {
			transfers.Pending = max(transfers.Pending, transfers.Unserved)
		}
		transfers.Unserved = 0
		allocation.Transfers[peer] = transfers
	}
}

// coverReserves notes that a grant request covers the pending reserves.
func (a *Allocation) coverReserves() {
	for peer, transfers := range a.Transfers {
		if transfers.PendingReserve > 0 {
			transfers.ReserveRequested = true
			a.Transfers[peer] = transfers
		}
	}
}

// pendingReserves returns the sum of the pending reserves of all peers.
func (a *Allocation) pendingReserves() int64 {
	var sum int64
	for _, transfers := range a.Transfers {
		sum += transfers.PendingReserve
	}
	return sum
}

// usedByPeers returns the credits sent to peers that are not known to be unspent.
func (a *Allocation) usedByPeers() int64 {
	var sum int64
	for _, transfers := range a.Transfers {
		sum += max(0, transfers.SentTotal-transfers.ReceivedTotal-transfers.Reserve)
	}
	return sum
}
