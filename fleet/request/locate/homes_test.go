package locate_test

import (
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/version/homes"
)

// Fallbacks of a host whose routes are all bound to the region, and of one that also has
// routes without homes.
func exclusive(regions ...string) homes.Fallback {
	return homes.Fallback{Bound: true, Exclusive: true, Regions: regions}
}

func partial(regions ...string) homes.Fallback {
	return homes.Fallback{Bound: true, Regions: regions}
}

// One failure each: the caller's availability zone, its region, and the home regions lose
// their routers. A body must not be sent to a router outside the homes and the caller's own
// region.
func TestNearestNamesNoRouterOutsideHomes(t *testing.T) {
	zone, region := at("western", "hall", "zone", member.Live), at("western", "yard", "region", member.Live)
	central, southern := at("central", "depot", "central", member.Live), at("southern", "annex", "southern", member.Live)
	tests := []struct {
		name     string
		members  []member.Member
		fallback homes.Fallback
		want     []string
	}{
		{"own zone, which is no home", []member.Member{zone, region, central, southern}, exclusive("central"), []string{"zone"}},
		{"zone lost: own region", []member.Member{region, central, southern}, exclusive("central"), []string{"region"}},
		{"region lost: the homes", []member.Member{central, southern}, exclusive("southern"), []string{"southern"}},
		{"region lost: the homes, though some routes have none", []member.Member{central, southern}, partial("southern"), []string{"southern"}},
		{"region and homes lost", []member.Member{central}, exclusive("southern"), nil},
		{"region and homes lost, some routes have none", []member.Member{central}, partial("southern"), []string{"central"}},
		{"region lost, no common home", []member.Member{central, southern}, exclusive(), nil},
		{"region lost, no homes", []member.Member{central, southern}, homes.Fallback{}, []string{"central", "southern"}},
		{"region lost, homes not known", []member.Member{central, southern}, homes.NoFallback(), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := locate.Nearest(test.members, locate.NearestQuery{Locality: hall, Fallback: test.fallback})
			if !slices.Equal(got, test.want) {
				t.Errorf("addresses: got %v, want %v", got, test.want)
			}
		})
	}
}

func TestSelectRoutersNamesNoRouterOutsideHomes(t *testing.T) {
	west := routers("west", 3, member.Live)
	central, south := router("central", 0, member.Live), router("south", 0, member.Live)
	all := append(slices.Clone(west), central, south)
	tests := []struct {
		name     string
		members  []member.Member
		fallback homes.Fallback
		// want are the regions of the response in order.
		want []string
	}{
		{"own region, then the homes", all, exclusive("south"), []string{"west", "west", "south"}},
		{"own region, then the homes, though some routes have none", all, partial("south"), []string{"west", "west", "south"}},
		{"homes without a router", west, exclusive("south"), []string{"west", "west"}},
		{"homes without a router are not replaced", append(slices.Clone(west), central), partial("south"), []string{"west", "west"}},
		{"own region lost", []member.Member{central, south}, exclusive("south"), []string{"south"}},
		{"own region and homes lost", []member.Member{central}, exclusive("south"), nil},
		{"own region and homes lost, some routes have none", []member.Member{central}, partial("south"), []string{"central"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := locate.SelectRouters(test.members, locate.Query{Team: "hall", Region: "west", Fallback: test.fallback})
			var got []string
			for _, address := range response.Addresses {
				got = append(got, address.Region)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("regions: got %v, want %v", got, test.want)
			}
		})
	}
}

// Most routers of a fleet are killed at the same moment, and their VMs do not return. The
// processes that are left cannot tell this from a partition and go on naming the suspected
// ones, but only up to the bound.
func TestRoutersThatStayedSilentAreNotNamed(t *testing.T) {
	start := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	const bound = locate.DetectionTime + 2*time.Second
	live := at("western", "hall", "live", member.Live)
	silent := func(name string) member.Member {
		made := at("western", "hall", name, member.Suspected)
		made.StateSince = start
		return made
	}
	members := []member.Member{live, silent("silent")}
	tests := []struct {
		name  string
		since time.Duration
		bound time.Duration
		want  []string
	}{
		{"just suspected", 0, bound, []string{"live", "silent"}},
		{"at the bound", 2 * time.Second, bound, []string{"live", "silent"}},
		{"after the bound", 2*time.Second + time.Millisecond, bound, []string{"live"}},
		{"bound below the time of detection", 0, locate.DetectionTime - time.Millisecond, []string{"live"}},
		{"no bound", time.Hour, 0, []string{"live", "silent"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			contact := locate.Contact{Now: start.Add(test.since), Bound: test.bound}
			got := locate.Nearest(members, locate.NearestQuery{Locality: hall, Contact: contact})
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("addresses: got %v, want %v", got, test.want)
			}
		})
	}
}

// The caller's region has lost all its routers: first they are listed after the fallback, as
// they may be back, and then no more.
func TestSelectRoutersOmitsRoutersThatStayedSilent(t *testing.T) {
	start := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	lost := router("west", 0, member.Suspected)
	lost.StateSince = start
	members := []member.Member{lost, router("east", 0, member.Live)}
	query := locate.Query{Team: "hall", Region: "west", Contact: locate.Contact{Now: start, Bound: locate.DetectionTime + 2*time.Second}}
	if got, want := addresses(locate.SelectRouters(members, query)), []string{"east-00", "west-00"}; !slices.Equal(got, want) {
		t.Errorf("addresses: got %v, want %v", got, want)
	}
	query.Contact.Now = start.Add(2*time.Second + time.Millisecond)
	if got, want := addresses(locate.SelectRouters(members, query)), []string{"east-00"}; !slices.Equal(got, want) {
		t.Errorf("addresses after the bound: got %v, want %v", got, want)
	}
}

func TestPreferredRoutersOfSeveralHomes(t *testing.T) {
	members := []member.Member{
		at("central", "depot", "a", member.Live), strong(at("southern", "annex", "b", member.Live)),
		strong(at("southern", "office", "c", member.Live)), at("eastern", "store", "d", member.Live),
	}
	got := locate.Nearest(members, locate.NearestQuery{
		Locality: vm.Locality{Region: "western", AvailabilityZone: "hall"},
		Fallback: exclusive("central", "southern"),
	})
	if want := []string{"b", "c"}; !slices.Equal(got, want) {
		t.Errorf("addresses: got %v, want %v", got, want)
	}
}
