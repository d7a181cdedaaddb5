package locate

import (
	"cmp"
	"slices"

	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/homes"
)

// MaxNearestAddresses bounds the addresses that Nearest returns.
const MaxNearestAddresses = 64

// NearestQuery is the input of Nearest besides the members.
type NearestQuery struct {
	// Locality is that of the caller.
	Locality vm.Locality
	// Fallback has the regions in which the caller's requests may be sent to a router if
	// there is none in its own region.
	Fallback homes.Fallback
	Contact  Contact
}

// Nearest returns the caller addresses of the preferred routers nearest to the caller:
// those of its availability zone, else of its region, else of the home regions that its
// routes have in common, else of any region if some of its routes have no homes.
//
// A process that suspects at least as many members as it considers live is more likely
// itself disconnected from the others. In that case suspected members are included, up to
// the bound of the contact.
func Nearest(members []member.Member, query NearestQuery) []string {
	usable := nearestRouters(reachable(members, query.Contact), query)
	var addresses []string
	for _, router := range member.PreferredRouters(usable) {
		addresses = append(addresses, router.CallerAddress)
	}
	return addresses[:min(MaxNearestAddresses, len(addresses))]
}

// nearestRouters returns the routers at the smallest distance at which there are any.
func nearestRouters(routers []member.Member, query NearestQuery) []member.Member {
	for distance := vm.SameAvailabilityZone; distance < vm.OtherRegion; distance++ {
		near := keep(routers, func(router member.Member) bool {
			return query.Locality.Distance(router.Locality) == distance
		})
		if len(near) > 0 {
			return near
		}
	}
	return inFallback(routers, query.Fallback)
}

// inFallback returns those of the routers of other regions to which a caller may be sent.
func inFallback(routers []member.Member, fallback homes.Fallback) []member.Member {
	preferred := keep(routers, func(router member.Member) bool { return fallback.Prefers(router.Region) })
	if len(preferred) == 0 && !fallback.Exclusive {
		return routers
	}
	return preferred
}

func keep(routers []member.Member, wanted func(member.Member) bool) []member.Member {
	return slices.DeleteFunc(slices.Clone(routers), func(router member.Member) bool { return !wanted(router) })
}

// reachable returns the live members. It adds the suspected ones if there are at least
// as many of them.
func reachable(members []member.Member, contact Contact) []member.Member {
	var live, suspected []member.Member
	for _, router := range members {
		switch {
		case router.State == member.Live:
			live = append(live, router)
		case router.State == member.Suspected && !contact.lost(router):
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
