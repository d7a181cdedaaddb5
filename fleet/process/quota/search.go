package quota

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// search continues the search for the waiting requests: it requests a higher ceiling,
// then credits from the supplier of a supplied allocation, then a grant from the store,
// then credits from peers, at the latest StoreHeadStart after the store. It does nothing
// while the balance covers the need. While the available and unacknowledged credits together cover it, only the ceiling is requested,
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
		if next, ok := m.avoidSilent(allocation, supplier, now); ok {
			actions.Add(m.requestFrom(allocation, next, search.Need-allocation.Balance.Level().Available, now))
			return actions
		}
		if _, replied := search.Replied[supplier]; replied && allocation.Remaining == 0 {
			// The supplier has just read the account.
			search.StoreRequested, search.StoreDone, search.Store = true, true, StoreEmpty
		}
	}
	if !search.StoreRequested {
		search.StoreRequested = true
		if search.StoreRequestedAt.IsZero() {
			search.StoreRequestedAt = now
		}
		grant := m.requestGrant(allocation, now)
		search.StoreDone = allocation.StoreUnavailable || !allocation.UpdatePending
		search.Store = StoreAsked
		if search.StoreDone {
			search.Store = StoreBackingOff
		}
		actions.Add(grant)
	}
	if !search.StoreDone && now.Sub(search.StoreRequestedAt) < StoreHeadStart {
		return actions
	}
	if !m.Sizing.AllowsTransfers() {
		if search.StoreDone {
			m.endSearch(allocation, now)
		}
		return actions
	}
	actions.Add(m.requestFromPeers(allocation, now))
	return actions
}

