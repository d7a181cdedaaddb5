package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// search takes the next steps for the requests that wait: raise the ceiling,
// ask the store, then the peers. It ends when the purse holds enough or nobody
// is left to ask.
func (b *Manager[S]) search(allocation *Allocation, now time.Time) Actions {
	search := &allocation.Search
	if search.Need == 0 || allocation.Balance.Level().Available >= search.Need {
		return Actions{}
	}
	actions := b.requestCeiling(allocation, now)
	if allocation.Held() >= search.Need && now.Sub(search.StartedAt) < TransferRequestTimeout {
		return actions
	}
	if supplier, ok := b.supplierOf(allocation); ok && !search.StoreRequested {
		actions.Add(b.requestFrom(allocation, supplier, search.Need-allocation.Balance.Level().Available, now))
		if search.awaitsReply([]ident.Incarnation{supplier}, now) {
			return actions
		}
	}
	if !search.StoreRequested {
		search.StoreRequested = true
		grant := b.requestGrant(allocation, now)
		search.StoreDone = allocation.StoreUnavailable || !allocation.UpdatePending
		actions.Add(grant)
	}
	if !search.StoreDone {
		return actions
	}
	if !b.Sizing.AllowsTransfers() {
		b.endSearch(allocation, now)
		return actions
	}
	actions.Add(b.requestFromPeers(allocation, now))
	return actions
}

// handleStoreReply notes the store's answer. While it has credits left it is asked again.
func (r *Search) handleStoreReply(remaining int64) {
	if !r.StoreRequested {
		return
	}
	r.StoreDone = remaining == 0
	r.StoreRequested = r.StoreDone
}

// endSearch ends a search that found too little.
func (b *Manager[S]) endSearch(allocation *Allocation, now time.Time) {
	allocation.Search = Search{}
	allocation.SearchRetryAt = now.Add(backoff(MinSearchBackoff, MaxSearchBackoff, allocation.FailedSearches))
	allocation.FailedSearches++
}

// requestFromPeers asks the nearest peers, and once they have answered others.
func (b *Manager[S]) requestFromPeers(allocation *Allocation, now time.Time) Actions {
	search := &allocation.Search
	candidates := limitCandidates(b.candidates(allocation), allocation.Searches)
	available := allocation.Balance.Level().Available
	var actions Actions
	for wave, limit := range []int{FirstWavePeers, len(candidates)} {
		asked := candidates[:min(limit, len(candidates))]
		for _, peer := range asked {
			actions.Add(b.requestFrom(allocation, peer, search.Need-available, now))
		}
		if search.awaitsReply(asked, now) {
			return actions
		}
		if wave > 0 {
			b.endSearch(allocation, now)
		}
	}
	return actions
}

// requestFrom pulls from a peer what a search needs, once a search.
func (b *Manager[S]) requestFrom(allocation *Allocation, peer ident.Incarnation, need int64, now time.Time) Actions {
	if _, ok := allocation.Search.RequestedAt[peer]; ok {
		return Actions{}
	}
	allocation.Search.RequestedAt[peer] = now
	return Actions{TransferRequests: []TransferRequest{{
		Budget:    allocation.Budget,
		From:      b.Self,
		To:        peer,
		Need:      need,
		Preferred: b.Sizing.Exposure(b.sizingInput(allocation)),
		Demand:    allocation.Demand.Rate,
	}}}
}

// supplierOf returns the peer from which one holding is refilled, if it is passive.
func (b *Manager[S]) supplierOf(allocation *Allocation) (ident.Incarnation, bool) {
	if !b.supplied(allocation) {
		return "", false
	}
	return b.supplier()
}

// supplied reports whether bankers hold for this holder, be they within reach or not:
// it draws itself only for requests that wait. A partition would else have all
// holders of a large fleet take their shares at once.
func (b *Manager[S]) supplied(allocation *Allocation) bool {
	return len(b.Supply.Suppliers) > 0 && !allocation.hasSteadyDemand()
}

// supplier returns the peer from which this holder refills. Holders of one zone are
// spread over its bankers.
func (b *Manager[S]) supplier() (ident.Incarnation, bool) {
	var reached []ident.Incarnation
	for _, peer := range b.Supply.Suppliers {
		if slices.Contains(b.Peers, peer) {
			reached = append(reached, peer)
		}
	}
	if len(reached) == 0 {
		return "", false
	}
	return reached[xxhash.Sum64String(string(b.Self))%uint64(len(reached))], true
}

// refillAmount brings what is held up to what the sizing policy wants. A holder with a
// banker keeps nothing in store while its own demand is a request now and then: what
// all of them kept would be missing elsewhere. It turns to the store only to learn
// what became of an earlier draw.
func (b *Manager[S]) refillAmount(allocation *Allocation, now time.Time) Actions {
	if b.supplied(allocation) && !allocation.OutcomeUnknown {
		return Actions{}
	}
	return b.requestGrant(allocation, now)
}

// awaitsReply reports whether one of the peers may still answer in time.
func (r *Search) awaitsReply(peers []ident.Incarnation, now time.Time) bool {
	return slices.ContainsFunc(peers, func(peer ident.Incarnation) bool {
		return !r.Replied[peer] && now.Sub(r.RequestedAt[peer]) < TransferRequestTimeout
	})
}

