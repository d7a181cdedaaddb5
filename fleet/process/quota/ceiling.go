package quota

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// maintainWitnesses selects new candidates if the latest set has too few members or a
// witness in it is unreachable or has fenced this holder. It proposes the empty set if
// there are too few peers. Candidates are proposed to the store once one of them has
// acknowledged the current ceiling, so that the set in the store always attests at
// least the ceiling in use.
func (m *Manager[S]) maintainWitnesses(allocation *Allocation) {
	if !m.Sizing.UsesWitnesses() || allocation.RecordClosed || m.canWitness(allocation, allocation.latestWitnesses().Witnesses) {
		allocation.CandidateWitnesses = nil
		return
	}
	if !m.canWitness(allocation, allocation.CandidateWitnesses) {
		allocation.CandidateWitnesses = m.selectWitnesses(allocation)
	}
	if allocation.CandidateWitnesses == nil && len(allocation.latestWitnesses().Witnesses) > 0 {
		allocation.addWitnessSet(nil)
	}
	m.proposeWitnesses(allocation)
}

// proposeWitnesses adds the candidate set to those that may be in the store once it
// has acknowledged the ceiling.
func (m *Manager[S]) proposeWitnesses(allocation *Allocation) {
	if len(allocation.CandidateWitnesses) == 0 || allocation.ackedCeiling(allocation.CandidateWitnesses) < allocation.Ceiling {
		return
	}
	allocation.addWitnessSet(allocation.CandidateWitnesses)
	allocation.CandidateWitnesses = nil
}

// addWitnessSet adds a witness set, under the next epoch, to those that may be in the
// store.
func (a *Allocation) addWitnessSet(witnesses []ident.Incarnation) {
	a.WitnessSets = append(a.WitnessSets, WitnessSet{Epoch: a.latestWitnesses().Epoch + 1, Witnesses: witnesses})
}

// canWitness reports whether there are at least account.MinWitnesses witnesses, all are
// reachable and none has fenced this holder.
func (m *Manager[S]) canWitness(allocation *Allocation, witnesses []ident.Incarnation) bool {
	for _, witness := range witnesses {
		if allocation.FencedBy[witness] || !slices.Contains(m.Peers, witness) {
			return false
		}
	}
	return len(witnesses) >= account.MinWitnesses
}

// selectWitnesses returns the first peers that have not fenced this holder, or nil if
// there are too few.
func (m *Manager[S]) selectWitnesses(allocation *Allocation) []ident.Incarnation {
	var chosen []ident.Incarnation
	for _, peer := range m.Peers {
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

// requestCeiling requests a higher ceiling from the witnesses if targetCeiling exceeds
// the current one. Candidates are requested to acknowledge the current ceiling as well.
func (m *Manager[S]) requestCeiling(allocation *Allocation, now time.Time) Actions {
	target := m.targetCeiling(allocation)
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
			Holder:  m.Self,
			Witness: witness,
			Ceiling: allocation.RequestedCeiling,
		})
	}
	return actions
}

// targetCeiling returns the ceiling that is needed for the pending transfers and, if
// the balance is below the waiting requests or half the exposure of the sizing policy,
// to reach both again.
func (m *Manager[S]) targetCeiling(allocation *Allocation) int64 {
	if allocation.Closing || allocation.RecordClosed {
		return allocation.Ceiling
	}
	exposure := m.Sizing.Exposure(m.sizing(allocation))
	available := allocation.Balance.Level().Available
	shortfall := allocation.pendingTransfers()
	if available < max(allocation.Search.Need, (exposure+1)/2) {
		shortfall += max(allocation.Search.Need, exposure) - available
	}
	return min(allocation.Granted, allocation.Ceiling+max(0, shortfall))
}

// HandleCeilingReply applies the ceiling that a witness acknowledged and sends the
// pending transfers that it allows.
func (m *Manager[S]) HandleCeilingReply(message CeilingReply, now time.Time) Actions {
	allocation, ok := m.Allocations[message.Budget]
	if !ok || message.Holder != m.Self {
		return Actions{}
	}
	if message.Refused {
		allocation.FencedBy[message.Witness] = true
	}
	allocation.AckedCeilings[message.Witness] = max(allocation.AckedCeilings[message.Witness], message.Ceiling)
	allocation.applyCeiling()
	m.proposeWitnesses(allocation)
	actions := m.sendPending(allocation, now)
	actions.Add(m.search(allocation, now))
	return actions
}
