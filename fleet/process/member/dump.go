package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// RecordDump is one member with what this process alone has seen of it.
type RecordDump struct {
	Member     Member    `json:"member"`
	Linked     bool      `json:"linked"`
	Replaced   bool      `json:"replaced"`
	StateSince time.Time `json:"state_since"`
}

// Dump is the state of a view.
type Dump struct {
	Self    ident.Incarnation `json:"self"`
	Digest  uint64            `json:"digest"`
	Evicted bool              `json:"evicted"`
	Listed  int               `json:"listed_vms"`
	Records []RecordDump      `json:"records"`
}

// Dump returns the state of the view, by incarnation.
func (v *View) Dump() Dump {
	dumped := Dump{
		Self:    v.self,
		Digest:  v.digest,
		Evicted: v.evicted,
		Listed:  len(v.vmStates),
		Records: make([]RecordDump, 0, len(v.records)),
	}
	for _, held := range v.records {
		dumped.Records = append(dumped.Records, RecordDump{
			Member:     v.withVMState(held),
			Linked:     held.linked,
			Replaced:   held.superseded,
			StateSince: held.stateSince,
		})
	}
	slices.SortFunc(dumped.Records, func(a, b RecordDump) int {
		return compareIncarnations(a.Member.Incarnation, b.Member.Incarnation)
	})
	return dumped
}

// Seeds returns targets for VMs of the platform's list on which the view knows
// no process: at most count, the nearest first. Their incarnations are unknown.
// Each process draws others, so that no VM is dialled by the whole fleet.
func Seeds(members []Member, self Member, list []vm.VM, address func(vm.VM) string, count int) []Member {
	known := make(map[string]bool, len(members))
	for _, held := range members {
		if held.State != Gone {
			known[held.PeerAddress] = true
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

func seedRank(self, candidate Member) uint64 {
	return xxhash.Sum64String(string(self.Incarnation) + " " + candidate.PeerAddress)
}
