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
func (b *Manager[S]) maintainWitnesses(allocation *Allocation) {
	if !b.Sizing.UsesWitnesses() || allocation.RecordClosed || b.canWitness(allocation, allocation.latestWitnesses().Witnesses) {
		allocation.CandidateWitnesses = nil
		return
	}
	if !b.canWitness(allocation, allocation.CandidateWitnesses) {
		allocation.CandidateWitnesses = b.selectWitnesses(allocation)
	}
	if allocation.CandidateWitnesses == nil && len(allocation.latestWitnesses().Witnesses) > 0 {
		allocation.addWitnessSet(nil)
	}
	b.proposeWitnesses(allocation)
}

// proposeWitnesses adds the prepared set to those that may be in the store.
func (b *Manager[S]) proposeWitnesses(allocation *Allocation) {
	if len(allocation.CandidateWitnesses) == 0 || allocation.ackedCeiling(allocation.CandidateWitnesses) < allocation.Ceiling {
		return
	}
	allocation.addWitnessSet(allocation.CandidateWitnesses)
	allocation.CandidateWitnesses = nil
}

// addWitnessSet adds a guard set to those that may be in the store.
func (h *Allocation) addWitnessSet(witnesses []ident.Incarnation) {
	h.WitnessSets = append(h.WitnessSets, WitnessSet{Epoch: h.latestWitnesses().Epoch + 1, Witnesses: witnesses})
}

// canWitness reports whether all guards can be reached and none has frozen this
// holder.
func (b *Manager[S]) canWitness(allocation *Allocation, witnesses []ident.Incarnation) bool {
	for _, witness := range witnesses {
		if allocation.FencedBy[witness] || !slices.Contains(b.Peers, witness) {
			return false
		}
	}
	return len(witnesses) >= account.MinWitnesses
}

// selectWitnesses returns the first peers that can be guards, or none if there are too
// few.
func (b *Manager[S]) selectWitnesses(allocation *Allocation) []ident.Incarnation {
	var chosen []ident.Incarnation
	for _, peer := range b.Peers {
		if allocation.FencedBy[peer] {
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
func (b *Manager[S]) requestCeiling(allocation *Allocation, now time.Time) Actions {
	target := b.targetCeiling(allocation)
	if target <= allocation.Ceiling && len(allocation.CandidateWitnesses) == 0 {
		return Actions{}
	}
	if target <= allocation.RequestedCeiling && now.Sub(allocation.CeilingRequestedAt) < CeilingRetryDelay {
		return Actions{}
	}
	allocation.RequestedCeiling = max(allocation.RequestedCeiling, target)
	allocation.CeilingRequestedAt = now
	var actions Actions
	for _, witness := range allocation.witnesses() {
		actions.CeilingRequests = append(actions.CeilingRequests, CeilingRequest{
			Budget:  allocation.Budget,
			Holder:  b.Self,
			Witness: witness,
			Ceiling: allocation.RequestedCeiling,
		})
	}
	return actions
}

// targetCeiling returns the ceiling that the sizing policy and the debts to peers ask
// for.
func (b *Manager[S]) targetCeiling(allocation *Allocation) int64 {
	if allocation.Closing || allocation.RecordClosed {
		return allocation.Ceiling
	}
	exposure := b.Sizing.Exposure(b.sizingInput(allocation))
	available := allocation.Balance.Level().Available
	lack := allocation.pendingTransfers()
	if available < max(allocation.Search.Need, (exposure+1)/2) {
		lack += max(allocation.Search.Need, exposure) - available
	}
	return min(allocation.Granted, allocation.Ceiling+max(0, lack))
}

// CeilingReply takes a guard's answer.
func (b *Manager[S]) HandleCeilingReply(message CeilingReply, now time.Time) Actions {
	allocation, ok := b.Allocations[message.Budget]
	if !ok || message.Holder != b.Self {
		return Actions{}
	}
	if message.Refused {
		allocation.FencedBy[message.Witness] = true
	}
	allocation.AckedCeilings[message.Witness] = max(allocation.AckedCeilings[message.Witness], message.Ceiling)
	allocation.applyCeiling()
	b.proposeWitnesses(allocation)
	actions := b.sendPending(allocation, now)
	actions.Add(b.search(allocation, now))
	return actions
}
