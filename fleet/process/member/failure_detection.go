package member

import (
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// LinkUp notes that this process has a link to the member.
func (v *View) LinkUp(incarnation ident.Incarnation) {
	if held, ok := v.records[incarnation]; ok {
		held.linked = true
		held.linkDownSince = time.Time{}
	}
}

// LinkDown notes that this process lost its link to the member. Tick suspects
// the member if no link replaces the lost one.
func (v *View) LinkDown(incarnation ident.Incarnation, now time.Time) {
	if held, ok := v.records[incarnation]; ok {
		held.linked = false
		held.linkDownSince = now
	}
}

// LinkClosed notes that a link ended because it is no longer needed.
func (v *View) LinkClosed(incarnation ident.Incarnation) {
	if held, ok := v.records[incarnation]; ok {
		held.linked = false
		held.linkDownSince = time.Time{}
	}
}

// SetVMList takes the platform's list. An empty list says nothing.
func (v *View) SetVMList(list []vm.VM) {
	if len(list) == 0 {
		return
	}
	clear(v.vmStates)
	for _, machine := range list {
		v.vmStates[machine.Name] = machine.State
	}
}

// Tick applies what the passing of time means and returns the records that it
// changed.
func (v *View) Tick(now time.Time) []Member {
	var updates []Member
	for incarnation, held := range v.records {
		if incarnation == v.self {
			continue
		}
		updates = append(updates, v.checkTimeouts(held, now)...)
	}
	return updates
}

func (v *View) checkTimeouts(held *record, now time.Time) []Member {
	incarnation := held.member.Incarnation
	inState := now.Sub(held.stateSince)
	switch {
	case held.member.State == Gone && inState >= ForgetAfter:
		delete(v.records, incarnation)
	case held.member.State == Suspected && inState >= GoneAfter && v.confirmedGone(held):
		return []Member{v.setMemberState(held.member, Gone, now)}
	case !held.linkDownSince.IsZero() && now.Sub(held.linkDownSince) >= SuspectAfter:
		return v.Suspect(incarnation, now)
	}
	return nil
}

// confirmedGone reports whether something besides silence says that the process confirmedGone.
func (v *View) confirmedGone(held *record) bool {
	if held.superseded {
		return true
	}
	_, listed := v.vmStates[held.member.VM]
	return len(v.vmStates) > 0 && !listed
}