// avoidSilent marks a supplier that did not reply to the search as silent. It returns the
// next supplier, if there is one that the search has not queried.
func (m *Manager[S]) avoidSilent(allocation *Allocation, supplier ident.Incarnation, now time.Time) (ident.Incarnation, bool) {
	if _, replied := allocation.Search.Replied[supplier]; replied {
		return "", false
	}
	m.silent[supplier] = now.Add(SilenceDuration)
	next, ok := m.supplierOf(allocation)
	if !ok {
		return "", false
	}
	_, queried := allocation.Search.RequestedAt[next]
	return next, !queried
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

// handleReply records the credits that a peer sent. A supplier that sent some is asked
// again for what is still lacking.
func (s *Search) handleReply(peer ident.Incarnation, gain int64, supplier bool) {
	if s.Need == 0 {
		return
	}
	s.Replied[peer] += gain
	if supplier && gain > 0 {
		delete(s.RequestedAt, peer)
		delete(s.Replied, peer)
	}
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
		if wave > 0 && search.StoreDone {
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
	request := TransferRequest{
		Budget:     allocation.Budget,
		From:       m.Self,
		To:         peer,
		Need:       need,
		ShareLimit: m.Sizing.Exposure(m.sizing(allocation)),
		Demand:     allocation.Demand.Rate,
	}
	supplier, ok := m.supplierOf(allocation)
	if len(m.Supply.Suppliers) > 0 && !(ok && peer == supplier) {
		// Each of the peers would otherwise send a share, or request a grant for it.
		request.ShareLimit, request.HeldOnly = 0, true
	}
	return Actions{TransferRequests: []TransferRequest{request}}
}

// refill requests a grant up to the amount of the sizing policy. A supplied allocation
// refills at its supplier, and not at all with occasional requests: the reserves of all
// such holders would leave too few credits for the others. For it, refill calls the store
// only to find out the outcome of an earlier update.
func (m *Manager[S]) refill(allocation *Allocation, now time.Time) Actions {
	if m.supplied(allocation) && !allocation.OutcomeUnknown {
		return m.refillFromSupplier(allocation, now)
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
// open holders of the account, the suppliers and the peers of earlier transfers. Before the account
// was read all peers may hold credits.
func (m *Manager[S]) candidates(allocation *Allocation) []ident.Incarnation {
	if allocation.unread() && len(allocation.OtherHolders)+len(m.Supply.Homes) == 0 {
		return m.Peers
	}
	var candidates []ident.Incarnation
	for _, peer := range m.Peers {
		transfers := allocation.Transfers[peer]
		if slices.Contains(allocation.OtherHolders, peer) || slices.Contains(m.Supply.Homes, peer) || transfers.SentTotal > 0 || transfers.ReceivedTotal > 0 {
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
	reserves := allocation.pendingReserves()
	if allocation.Remaining > 0 && !allocation.unread() {
		amount += reserves
	}
	if amount == 0 && !allocation.hasUnrecordedSet() && !allocation.OutcomeUnknown {
		return Actions{}
	}
	if !allocation.RecordSeen {
		m.maintainWitnesses(allocation)
	}
	allocation.UpdatePending = true
	allocation.coverReserves()
	return Actions{GrantRequests: []account.GrantRequest{m.grantRequest(allocation, amount, now)}}
}

// Refresh returns a grant request that was not sent yet with the amounts that are needed
// now, if they are more.
func (m *Manager[S]) Refresh(request account.GrantRequest, now time.Time) account.GrantRequest {
	allocation := m.Allocation(request.Budget)
	allocation.coverReserves()
	amount := max(m.grantAmount(allocation, now)+allocation.pendingReserves(), request.Target-request.KnownGranted)
	return m.grantRequest(allocation, amount, now)
}

func (m *Manager[S]) grantRequest(allocation *Allocation, amount int64, now time.Time) account.GrantRequest {
	latest := allocation.latestWitnesses()
	input := m.sizing(allocation)
	return account.GrantRequest{
		Budget:       allocation.Budget,
		Holder:       m.Self,
		VM:           m.VM,
		RecordSeen:   allocation.RecordSeen,
		KnownGranted: allocation.Granted,
		Target:       allocation.Granted + amount,
		Minimum:      m.neededCredits(allocation),
		MaxFraction:  m.maxFraction(input, allocation.pendingReserves()),
		MaxUnused:    m.Sizing.MaxUnused(input),
		Demand:       max(allocation.Demand.Rate, allocation.peerDemand()),
		Used:         allocation.used(),
		Epoch:        latest.Epoch,
		Witnesses:    latest.Witnesses,
	}
}

// maxFraction returns the largest fraction of what the account has left that a grant may
// take for this holder and the pending reserves of peers, or 0 for no bound.
func (m *Manager[S]) maxFraction(input SizingInput, reserves int64) float64 {
	fraction := m.Sizing.MaxFraction(input)
	if fraction == 0 || reserves == 0 || input.Remaining <= 0 {
		return fraction
	}
	return min(1, fraction+float64(reserves)/float64(input.Remaining))
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
	allocation.coverReserves()
	return Actions{Refunds: []account.Refund{{
		Budget: allocation.Budget,
		Holder: m.Self,
		Total:  allocation.Refunded,
		Demand: max(allocation.Demand.Rate, allocation.peerDemand()),
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

// maxShare returns SizingInput.MaxShare. In a large fleet an even share is too small for a
// holder that has much of the demand of a budget.
func (m *Manager[S]) maxShare() float64 {
	if len(m.Supply.Suppliers) == 0 {
		return 0
	}
	return LargeFleetMaxShare
}

// demand returns the demand for which this holder keeps credits. In a large fleet it
// follows an increase at once, since others draw on the same account page.
func (m *Manager[S]) demand(allocation *Allocation) float64 {
	if len(m.Supply.Suppliers) == 0 || m.Sizing.UsesWitnesses() {
		return allocation.Demand.Rate
	}
	return max(allocation.Demand.Rate, allocation.Demand.Recent)
}

// sizing returns the input of the sizing policy.
func (m *Manager[S]) sizing(allocation *Allocation) SizingInput {
	return m.sizingInput(allocation, m.holderCount(allocation))
}

// sizingInput returns the input of the sizing policy for the number of processes that
// share the account.
func (m *Manager[S]) sizingInput(allocation *Allocation, holders int) SizingInput {
	demand, peerDemand := m.demand(allocation), allocation.peerDemand()
	return SizingInput{
		Demand:      max(0, demand-peerDemand),
		PeerDemand:  peerDemand,
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
		MaxShare:    m.maxShare(),
		Supplies:    m.Supply.Supplies,
		Batched:     m.Batched,
	}
}
