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
func (b *Manager[S]) search(holding *Allocation, now time.Time) Actions {
	round := &holding.Search
	if round.Need == 0 || holding.Balance.Level().Available >= round.Need {
		return Actions{}
	}
	orders := b.requestCeiling(holding, now)
	if holding.Held() >= round.Need && now.Sub(round.StartedAt) < TransferRequestTimeout {
		return orders
	}
	if bank, ok := b.supplierOf(holding); ok && !round.StoreRequested {
		orders.Add(b.requestFrom(holding, bank, round.Need-holding.Balance.Level().Available, now))
		if round.awaitsReply([]ident.Incarnation{bank}, now) {
			return orders
		}
	}
	if !round.StoreRequested {
		round.StoreRequested = true
		draw := b.requestGrant(holding, now)
		round.StoreDone = holding.StoreUnavailable || !holding.UpdatePending
		orders.Add(draw)
	}
	if !round.StoreDone {
		return orders
	}
	if !b.Sizing.AllowsTransfers() {
		b.endSearch(holding, now)
		return orders
	}
	orders.Add(b.requestFromPeers(holding, now))
	return orders
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
func (b *Manager[S]) endSearch(holding *Allocation, now time.Time) {
	holding.Search = Search{}
	holding.SearchRetryAt = now.Add(backoff(MinSearchBackoff, MaxSearchBackoff, holding.FailedSearches))
	holding.FailedSearches++
}

// requestFromPeers asks the nearest peers, and once they have answered others.
func (b *Manager[S]) requestFromPeers(holding *Allocation, now time.Time) Actions {
	round := &holding.Search
	candidates := limitCandidates(b.candidates(holding), holding.Searches)
	available := holding.Balance.Level().Available
	var orders Actions
	for wave, limit := range []int{FirstWavePeers, len(candidates)} {
		asked := candidates[:min(limit, len(candidates))]
		for _, peer := range asked {
			orders.Add(b.requestFrom(holding, peer, round.Need-available, now))
		}
		if round.awaitsReply(asked, now) {
			return orders
		}
		if wave > 0 {
			b.endSearch(holding, now)
		}
	}
	return orders
}

// requestFrom pulls from a peer what a search needs, once a search.
func (b *Manager[S]) requestFrom(holding *Allocation, peer ident.Incarnation, need int64, now time.Time) Actions {
	if _, ok := holding.Search.RequestedAt[peer]; ok {
		return Actions{}
	}
	holding.Search.RequestedAt[peer] = now
	return Actions{TransferRequests: []TransferRequest{{
		Budget:    holding.Budget,
		From:      b.Self,
		To:        peer,
		Need:      need,
		Preferred: b.Sizing.Exposure(b.sizingInput(holding)),
		Demand:    holding.Demand.Rate,
	}}}
}

// supplierOf returns the peer from which one holding is refilled, if it is passive.
func (b *Manager[S]) supplierOf(holding *Allocation) (ident.Incarnation, bool) {
	if !b.supplied(holding) {
		return "", false
	}
	return b.supplier()
}

// supplied reports whether bankers hold for this holder, be they within reach or not:
// it draws itself only for requests that wait. A partition would else have all
// holders of a large fleet take their shares at once.
func (b *Manager[S]) supplied(holding *Allocation) bool {
	return len(b.Supply.Suppliers) > 0 && !holding.hasSteadyDemand()
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
func (b *Manager[S]) refillAmount(holding *Allocation, now time.Time) Actions {
	if b.supplied(holding) && !holding.OutcomeUnknown {
		return Actions{}
	}
	return b.requestGrant(holding, now)
}

// awaitsReply reports whether one of the peers may still answer in time.
func (r *Search) awaitsReply(peers []ident.Incarnation, now time.Time) bool {
	return slices.ContainsFunc(peers, func(peer ident.Incarnation) bool {
		return !r.Replied[peer] && now.Sub(r.RequestedAt[peer]) < TransferRequestTimeout
	})
}

// candidates returns the peers that can be reached and may hold rights, the
// nearest first. All may, as long as the account was never read.
func (b *Manager[S]) candidates(holding *Allocation) []ident.Incarnation {
	if holding.Remaining == unknownRemaining && len(holding.OtherHolders) == 0 {
		return b.Peers
	}
	var candidates []ident.Incarnation
	for _, peer := range b.Peers {
		exchange := holding.Transfers[peer]
		if slices.Contains(holding.OtherHolders, peer) || exchange.SentTotal > 0 || exchange.ReceivedTotal > 0 {
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
func (b *Manager[S]) requestGrant(holding *Allocation, now time.Time) Actions {
	if holding.UpdatePending || holding.RecordClosed || holding.Closing || now.Before(holding.StoreRetryAt) {
		return Actions{}
	}
	amount := b.grantAmount(holding, now)
	if amount == 0 && !holding.hasUnrecordedSet() && !holding.OutcomeUnknown {
		return Actions{}
	}
	if !holding.RecordSeen {
		b.maintainWitnesses(holding)
	}
	holding.UpdatePending = true
	latest := holding.latestWitnesses()
	situation := b.sizingInput(holding)
	return Actions{GrantRequests: []account.GrantRequest{{
		Budget:       holding.Budget,
		Holder:       b.Self,
		VM:           b.VM,
		RecordSeen:   holding.RecordSeen,
		KnownGranted: holding.Granted,
		Target:       holding.Granted + amount,
		Minimum:      b.neededCredits(holding),
		MaxFraction:  b.Sizing.MaxFraction(situation),
		Demand:       situation.Demand,
		Epoch:        latest.Epoch,
		Witnesses:    latest.Witnesses,
	}}}
}

// refund gives back what the sizing policy does not want to keep. It is ordered
// again until the store has it: the credits have left the purse by then. What
// came from a banker is little, and stays.
func (b *Manager[S]) refund(holding *Allocation, now time.Time) Actions {
	if holding.UpdatePending || holding.RecordClosed || !holding.RecordSeen || now.Before(holding.StoreRetryAt) {
		return Actions{}
	}
	if !b.supplied(holding) && !holding.StoreUnavailable {
		surplus := b.Sizing.Surplus(b.sizingInput(holding))
		holding.Refunded += holding.Balance.Take(surplus)
	}
	if holding.Refunded <= holding.RefundStored {
		return Actions{}
	}
	holding.UpdatePending = true
	return Actions{Refunds: []account.Refund{{
		Budget: holding.Budget,
		Holder: b.Self,
		Total:  holding.Refunded,
		Demand: holding.Demand.Rate,
	}}}
}

// grantAmount returns how many credits to ask of the store. A store that had none
// left is only asked for requests that wait, and not again at once. A holder that
// nobody can guard takes what it exposes anyway.
func (b *Manager[S]) grantAmount(holding *Allocation, now time.Time) int64 {
	if holding.Remaining == 0 && (b.neededCredits(holding) == 0 || now.Sub(holding.ReadAt) < EmptyAccountDelay) {
		return 0
	}
	situation := b.sizingInput(holding)
	if b.supplied(holding) {
		return max(0, situation.Need-situation.Held)
	}
	amount := max(0, b.Sizing.GrantAmount(situation))
	if b.Sizing.UsesWitnesses() && len(holding.latestWitnesses().Witnesses) == 0 && b.selectWitnesses(holding) == nil {
		amount = min(amount, max(0, b.Sizing.Exposure(situation)-situation.Held))
	}
	return amount
}

// holderCount returns how many processes share what remains: those that draw for the
// fleet, and without guards those that spend if they are more.
func (b *Manager[S]) holderCount(holding *Allocation) int {
	switch {
	case !b.Sizing.UsesWitnesses() && b.Supply.DirectHolders > 0:
		return max(b.Supply.DirectHolders, holding.SpendingHolders+1)
	case b.Supply.Supplies:
		return b.Supply.DirectHolders
	default:
		return len(holding.OtherHolders) + 1
	}
}

// neededCredits returns what requests wait for, here and at those who refill here.
func (b *Manager[S]) neededCredits(holding *Allocation) int64 {
	if b.Supply.Supplies {
		return holding.Search.Need + holding.pendingTransfers()
	}
	return holding.Search.Need
}

func (b *Manager[S]) sizingInput(holding *Allocation) SizingInput {
	remaining := holding.Remaining
	if remaining == unknownRemaining {
		remaining = holding.Purchased
	}
	return SizingInput{
		Demand:      holding.Demand.Rate,
		Observed:    holding.Demand.UpdatedAt.Sub(holding.Demand.StartedAt),
		OtherDemand: holding.OtherDemand,
		Need:        b.neededCredits(holding),
		Held:        holding.Held(),
		Granted:     holding.Granted,
		Purchased:   holding.Purchased,
		Remaining:   remaining,
		Holders:     b.holderCount(holding),
		Batched:     b.Batched,
	}
}
