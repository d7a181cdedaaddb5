package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// search continues the search for the waiting requests: it requests a higher ceiling,
// then credits from the supplier of a supplied allocation, then a grant from the store,
// then credits from peers. It does nothing while the balance covers the need. While the
// available and unacknowledged credits together cover it, only the ceiling is requested,
// for TransferRequestTimeout from the start of the search. The search ends once the
// store, and the peers if the sizing policy allows transfers, have supplied too few
// credits.
func (m *Manager[S]) search(allocation *Allocation, now time.Time) Actions {
	search := &allocation.Search
	if search.Need == 0 || allocation.Balance.Level().Available >= search.Need {
		return Actions{}
	}
	actions := m.requestCeiling(allocation, now)
	if allocation.Held() >= search.Need && now.Sub(search.StartedAt) < TransferRequestTimeout {
		return actions
	}
	if supplier, ok := m.supplierOf(allocation); ok && !search.StoreRequested {
		actions.Add(m.requestFrom(allocation, supplier, search.Need-allocation.Balance.Level().Available, now))
		if search.awaitsReply([]ident.Incarnation{supplier}, now) {
			return actions
		}
	}
	if !search.StoreRequested {
		search.StoreRequested = true
		grant := m.requestGrant(allocation, now)
		search.StoreDone = allocation.StoreUnavailable || !allocation.UpdatePending
		search.Store = StoreAsked
		if search.StoreDone {
			search.Store = StoreBackingOff
		}
		actions.Add(grant)
	}
	if !search.StoreDone {
		return actions
	}
	if !m.Sizing.AllowsTransfers() {
		m.endSearch(allocation, now)
		return actions
	}
	actions.Add(m.requestFromPeers(allocation, now))
	return actions
}

// handleStoreReply handles the end of a grant request, after which the account has the
// remaining credits, or zero if the store call failed. The search is finished with the
// store, with the outcome, if none remain, and requests another grant otherwise. It does nothing for a
// search that has not requested a grant.
func (s *Search) handleStoreReply(remaining int64, outcome StoreOutcome) {
	if !s.StoreRequested {
		return
	}
	if remaining == 0 {
		s.Store = outcome
	}
	s.StoreDone = remaining == 0
	s.StoreRequested = s.StoreDone
}

// endSearch ends a search that found too little and starts the back-off.
func (m *Manager[S]) endSearch(allocation *Allocation, now time.Time) {
	allocation.LastSearch, allocation.Search = allocation.Search, Search{}
	allocation.SearchRetryAt = now.Add(backoff(MinSearchBackoff, MaxSearchBackoff, allocation.FailedSearches))
	allocation.FailedSearches++
}

// requestFromPeers requests credits from the nearest peers and, once they have replied
// or timed out, from the other candidates. It ends the search once these have replied or
// timed out too.
func (m *Manager[S]) requestFromPeers(allocation *Allocation, now time.Time) Actions {
	search := &allocation.Search
	candidates := limitCandidates(m.candidates(allocation), allocation.Searches)
	available := allocation.Balance.Level().Available
	var actions Actions
	for wave, limit := range []int{FirstWavePeers, len(candidates)} {
		queried := candidates[:min(limit, len(candidates))]
		for _, peer := range queried {
			actions.Add(m.requestFrom(allocation, peer, search.Need-available, now))
		}
		if search.awaitsReply(queried, now) {
			return actions
		}
		if wave > 0 {
			m.endSearch(allocation, now)
		}
	}
	return actions
}

// requestFrom sends the peer a TransferRequest, once in a search.
func (m *Manager[S]) requestFrom(allocation *Allocation, peer ident.Incarnation, need int64, now time.Time) Actions {
	if _, ok := allocation.Search.RequestedAt[peer]; ok {
		return Actions{}
	}
	allocation.Search.RequestedAt[peer] = now
	return Actions{TransferRequests: []TransferRequest{{
		Budget:     allocation.Budget,
		From:       m.Self,
		To:         peer,
		Need:       need,
		ShareLimit: m.Sizing.Exposure(m.sizing(allocation)),
		Demand:     allocation.Demand.Rate,
	}}}
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
	return m.supplier()
}

// supplied reports whether the allocation refills at a supplier, reachable or not: the
// holder has suppliers and no steady demand for the budget. A supplied allocation
// requests grants only for waiting requests: in a partition all holders of a large fleet
// would otherwise request their shares at the same time.
func (m *Manager[S]) supplied(allocation *Allocation) bool {
	if m.concentrated(allocation) {
		home, ok := m.home(allocation.Budget)
		return ok && home != m.Self
	}
	return len(m.Supply.Suppliers) > 0 && !allocation.hasSteadyDemand()
}

