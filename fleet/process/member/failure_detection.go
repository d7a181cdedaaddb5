package member

import (
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// LinkUp records that this process has a link to the member. The loss of this link will be
// another failure than the last one for which the member was suspected.
func (v *View) LinkUp(incarnation ident.Incarnation) {
	if rec, ok := v.records[incarnation]; ok {
		rec.linked = true
		rec.linkDownSince = time.Time{}
		rec.lastSuspected = time.Time{}
	}
}

// LinkDown records that this process lost its link to the member. Tick marks the member
// suspected if no new link comes up within SuspectAfter.
func (v *View) LinkDown(incarnation ident.Incarnation, now time.Time) {
	if rec, ok := v.records[incarnation]; ok {
		rec.linked = false
		rec.linkDownSince = now
	}
}

// LinkClosed records that a link ended because it is no longer needed, which is no sign
// of a failure.
func (v *View) LinkClosed(incarnation ident.Incarnation) {
	if rec, ok := v.records[incarnation]; ok {
		rec.linked = false
		rec.linkDownSince = time.Time{}
	}
}

// SetVMList replaces the platform's list of VMs. An empty list is ignored, because it is
// no evidence that all VMs were removed.
func (v *View) SetVMList(list []vm.VM) {
	if len(list) == 0 {
		return
	}
	clear(v.vmStates)
	for _, machine := range list {
		v.vmStates[machine.Name] = machine.State
	}
}

// Tick applies the timeouts of failure detection and returns the records that changed.
func (v *View) Tick(now time.Time) []Member {
	var updates []Member
	for incarnation, rec := range v.records {
		if incarnation == v.self {
			continue
		}
		updates = append(updates, v.checkTimeouts(rec, now)...)
	}
	return updates
}

// checkTimeouts deletes one record, or marks its member gone or suspected, when a timeout
// has expired. It returns the record if its state changed.
func (v *View) checkTimeouts(rec *record, now time.Time) []Member {
	incarnation := rec.member.Incarnation
	timeInState := now.Sub(rec.stateSince)
	switch {
	case rec.member.State == Gone && timeInState >= ForgetAfter:
		delete(v.records, incarnation)
	case rec.member.State == Suspected && timeInState >= GoneAfter && v.confirmedGone(rec):
		return []Member{v.setMemberState(rec.member, Gone, now)}
	case !rec.linkDownSince.IsZero() && now.Sub(rec.linkDownSince) >= SuspectAfter:
		return v.Suspect(incarnation, now)
	}
	return nil
}

// confirmedGone reports whether there is evidence besides unreachability that a process
// has terminated: a successor at its peer address, or a VM that is missing from the
// platform's list.
func (v *View) confirmedGone(rec *record) bool {
	if rec.superseded {
		return true
	}
	_, listed := v.vmStates[rec.member.VM]
	return len(v.vmStates) > 0 && !listed
}
