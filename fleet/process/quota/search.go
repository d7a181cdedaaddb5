package quota

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// search continues the search for the waiting requests: it requests a higher ceiling,
// then credits from the supplier of a supplied allocation, then a grant from the store,
// then credits from peers, at the latest StoreHeadStart after the store. It does nothing
// while the balance covers the need. While the available and unacknowledged credits
// together cover it, only the ceiling is requested, for TransferRequestTimeout from the
// start of the search. The search ends once the store, and the peers if the sizing policy
// allows transfers, have supplied too few credits.
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
// store, with the outcome, if none remain, and requests another grant otherwise. It does
// nothing for a search that has not requested a grant.
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
// open holders of the account, the suppliers and the peers of earlier transfers. Before the
// account was read all peers of a small fleet may hold credits.
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