// supplier returns the peer from which this holder refills. The holders of one
// availability zone are spread over its suppliers by a hash.
func (m *Manager[S]) supplier() (ident.Incarnation, bool) {
	var reachable []ident.Incarnation
	for _, peer := range m.Supply.Suppliers {
		if slices.Contains(m.Peers, peer) {
			reachable = append(reachable, peer)
		}
	}
	if len(reachable) == 0 {
		return "", false
	}
	return reachable[xxhash.Sum64String(string(m.Self))%uint64(len(reachable))], true
}

// refill requests a grant up to the amount of the sizing policy. A supplied allocation
// keeps no reserve, since the reserves of all holders with occasional requests would
// leave too few credits for the other holders. For it, refill calls the store only to
// find out the outcome of an earlier update.
func (m *Manager[S]) refill(allocation *Allocation, now time.Time) Actions {
	if m.supplied(allocation) && !allocation.OutcomeUnknown {
		return Actions{}
	}
	return m.requestGrant(allocation, now)
}

// awaitsReply reports whether one of the peers may still reply before the timeout.
func (s *Search) awaitsReply(peers []ident.Incarnation, now time.Time) bool {
	return slices.ContainsFunc(peers, func(peer ident.Incarnation) bool {
		_, replied := s.Replied[peer]
		return !replied && now.Sub(s.RequestedAt[peer]) < TransferRequestTimeout
	})
}

// candidates returns the reachable peers that may hold credits, the nearest first: the
// open holders of the account and the peers of earlier transfers. Before the account
// was read all peers may hold credits.
func (m *Manager[S]) candidates(allocation *Allocation) []ident.Incarnation {
	if allocation.unread() && len(allocation.OtherHolders) == 0 {
		return m.Peers
	}
	var candidates []ident.Incarnation
	for _, peer := range m.Peers {
		transfers := allocation.Transfers[peer]
		if slices.Contains(allocation.OtherHolders, peer) || transfers.SentTotal > 0 || transfers.ReceivedTotal > 0 {
			candidates = append(candidates, peer)
		}
	}
	return candidates
}

// limitCandidates limits the candidates to MaxSearchPeers: the nearest FirstWavePeers
// and a part of the others, which rotates with the number of searches so that
// successive searches reach all of them.
func limitCandidates(candidates []ident.Incarnation, searches int) []ident.Incarnation {
	if len(candidates) <= MaxSearchPeers {
		return candidates
	}
	const othersPerSearch = MaxSearchPeers - FirstWavePeers
	nearest, others := candidates[:FirstWavePeers], candidates[FirstWavePeers:]
	start := searches * othersPerSearch % len(others)
	rotated := slices.Concat(nearest, others[start:], others[:start])
	return rotated[:MaxSearchPeers]
}

// requestGrant requests the credits that the sizing policy determines and the
// recording of a proposed witness set. A request for no credits finds out whether an
// earlier update with unknown outcome took effect.
func (m *Manager[S]) requestGrant(allocation *Allocation, now time.Time) Actions {
	if allocation.UpdatePending || allocation.RecordClosed || allocation.Closing || now.Before(allocation.StoreRetryAt) {
		return Actions{}
	}
	amount := m.grantAmount(allocation, now)
	if amount == 0 && !allocation.hasUnrecordedSet() && !allocation.OutcomeUnknown {
		return Actions{}
	}
	if !allocation.RecordSeen {
		m.maintainWitnesses(allocation)
	}
	allocation.UpdatePending = true
	latest := allocation.latestWitnesses()
	input := m.sizing(allocation)
	return Actions{GrantRequests: []account.GrantRequest{{
		Budget:       allocation.Budget,
		Holder:       m.Self,
		VM:           m.VM,
		RecordSeen:   allocation.RecordSeen,
		KnownGranted: allocation.Granted,
		Target:       allocation.Granted + amount,
		Minimum:      m.neededCredits(allocation),
		MaxFraction:  m.Sizing.MaxFraction(input),
		MaxUnused:    m.Sizing.MaxUnused(input),
		Demand:       input.Demand,
		Used:         allocation.used(),
		Epoch:        latest.Epoch,
		Witnesses:    latest.Witnesses,
	}}}
}

