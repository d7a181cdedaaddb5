package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/vm"
)

// SeedTargets returns dial targets for live VMs of the platform's list at whose peer
// address no member runs, gone ones aside: at most count, nearest first. Their
// incarnations are unknown and empty. VMs at the same distance are ordered by a hash
// that differs between processes, so that the whole fleet doesn't dial the same VM.
// The address function returns the peer address of a VM.
func SeedTargets(members []Member, self Member, list []vm.VM, address func(vm.VM) string, count int) []Member {
	memberAddresses := make(map[string]bool, len(members))
	for _, m := range members {
		if m.State != Gone {
			memberAddresses[m.PeerAddress] = true
		}
	}
	var seeds []Member
	for _, machine := range list {
		if machine.State == vm.Live && !memberAddresses[address(machine)] {
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
