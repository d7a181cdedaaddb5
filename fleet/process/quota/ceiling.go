package quota

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// maintainWitnesses chooses new guards if one of the latest set is lost or has frozen
// this holder, or does without if there are too few. New ones are proposed to the store once one of them has acknowledged
// the present ceiling, so that the set in the store always attests enough.
func (b *Manager[S]) maintainWitnesses(holding *Allocation) {
	if !b.Sizing.UsesWitnesses() || holding.RecordClosed || b.canWitness(holding, holding.latestWitnesses().Witnesses) {
		holding.CandidateWitnesses = nil
		return
	}
	if !b.canWitness(holding, holding.CandidateWitnesses) {
		holding.CandidateWitnesses = b.selectWitnesses(holding)
	}
	if holding.CandidateWitnesses == nil && len(holding.latestWitnesses().Witnesses) > 0 {
		holding.addWitnessSet(nil)
	}
	b.proposeWitnesses(holding)
}

// proposeWitnesses adds the prepared set to those that may be in the store.
func (b *Manager[S]) proposeWitnesses(holding *Allocation) {
	if len(holding.CandidateWitnesses) == 0 || holding.ackedCeiling(holding.CandidateWitnesses) < holding.Ceiling {
		return
	}
	holding.addWitnessSet(holding.CandidateWitnesses)
	holding.CandidateWitnesses = nil
}

// addWitnessSet adds a guard set to those that may be in the store.
func (h *Allocation) addWitnessSet(guards []ident.Incarnation) {
	h.WitnessSets = append(h.WitnessSets, WitnessSet{Epoch: h.latestWitnesses().Epoch + 1, Witnesses: guards})
}

// canWitness reports whether all guards can be reached and none has frozen this
// holder.
func (b *Manager[S]) canWitness(holding *Allocation, guards []ident.Incarnation) bool {
	for _, guard := range guards {
		if holding.FencedBy[guard] || !slices.Contains(b.Peers, guard) {
			return false
		}
	}
	return len(guards) >= account.MinWitnesses
}

// selectWitnesses returns the first peers that can be guards, or none if there are too
// few.
func (b *Manager[S]) selectWitnesses(holding *Allocation) []ident.Incarnation {
	var chosen []ident.Incarnation
	for _, peer := range b.Peers {
		if holding.FencedBy[peer] {
			continue
		}
		chosen = append(chosen, peer)
		if len(chosen) == account.MinWitnesses {
			return chosen
		}
	}
	return nil
}

// requestCeiling asks the guards for a higher ceiling if the purse runs low, and the
// prepared ones for the present ceiling.
func (b *Manager[S]) requestCeiling(holding *Allocation, now time.Time) Actions {
	target := b.targetCeiling(holding)
	if target <= holding.Ceiling && len(holding.CandidateWitnesses) == 0 {
		return Actions{}
	}
	if target <= holding.RequestedCeiling && now.Sub(holding.CeilingRequestedAt) < CeilingRetryDelay {
		return Actions{}
	}
	holding.RequestedCeiling = max(holding.RequestedCeiling, target)
	holding.CeilingRequestedAt = now
	var orders Actions
	for _, guard := range holding.witnesses() {
		orders.CeilingRequests = append(orders.CeilingRequests, CeilingRequest{
			Budget:  holding.Budget,
			Holder:  b.Self,
			Witness: guard,
			Ceiling: holding.RequestedCeiling,
		})
	}
	return orders
}

// targetCeiling returns the ceiling that the sizing policy and the debts to peers ask
// for.
func (b *Manager[S]) targetCeiling(holding *Allocation) int64 {
	if holding.Closing || holding.RecordClosed {
		return holding.Ceiling
	}
	exposure := b.Sizing.Exposure(b.sizingInput(holding))
	available := holding.Balance.Level().Available
	lack := holding.pendingTransfers()
	if available < max(holding.Search.Need, (exposure+1)/2) {
		lack += max(holding.Search.Need, exposure) - available
	}
	return min(holding.Granted, holding.Ceiling+max(0, lack))
}

// CeilingReply takes a guard's answer.
func (b *Manager[S]) HandleCeilingReply(message CeilingReply, now time.Time) Actions {
	holding, ok := b.Allocations[message.Budget]
	if !ok || message.Holder != b.Self {
		return Actions{}
	}
	if message.Refused {
		holding.FencedBy[message.Witness] = true
	}
	holding.AckedCeilings[message.Witness] = max(holding.AckedCeilings[message.Witness], message.Ceiling)
	holding.applyCeiling()
	b.proposeWitnesses(holding)
	orders := b.sendPending(holding, now)
	orders.Add(b.search(holding, now))
	return orders
}
