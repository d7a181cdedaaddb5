package locate_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/locate"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed != nil && seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func router(region string, index int, state member.State) member.Member {
	name := fmt.Sprintf("%s-%02d", region, index)
	return member.Member{
		Incarnation:   ident.Incarnation(name),
		VM:            "vm-" + name,
		CallerAddress: name,
		Locality:      vm.Locality{Region: region, AvailabilityZone: region + "-a"},
		State:         state,
	}
}

func routers(region string, count int, state member.State) []member.Member {
	made := make([]member.Member, count)
	for index := range made {
		made[index] = router(region, index, state)
	}
	return made
}

func addresses(response locate.Response) []string {
	var listed []string
	for _, each := range response.Addresses {
		listed = append(listed, each.Address)
	}
	return listed
}

func TestSubsetSizeFollowsDemand(t *testing.T) {
	tests := []struct {
		demand float64
		want   int
	}{
		{0, 2}, {-1, 2}, {math.NaN(), 2}, {40, 2}, {41, 3}, {200, 10}, {math.Inf(1), math.MaxInt32},
	}
	for _, test := range tests {
		if got := locate.SubsetSize(test.demand); got != test.want {
			t.Errorf("subset size at %v: got %d, want %d", test.demand, got, test.want)
		}
	}
}

func TestOnlyUsableRoutersAreListed(t *testing.T) {
	tests := []struct {
		name    string
		members []member.Member
		want    []string
	}{
		{"no routers", nil, nil},
		{"draining and failed", append(routers("west", 2, member.Draining), routers("east", 2, member.Gone)...), nil},
		{"live beside suspected", append(routers("west", 3, member.Suspected), router("west", 7, member.Live)), []string{"west-07"}},
		{"all suspected", []member.Member{router("west", 0, member.Suspected)}, []string{"west-00"}},
		{
			"other regions before suspected",
			[]member.Member{router("west", 0, member.Suspected), router("east", 0, member.Live)},
			[]string{"east-00", "west-00"},
		},
		{
			"other regions after live",
			[]member.Member{router("east", 0, member.Live), router("west", 0, member.Live)},
			[]string{"west-00", "east-00"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := locate.SelectRouters(test.members, locate.Query{Team: "brewers", Region: "west"})
			if got := addresses(response); !slices.Equal(got, test.want) {
				t.Errorf("addresses: got %v, want %v", got, test.want)
			}
			if response.TTL != locate.TTL {
				t.Errorf("time to live: got %s, want %s", response.TTL, locate.TTL)
			}
		})
	}
}

func TestWiderSetsContainNarrowerSets(t *testing.T) {
	members := routers("west", 30, member.Live)
	narrow := addresses(locate.SelectRouters(members, locate.Query{Team: "brewers", Region: "west", SubsetSize: 3}))
	wide := addresses(locate.SelectRouters(members, locate.Query{Team: "brewers", Region: "west", SubsetSize: 9}))
	if len(narrow) != 3 || len(wide) != 9 || !slices.Equal(wide[:3], narrow) {
		t.Errorf("subsets: got %v and %v, want 3 and 9 with the same start", narrow, wide)
	}
}

// TestRemovedRouterMovesOnlyItsShare removes one router and checks that teams keep all
// others.
func TestRemovedRouterMovesOnlyItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := routers("west", rapid.IntRange(4, 40).Draw(t, "size"), member.Live)
		subsetSize := rapid.IntRange(2, 3).Draw(t, "subset size")
		removed := rapid.IntRange(0, len(members)-1).Draw(t, "removed")
		removedAddress := members[removed].CallerAddress
		remaining := slices.Delete(slices.Clone(members), removed, removed+1)
		for team := range 50 {
			query := locate.Query{Team: fmt.Sprint("team-", team), Region: "west", SubsetSize: subsetSize}
			before := addresses(locate.SelectRouters(members, query))
			after := addresses(locate.SelectRouters(remaining, query))
			want := slices.DeleteFunc(slices.Clone(before), func(a string) bool { return a == removedAddress })
			if got := after[:len(want)]; !slices.Equal(got, want) {
				t.Errorf("%s: got %v, want %v first", query.Team, after, want)
			}
		}
	})
}

func TestTeamsAreSpreadEvenly(t *testing.T) {
	const teams, size = 3000, 30
	members := routers("west", size, member.Live)
	first := make(map[string]int)
	for team := range teams {
		query := locate.Query{Team: fmt.Sprint("team-", team), Region: "west", SubsetSize: 2}
		first[addresses(locate.SelectRouters(members, query))[0]]++
	}
	for _, each := range members {
		if got := first[each.CallerAddress]; got < teams/size/2 || got > teams/size*2 {
			t.Errorf("teams of %s: got %d, want about %d", each.CallerAddress, got, teams/size)
		}
	}
}
