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
		held.downSince = time.Time{}
	}
}

// LinkDown notes that this process lost its link to the member. Tick suspects
// the member if no link replaces the lost one.
func (v *View) LinkDown(incarnation ident.Incarnation, now time.Time) {
	if held, ok := v.records[incarnation]; ok {
		held.linked = false
		held.downSince = now
	}
}

// LinkClosed notes that a link ended because it is no longer needed.
func (v *View) LinkClosed(incarnation ident.Incarnation) {
	if held, ok := v.records[incarnation]; ok {
		held.linked = false
		held.downSince = time.Time{}
	}
}

// SetVMList takes the platform's list. An empty list says nothing.
func (v *View) SetVMList(list []vm.VM) {
	if len(list) == 0 {
		return
	}
	clear(v.platform)
	for _, machine := range list {
		v.platform[machine.Name] = machine.State
	}
}

// Tick applies what the passing of time means and returns the records that it
// changed.
func (v *View) Tick(now time.Time) []Member {
	var news []Member
	for incarnation, held := range v.records {
		if incarnation == v.self {
			continue
		}
		news = append(news, v.age(held, now)...)
	}
	return news
}

func (v *View) age(held *record, now time.Time) []Member {
	incarnation := held.member.Incarnation
	inState := now.Sub(held.stateSince)
	switch {
	case held.member.State == Gone && inState >= ForgetAfter:
		delete(v.records, incarnation)
	case held.member.State == Suspected && inState >= GoneAfter && v.ended(held):
		return []Member{v.mark(held.member, Gone, now)}
	case !held.downSince.IsZero() && now.Sub(held.downSince) >= SuspectAfter:
		return v.Suspect(incarnation, now)
	}
	return nil
}

// ended reports whether something besides silence says that the process ended.
func (v *View) ended(held *record) bool {
	if held.replaced {
		return true
	}
	_, listed := v.platform[held.member.VM]
	return len(v.platform) > 0 && !listed
}
