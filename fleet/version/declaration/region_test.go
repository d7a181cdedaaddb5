package declaration_test

import (
	"reflect"
	"slices"
	"testing"

	"jacinthpaddle.example/fleet/version/declaration"
)

// withHomes declares home regions of the team and of the route.
var withHomes = valid + `
[team annex]
budget = hall
key_digests = ` + digestB + `
regions = western, central
[route central]
kind = model
target = small
regions = central
`

func TestLoadReadsHomeRegions(t *testing.T) {
	set, faults, err := load(withHomes)
	if err != nil || len(faults) > 0 {
		t.Fatalf("load: got %v and %v, want no faults", faults, err)
	}
	if got, want := set.Teams[0].Regions, []string{"western", "central"}; !slices.Equal(got, want) {
		t.Errorf("regions of the team: got %v, want %v", got, want)
	}
	if got, want := set.Routes[0].Regions, []string{"central"}; !slices.Equal(got, want) {
		t.Errorf("regions of the route: got %v, want %v", got, want)
	}
	if got, want := declaration.NamedRegions(set), []string{"central", "western"}; !slices.Equal(got, want) {
		t.Errorf("named regions: got %v, want %v", got, want)
	}
}

func TestLoadReportsFaultyHomeRegions(t *testing.T) {
	tests := []struct{ name, added, want string }{
		{"named twice", "[route twice]\nkind = model\ntarget = small\nregions = central, central\n", `route twice: regions: region "central" is named twice`},
		{"empty item", "[route empty]\nkind = model\ntarget = small\nregions = central,\n", "route empty: regions: has an empty item"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults, err := load(valid, test.added)
			if err != nil || !contains(faults, test.want) {
				t.Errorf("faults: got %v and %v, want %q among them", faults, err, test.want)
			}
		})
	}
}

func TestUnknownRegionsNameObjectAndField(t *testing.T) {
	set, _, _ := load(withHomes)
	if got := declaration.CheckRegions(set, []string{"western", "central"}); len(got) > 0 {
		t.Errorf("faults with known regions: got %v, want none", got)
	}
	got := declaration.CheckRegions(set, []string{"western"})
	want := []declaration.Fault{
		{Kind: "route", Name: "central", Field: "regions", Reason: `region "central" is not known`},
		{Kind: "team", Name: "annex", Field: "regions", Reason: `region "central" is not known`},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("faults: got %v, want %v", got, want)
	}
}
