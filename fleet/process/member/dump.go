package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
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
	Self    ident.Incarnation `json:"self"`
	Digest  uint64            `json:"digest"`
	Evicted bool              `json:"evicted"`
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

// SeedTargets returns dial targets for live VMs of the platform's list at whose peer
// address the members have no process: at most count, nearest first. Their
// incarnations are unknown and empty. VMs at the same distance are ordered by a hash
// that differs between processes, so that the whole fleet doesn't dial the same VM.
// The address function returns the peer address of a VM.
func SeedTargets(members []Member, self Member, list []vm.VM, address func(vm.VM) string, count int) []Member {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		if m.State != Gone {
			known[m.PeerAddress] = true
		}
	}
	var seeds []Member
	for _, machine := range list {
		if machine.State == vm.Live && !known[address(machine)] {
			seeds = append(seeds, Member{
				VM:          machine.Name,
				Address:     machine.Address,
				PeerAddress: address(machine),
				Locality:    machine.Locality,
			})
		}
	}
	slices.SortFunc(seeds, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(self.Distance(a.Locality), self.Distance(b.Locality)),
			cmp.Compare(seedRank(self, a), seedRank(self, b)),
		)
	})
	return seeds[:min(count, len(seeds))]
}

// seedRank orders seeds at the same distance, differently for each process.
func seedRank(self, candidate Member) uint64 {
	return xxhash.Sum64String(string(self.Incarnation) + " " + candidate.PeerAddress)
}