// candidates returns the peers that can be reached and may hold rights, the
// nearest first. All may, as long as the account was never read.
func (b *Manager[S]) candidates(allocation *Allocation) []ident.Incarnation {
	if allocation.Remaining == unknownRemaining && len(allocation.OtherHolders) == 0 {
		return b.Peers
	}
	var candidates []ident.Incarnation
	for _, peer := range b.Peers {
		transfers := allocation.Transfers[peer]
		if slices.Contains(allocation.OtherHolders, peer) || transfers.SentTotal > 0 || transfers.ReceivedTotal > 0 {
			candidates = append(candidates, peer)
		}
	}
	return candidates
}

// limitCandidates cuts the candidates to those of one search: the nearest and, of the
// others, each search the next few.
func limitCandidates(candidates []ident.Incarnation, search int) []ident.Incarnation {
	if len(candidates) <= MaxSearchPeers {
		return candidates
	}
	const few = MaxSearchPeers - FirstWavePeers
	nearest, others := candidates[:FirstWavePeers], candidates[FirstWavePeers:]
	start := search * few % len(others)
	turned := slices.Concat(nearest, others[start:], others[:start])
	return turned[:MaxSearchPeers]
}

// requestGrant asks the store for what the sizing policy wants and for the recording
// of a proposed guard set.
func (b *Manager[S]) requestGrant(allocation *Allocation, now time.Time) Actions {
	if allocation.UpdatePending || allocation.RecordClosed || allocation.Closing || now.Before(allocation.StoreRetryAt) {
		return Actions{}
	}
	amount := b.grantAmount(allocation, now)
	if amount == 0 && !allocation.hasUnrecordedSet() && !allocation.OutcomeUnknown {
		return Actions{}
	}
	if !allocation.RecordSeen {
		b.maintainWitnesses(allocation)
	}
	allocation.UpdatePending = true
	latest := allocation.latestWitnesses()
	input := b.sizingInput(allocation)
	return Actions{GrantRequests: []account.GrantRequest{{
		Budget:       allocation.Budget,
		Holder:       b.Self,
		VM:           b.VM,
		RecordSeen:   allocation.RecordSeen,
		KnownGranted: allocation.Granted,
		Target:       allocation.Granted + amount,
		Minimum:      b.neededCredits(allocation),
		MaxFraction:  b.Sizing.MaxFraction(input),
		Demand:       input.Demand,
		Epoch:        latest.Epoch,
		Witnesses:    latest.Witnesses,
	}}}
}

// refund gives back what the sizing policy does not want to keep. It is ordered
// again until the store has it: the credits have left the purse by then. What
// came from a banker is little, and stays.
func (b *Manager[S]) refund(allocation *Allocation, now time.Time) Actions {
	if allocation.UpdatePending || allocation.RecordClosed || !allocation.RecordSeen || now.Before(allocation.StoreRetryAt) {
		return Actions{}
	}
	if !b.supplied(allocation) && !allocation.StoreUnavailable {
		surplus := b.Sizing.Surplus(b.sizingInput(allocation))
		allocation.Refunded += allocation.Balance.Take(surplus)
	}
	if allocation.Refunded <= allocation.RefundStored {
		return Actions{}
	}
	allocation.UpdatePending = true
	return Actions{Refunds: []account.Refund{{
		Budget: allocation.Budget,
		Holder: b.Self,
		Total:  allocation.Refunded,
		Demand: allocation.Demand.Rate,
	}}}
}

// grantAmount returns how many credits to ask of the store. A store that had none
// left is only asked for requests that wait, and not again at once. A holder that
// nobody can guard takes what it exposes anyway.
func (b *Manager[S]) grantAmount(allocation *Allocation, now time.Time) int64 {
	if allocation.Remaining == 0 && (b.neededCredits(allocation) == 0 || now.Sub(allocation.ReadAt) < EmptyAccountDelay) {
		return 0
	}
	input := b.sizingInput(allocation)
	if b.supplied(allocation) {
		return max(0, input.Need-input.Held)
	}
	amount := max(0, b.Sizing.GrantAmount(input))
	if b.Sizing.UsesWitnesses() && len(allocation.latestWitnesses().Witnesses) == 0 && b.selectWitnesses(allocation) == nil {
		amount = min(amount, max(0, b.Sizing.Exposure(input)-input.Held))
	}
	return amount
}

// holderCount returns how many processes share what remains: those that draw for the
// fleet, and without guards those that spend if they are more.
func (b *Manager[S]) holderCount(allocation *Allocation) int {
	switch {
	case !b.Sizing.UsesWitnesses() && b.Supply.DirectHolders > 0:
		return max(b.Supply.DirectHolders, allocation.SpendingHolders+1)
	case b.Supply.Supplies:
		return b.Supply.DirectHolders
	default:
		return len(allocation.OtherHolders) + 1
	}
}

// neededCredits returns what requests wait for, here and at those who refill here.
func (b *Manager[S]) neededCredits(allocation *Allocation) int64 {
	if b.Supply.Supplies {
		return allocation.Search.Need + allocation.pendingTransfers()
	}
	return allocation.Search.Need
}

func (b *Manager[S]) sizingInput(allocation *Allocation) SizingInput {
	remaining := allocation.Remaining
	if remaining == unknownRemaining {
		remaining = allocation.Purchased
	}
	return SizingInput{
		Demand:      allocation.Demand.Rate,
		Observed:    allocation.Demand.UpdatedAt.Sub(allocation.Demand.StartedAt),
		OtherDemand: allocation.OtherDemand,
		Need:        b.neededCredits(allocation),
		Held:        allocation.Held(),
		Granted:     allocation.Granted,
		Purchased:   allocation.Purchased,
		Remaining:   remaining,
		Holders:     b.holderCount(allocation),
		Batched:     b.Batched,
	}
}
