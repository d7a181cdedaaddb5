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

// RecoveryKey identifies the recovery of the quota of a failed holder in one budget.
type RecoveryKey struct {
	Budget string
	Holder ident.Incarnation
}

// recoverFailedProcesses stores the replicated journal records of suspected and failed
// processes, and reclaims the quota of failed ones. It repeats the fence requests to
// witnesses that have not replied.
func (s *State) recoverFailedProcesses() {
	for _, owner := range s.Replicas.Owners() {
		if s.isSuspectedOrFailed(owner) {
			s.storeReplicas(owner)
		}
	}
	s.readAccountsOfFailed()
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

// readAccountsOfFailed reads, once for each failed process, the accounts of the budgets in
// which this process is its witness.
func (s *State) readAccountsOfFailed() {
	for _, process := range s.view().Members() {
		if process.State != member.Gone || s.accountsRead[process.Incarnation] {
			continue
		}
		s.accountsRead[process.Incarnation] = true
		for _, budget := range s.Witness.Budgets(process.Incarnation) {
			s.readAccount(budget)
		}
	}
	s.startAllUpdates()
}

// isSuspectedOrFailed reports whether the process is suspected, has failed or is not in
// the view.
func (s *State) isSuspectedOrFailed(process ident.Incarnation) bool {
	known, ok := s.view().Member(process)
	return !ok || known.State == member.Suspected || known.State == member.Gone
}

// hasFailed reports whether the process has failed in the current view or in an earlier
// one.
func (s *State) hasFailed(process ident.Incarnation) bool {
	known, ok := s.view().Member(process)
	return s.accountsRead[process] || ok && known.State == member.Gone
}

// startRecoveries starts to reclaim the quota of each failed holder that has an open
// record in the account of the page. The quota is written off instead if the record has
// too few witnesses or one of them has failed too.
func (s *State) startRecoveries(budget string, page account.Page) {
	for holder, record := range page.Accounts[budget].Holders {
		key := RecoveryKey{Budget: budget, Holder: holder}
		if _, running := s.recoveries[key]; running || record.Closed || !s.hasFailed(holder) {
			continue
		}
		recovery, ok := quota.NewRecovery(budget, holder, record)
		if !ok || s.anyFailed(record.Witnesses) {
			s.writeOff(key)
			continue
		}
		s.recoveries[key] = recovery
		for _, request := range recovery.FenceRequests(s.Self) {
			s.send(request.Witness, peer.Message{FenceRequest: &request})
		}
	}
}

// anyFailed reports whether a witness has failed. The quota that it witnessed can then no
// longer be reclaimed, since all witnesses must attest the ceiling.
func (s *State) anyFailed(witnesses []ident.Incarnation) bool {
	return slices.ContainsFunc(witnesses, s.hasFailed)
}

// writeOff counts all quota that was granted to a failed holder as spent.
func (s *State) writeOff(key RecoveryKey) {
	s.Log.Emit(event.QuotaWrittenOff, event.String("holder", key.Holder), event.String("budget", key.Budget))
	page := s.page(key.Budget)
	page.pending.WriteOffs = append(page.pending.WriteOffs, key)
	s.startUpdate(page)
}

// handleFenceReply stores the ceiling that a witness attests, and reclaims the quota once
// all witnesses have replied.
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
	s.Log.Emit(event.QuotaReclaimed, event.String("holder", key.Holder), event.String("budget", key.Budget),
		event.Int("ceiling", reclaim.Ceiling))
	page := s.page(key.Budget)
	page.pending.Reclaims = append(page.pending.Reclaims, reclaim)
	s.startUpdate(page)
}
