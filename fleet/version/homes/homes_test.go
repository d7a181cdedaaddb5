package homes_test

import (
	"slices"
	"testing"

	"jacinthpaddle.example/fleet/version/homes"
)

func TestRouteAndTeamBothBind(t *testing.T) {
	tests := []struct {
		name     string
		homes    homes.Homes
		bound    bool
		disjoint bool
		allowed  []string
	}{
		{"no homes", homes.Homes{}, false, false, []string{"western", "central", "southern"}},
		{"route only", homes.Homes{Route: []string{"central"}}, true, false, []string{"central"}},
		{"team only", homes.Homes{Team: []string{"central", "western"}}, true, false, []string{"western", "central"}},
		{"both", homes.Homes{Route: []string{"western", "central"}, Team: []string{"central", "southern"}}, true, false, []string{"central"}},
		{"none in common", homes.Homes{Route: []string{"western"}, Team: []string{"southern"}}, true, true, nil},
		{"empty lists that were declared", homes.Homes{Route: []string{}, Team: []string{}}, false, false, []string{"western", "central", "southern"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.homes.Bound(); got != test.bound {
				t.Errorf("bound: got %t, want %t", got, test.bound)
			}
			if got := test.homes.Disjoint(); got != test.disjoint {
				t.Errorf("disjoint: got %t, want %t", got, test.disjoint)
			}
			var allowed []string
			for _, region := range []string{"western", "central", "southern"} {
				if test.homes.Allows(region) {
					allowed = append(allowed, region)
				}
			}
			if !slices.Equal(allowed, test.allowed) {
				t.Errorf("allowed: got %v, want %v", allowed, test.allowed)
			}
		})
	}
}

// The region of an endpoint is unknown if the platform lists an availability zone that no
// setting names.
func TestUnknownRegionIsNoHome(t *testing.T) {
	if (homes.Homes{Route: []string{"western"}}).Allows("") {
		t.Error("unknown region: got allowed, want refused")
	}
}

func TestFallbackIsWhatAllRoutesHaveInCommon(t *testing.T) {
	west, both := homes.Homes{Route: []string{"western"}}, homes.Homes{Route: []string{"western", "central"}}
	south := homes.Homes{Team: []string{"southern"}}
	tests := []struct {
		name   string
		routes []homes.Homes
		want   homes.Fallback
	}{
		{"no routes", nil, homes.Fallback{}},
		{"no homes", []homes.Homes{{}, {}}, homes.Fallback{}},
		{"one route", []homes.Homes{both}, homes.Fallback{Bound: true, Exclusive: true, Regions: []string{"western", "central"}}},
		{"common homes", []homes.Homes{both, west}, homes.Fallback{Bound: true, Exclusive: true, Regions: []string{"western"}}},
		{"some without homes", []homes.Homes{both, {}}, homes.Fallback{Bound: true, Regions: []string{"western", "central"}}},
		{"nothing in common", []homes.Homes{west, south}, homes.Fallback{Bound: true, Exclusive: true}},
		{"nothing in common, also later", []homes.Homes{west, south, both}, homes.Fallback{Bound: true, Exclusive: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := homes.FallbackOf(test.routes)
			if got.Bound != test.want.Bound || got.Exclusive != test.want.Exclusive || !slices.Equal(got.Regions, test.want.Regions) {
				t.Errorf("fallback: got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestFallbackLeavesTheDeclaredListsUnchanged(t *testing.T) {
	declared := []string{"western", "central"}
	homes.FallbackOf([]homes.Homes{{Route: declared}, {Route: []string{"central"}}})
	if want := []string{"western", "central"}; !slices.Equal(declared, want) {
		t.Errorf("declared regions: got %v, want %v", declared, want)
	}
}

func TestDecisionsDoNotAllocate(t *testing.T) {
	bound := homes.Homes{Route: []string{"western", "central"}, Team: []string{"central"}}
	if got := testing.AllocsPerRun(100, func() { _ = bound.Bound() && !bound.Disjoint() && bound.Allows("central") }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}
