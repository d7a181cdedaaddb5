package member

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// RecordDump is the record of one member, with the facts that only the dumping
// process has observed.
type RecordDump struct {
	Member Member `json:"member"`
	// Linked is whether the process has a link to the member.
	Linked bool `json:"linked"`
	// Superseded is whether a later process has taken over the member's address.
	Superseded bool `json:"replaced"`
	// StateSince is when the process recorded the member's current state.
	StateSince time.Time `json:"state_since"`
}

// Dump is the state of a view, for operators.
type Dump struct {
	Self   ident.Incarnation `json:"self"`
	Digest uint64            `json:"digest"`
	// Evicted is whether another process has marked this one gone.
	Evicted bool `json:"evicted"`
	// Listed is the number of VMs on the platform's list.
	Listed  int          `json:"listed_vms"`
	Records []RecordDump `json:"records"`
}

// Dump returns the state of the view, with records sorted by incarnation.
func (v *View) Dump() Dump {
	dump := Dump{
		Self:    v.self,
		Digest:  v.digest,
		Evicted: v.evicted,
		Listed:  len(v.vmStates),
		Records: make([]RecordDump, 0, len(v.records)),
	}
	for _, rec := range v.records {
		dump.Records = append(dump.Records, RecordDump{
			Member:     v.withVMState(rec),
			Linked:     rec.linked,
			Superseded: rec.superseded,
			StateSince: rec.stateSince,
		})
	}
	slices.SortFunc(dump.Records, func(a, b RecordDump) int {
		return compareIncarnations(a.Member.Incarnation, b.Member.Incarnation)
	})
	return dump
}
