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

// recover looks after what lost processes left behind: their journal, stored
// after they are suspected, and their rights, reclaimed after they are gone.
func (s *State) recover() {
	for _, holder := range s.Replicas.Owners() {
		if s.lost(holder) {
			s.adopt(holder)
		}
	}
	s.inspect()
	for key, recovery := range s.recoveries {
		if reclaim, ready := recovery.Reclaim(); ready {
			s.reclaim(key, reclaim)
			continue
		}
		for _, freeze := range recovery.FenceRequests(s.Self) {
			s.send(freeze.Witness, peer.Message{FenceRequest: &freeze})
		}
	}
}

// inspect reads, once, the accounts of each lost process that this one guards.
func (s *State) inspect() {
	for _, known := range s.view().Members() {
		if known.State != member.Gone || s.inspected[known.Incarnation] {
			continue
		}
		s.inspected[known.Incarnation] = true
		for _, budget := range s.Witness.Budgets(known.Incarnation) {
			page := s.page(budget)
			page.next.Reads = append(page.next.Reads, budget)
		}
	}
	s.dispatchAll()
}

func (s *State) lost(holder ident.Incarnation) bool {
	known, ok := s.view().Member(holder)
	return !ok || known.State == member.Suspected || known.State == member.Gone
}

// gone reports whether the fleet holds, or ever held, the process ended.
func (s *State) gone(holder ident.Incarnation) bool {
	known, ok := s.view().Member(holder)
	return s.inspected[holder] || ok && known.State == member.Gone
}

// consider starts to reclaim the rights of holders that are gone, as the page
// shows them.
func (s *State) consider(budget string, page account.Page) {
	for holder, record := range page.Accounts[budget].Holders {
		key := RecoveryKey{Budget: budget, Holder: holder}
		if _, running := s.recoveries[key]; running || record.Closed || !s.gone(holder) {
			continue
		}
		recovery, ok := quota.NewRecovery(budget, holder, record)
		if !ok || s.anyGone(record.Witnesses) {
			s.writeOff(key)
			continue
		}
		s.recoveries[key] = recovery
		for _, freeze := range recovery.FenceRequests(s.Self) {
			s.send(freeze.Witness, peer.Message{FenceRequest: &freeze})
		}
	}
}

// anyGone reports whether a guard has ended, so that the rights that it guarded
// cannot be reclaimed any more.
func (s *State) anyGone(guards []ident.Incarnation) bool {
	return slices.ContainsFunc(guards, s.gone)
}

// writeOff counts all that a lost holder was granted as spent.
func (s *State) writeOff(key RecoveryKey) {
	s.Log.Emit(event.QuotaWrittenOff, event.Text("holder", key.Holder), event.Text("budget", key.Budget))
	page := s.page(key.Budget)
	page.next.WriteOffs = append(page.next.WriteOffs, key)
	s.dispatch(page)
}

// frozen takes a guard's attestation.
func (s *State) frozen(message quota.FenceReply) {
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
	s.Log.Emit(event.QuotaReclaimed, event.Text("holder", key.Holder), event.Text("budget", key.Budget),
		event.Number("ceiling", reclaim.Ceiling))
	page := s.page(key.Budget)
	page.next.Reclaims = append(page.next.Reclaims, reclaim)
	s.dispatch(page)
}
