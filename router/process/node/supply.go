package node

import (
	"slices"

	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/vm"
)

// preferredRouters returns the preferred routers of each availability zone.
func preferredRouters(members []member.Member) map[vm.Locality][]member.Member {
	byLocality := make(map[vm.Locality][]member.Member)
	for _, router := range members {
		if router.State == member.Live {
			byLocality[router.Locality] = append(byLocality[router.Locality], router)
		}
	}
	for locality, all := range byLocality {
		byLocality[locality] = member.PreferredRouters(all)
	}
	return byLocality
}

// watchesStore reports whether the process watches the store: in a small fleet all
// processes do, otherwise the first WatchersPerZone preferred routers of each availability
// zone.
func watchesStore(preferred map[vm.Locality][]member.Member, self member.Member, size int) bool {
	if size <= SmallFleetSize {
		return true
	}
	zone := preferred[self.Locality]
	return contains(zone[:min(WatchersPerZone, len(zone))], self)
}

// contains reports whether the process is one of the routers.
func contains(routers []member.Member, self member.Member) bool {
	return slices.ContainsFunc(routers, func(router member.Member) bool {
		return router.Incarnation == self.Incarnation
	})
}

// supply returns which processes take grants from the store. In a large fleet only the
// preferred routers do, one for each account page and availability zone, for themselves and
// for the other processes of the zone. In a small fleet each process takes its own, but only the preferred routers count
// as direct holders, since callers are sent to them.
//
// A process whose view has only few of the other members yet must not take a large share
// of a budget: while the number of VMs with running members in the view is less than half
// of the VMs of the entry pool, all VMs of the pool count as direct holders.
func (s *State) supply(preferred map[vm.Locality][]member.Member, self member.Member, size int) quota.Supply {
	var supply quota.Supply
	for _, zone := range preferred {
		supply.DirectHolders += len(zone)
	}
	if entryVMs := len(vm.InPool(s.vmList.VMs, s.Settings.Fleet.EntryPool)); size < entryVMs/2 {
		supply.DirectHolders = entryVMs
	}
	if size <= SmallFleetSize {
		return supply
	}
	for _, zone := range preferred {
		for _, router := range zone {
			supply.Homes = append(supply.Homes, router.Incarnation)
		}
	}
	supply.Supplies = contains(preferred[self.Locality], self)
	supply.Pages = s.layout.Pages
	for _, supplier := range preferred[self.Locality] {
		supply.Suppliers = append(supply.Suppliers, supplier.Incarnation)
	}
	return supply
}

// isLargeFleet reports whether only some of the routers take grants from the store.
func (s *State) isLargeFleet() bool {
	return len(s.Quota.Supply.Homes) > 0
}