// refund returns to the store the credits that the sizing policy reports as surplus. They
// leave the balance at once, and the refund is repeated until the store has recorded it.
// A supplied allocation has no new surplus: it gets only small amounts from its supplier
// and keeps them.
func (m *Manager[S]) refund(allocation *Allocation, now time.Time) Actions {
	if allocation.UpdatePending || allocation.RecordClosed || !allocation.RecordSeen || now.Before(allocation.StoreRetryAt) {
		return Actions{}
	}
	if !m.supplied(allocation) && !allocation.StoreUnavailable {
		surplus := m.Sizing.Surplus(m.sizing(allocation))
		allocation.Refunded += allocation.Balance.Take(surplus)
	}
	if allocation.Refunded <= allocation.RefundStored {
		return Actions{}
	}
	allocation.UpdatePending = true
	return Actions{Refunds: []account.Refund{{
		Budget: allocation.Budget,
		Holder: m.Self,
		Total:  allocation.Refunded,
		Demand: allocation.Demand.Rate,
		Used:   allocation.used(),
	}}}
}

// grantAmount returns how many credits to request from the store. From an account
// without credits it requests only for waiting requests, and not until
// EmptyAccountDelay after the account was read. A supplied allocation also requests only
// what waiting requests need. A holder for which there are too few witnesses requests no more
// than its exposure, since nothing beyond it could be reclaimed.
func (m *Manager[S]) grantAmount(allocation *Allocation, now time.Time) int64 {
	if allocation.Remaining == 0 && (m.neededCredits(allocation) == 0 || now.Sub(allocation.ReadAt) < EmptyAccountDelay) {
		return 0
	}
	input := m.sizing(allocation)
	if m.supplied(allocation) {
		return max(0, input.Need-input.Held)
	}
	amount := max(0, m.Sizing.GrantAmount(input))
	if m.Sizing.UsesWitnesses() && len(allocation.latestWitnesses().Witnesses) == 0 && m.selectWitnesses(allocation) == nil {
		amount = min(amount, max(0, m.Sizing.Exposure(input)-input.Held))
	}
	return amount
}

// holderCount returns how many processes share what remains of the account: the home
// alone if the budget has one, else sharingHolders.
func (m *Manager[S]) holderCount(allocation *Allocation) int {
	if m.concentrated(allocation) {
		return 1
	}
	return m.sharingHolders(allocation)
}

// sharingHolders returns how many processes share what remains of the account of a
// budget without a home:
//
//   - For a policy without witnesses, the direct holders or the holders that spend,
//     whichever are more.
//   - For a policy with witnesses, the direct holders if this process is a supplier,
//     else all open holders of the account.
//
// While DirectHolders is not set, a policy without witnesses uses the second rule.
func (m *Manager[S]) sharingHolders(allocation *Allocation) int {
	switch {
	case !m.Sizing.UsesWitnesses() && m.Supply.DirectHolders > 0:
		return max(m.Supply.DirectHolders, allocation.SpendingHolders+1)
	case m.Supply.Supplies:
		return m.Supply.DirectHolders
	default:
		return len(allocation.OtherHolders) + 1
	}
}

// neededCredits returns how many credits requests wait for, here and at the peers that
// refill here.
func (m *Manager[S]) neededCredits(allocation *Allocation) int64 {
	if m.Supply.Supplies {
		return allocation.Search.Need + allocation.pendingTransfers()
	}
	return allocation.Search.Need
}

// sizing returns the input of the sizing policy.
func (m *Manager[S]) sizing(allocation *Allocation) SizingInput {
	return m.sizingInput(allocation, m.holderCount(allocation))
}

// sizingInput returns the input of the sizing policy for the number of processes that
// share the account.
func (m *Manager[S]) sizingInput(allocation *Allocation, holders int) SizingInput {
	return SizingInput{
		Demand:      allocation.Demand.Rate,
		Observed:    allocation.Demand.UpdatedAt.Sub(allocation.Demand.StartedAt),
		OtherDemand: allocation.OtherDemand,
		Need:        m.neededCredits(allocation),
		MeanRequest: m.meanRequest(allocation),
		Held:        allocation.Held(),
		Granted:     allocation.Granted,
		Purchased:   allocation.Purchased,
		Remaining:   allocation.knownRemaining(),
		Unread:      allocation.unread(),
		Lost:        allocation.Lost,
		Holders:     holders,
		Batched:     m.Batched,
	}
}
