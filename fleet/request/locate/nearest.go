package locate

import (
	"cmp"
	"slices"

	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

// MaxNearestAddresses bounds the addresses that Nearest returns.
const MaxNearestAddresses = 64

// Nearest returns the caller addresses of the preferred routers nearest to the locality:
// those of its availability zone, else of its region, else of any region.
//
// A process that suspects at least as many members as it considers live is more likely
// itself disconnected from the others. In that case suspected members are included.
func Nearest(members []member.Member, locality vm.Locality) []string {
	usable := reachable(members)
	nearest := vm.OtherRegion
	for _, router := range usable {
		nearest = min(nearest, locality.Distance(router.Locality))
	}
	usable = slices.DeleteFunc(usable, func(router member.Member) bool {
		return locality.Distance(router.Locality) != nearest
	})
	var addresses []string
	for _, router := range member.PreferredRouters(usable) {
		addresses = append(addresses, router.CallerAddress)
	}
	return addresses[:min(MaxNearestAddresses, len(addresses))]
}

// reachable returns the live members. It adds the suspected ones if there are at least
// as many of them.
func reachable(members []member.Member) []member.Member {
	var live, suspected []member.Member
	for _, router := range members {
		switch router.State {
		case member.Live:
			live = append(live, router)
		case member.Suspected:
			suspected = append(suspected, unlessReplaced(members, router)...)
		}
	}
	if len(suspected) >= len(live) {
		live = append(live, suspected...)
	}
	slices.SortFunc(live, func(a, b member.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// unlessReplaced returns the router, or none if a live process with another incarnation
// has the same address.
func unlessReplaced(members []member.Member, router member.Member) []member.Member {
	for _, other := range members {
		if other.CallerAddress == router.CallerAddress && other.Incarnation != router.Incarnation && other.State == member.Live {
			return nil
		}
	}
	return []member.Member{router}
}
