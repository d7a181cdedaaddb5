package node

import (
	"slices"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quota"
)

// RecoveryKey names one reclaim of a lost holder's rights in one budget.
type RecoveryKey struct {
	Budget string
	Holder ident.Incarnation
}

// recoverLostHolders looks after what lost processes left behind: their journal, stored
// after they are suspected, and their rights, reclaimed after they are gone.
func (s *State) recoverLostHolders() {
	for _, holder := range s.Replicas.Holders() {
		if s.isLost(holder) {
			s.storeReplicas(holder)
		}
	}
	s.readLostAccounts()
	for key, recovery := range s.recoveries {
		if reclaim, ready := recovery.Reclaim(); ready {
			s.reclaim(key, reclaim)
			continue
		}
		for _, request := range recovery.FenceRequests(s.Self) {
			s.send(request.Witness, peer.Message{FenceRequest: &request})
		}
	}
}

// readLostAccounts reads, once, the accounts of each lost process that this one guards.
func (s *State) readLostAccounts() {
	for _, known := range s.view().Members() {
		if known.State != member.Gone || s.accountsRead[known.Incarnation] {
			continue
		}
		s.accountsRead[known.Incarnation] = true
		for _, budget := range s.Witness.Budgets(known.Incarnation) {
			page := s.page(budget)
			page.pending.Reads = append(page.pending.Reads, budget)
		}
	}
	s.startAllUpdates()
}

func (s *State) isLost(holder ident.Incarnation) bool {
	known, ok := s.view().Member(holder)
	return !ok || known.State == member.Suspected || known.State == member.Gone
}

// isGone reports whether the fleet holds, or ever held, the process ended.
func (s *State) isGone(holder ident.Incarnation) bool {
	known, ok := s.view().Member(holder)
	return s.accountsRead[holder] || ok && known.State == member.Gone
}

// startRecoveries starts to reclaim the rights of holders that are gone, as the page
// shows them.
func (s *State) startRecoveries(budget string, page account.Page) {
	for holder, record := range page.Accounts[budget].Holders {
		key := RecoveryKey{Budget: budget, Holder: holder}
		if _, running := s.recoveries[key]; running || record.Closed || !s.isGone(holder) {
			continue
		}
		recovery, ok := quota.NewRecovery(budget, holder, record)
		if !ok || s.anyGone(record.Witnesses) {
			s.writeOff(key)
			continue
		}
		s.recoveries[key] = recovery
		for _, request := range recovery.FenceRequests(s.Self) {
			s.send(request.Witness, peer.Message{FenceRequest: &request})
		}
	}
}

// anyGone reports whether a guard has ended, so that the rights that it guarded
// cannot be reclaimed any more.
func (s *State) anyGone(witnesses []ident.Incarnation) bool {
	return slices.ContainsFunc(witnesses, s.isGone)
}

// writeOff counts all that a lost holder was granted as spent.
func (s *State) writeOff(key RecoveryKey) {
	s.Log.Emit(event.RightsWrittenOff, event.Text("holder", key.Holder), event.Text("budget", key.Budget))
	page := s.page(key.Budget)
	page.pending.WriteOffs = append(page.pending.WriteOffs, key)
	s.startUpdate(page)
}

// handleFenceReply takes a guard's attestation.
func (s *State) handleFenceReply(message quota.FenceReply) {
	key := RecoveryKey{Budget: message.Budget, Holder: message.Holder}
	recovery, ok := s.recoveries[key]
	if !ok {
		return
	}
	recovery.HandleFenceReply(message)
	if reclaim, ready := recovery.Reclaim(); ready {
		s.reclaim(key, reclaim)
	}
}

func (s *State) reclaim(key RecoveryKey, reclaim account.Reclaim) {
	delete(s.recoveries, key)
	s.Log.Emit(event.RightsReclaimed, event.Text("holder", key.Holder), event.Text("budget", key.Budget),
		event.Number("ceiling", reclaim.Ceiling))
	page := s.page(key.Budget)
	page.pending.Reclaims = append(page.pending.Reclaims, reclaim)
	s.startUpdate(page)
}
