package snapshot_test

import (
	"slices"
	"testing"

	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/snapshot"
)

func homesSet() declaration.Set {
	return declaration.Set{
		Teams: []declaration.Team{
			{Name: "annex", Regions: []string{"southern"}},
			{Name: "depot", Regions: []string{"southern"}},
			{Name: "hall"},
			{Name: "yard", Regions: []string{"western", "central"}},
		},
		Routes: []declaration.Route{
			{Name: "any", Kind: declaration.ModelRoute},
			{Name: "central", Kind: declaration.ModelRoute, Regions: []string{"central"}},
			{Name: "central-for-yard", Kind: declaration.ModelRoute, Regions: []string{"central"}, Teams: []string{"yard"}},
		},
		Paths: []declaration.Path{
			{Name: "west", Host: "bound.example", Prefix: "/west/", Regions: []string{"western", "central"}},
			{Name: "central", Host: "bound.example", Prefix: "/central/", Regions: []string{"central"}},
			{Name: "public", Host: "mixed.example", Prefix: "/public/", Public: true, Regions: []string{"western"}},
			{Name: "open", Host: "mixed.example", Prefix: "/open/"},
		},
	}
}

func TestHostFallbackCoversAllPathsOfTheHost(t *testing.T) {
	active := snapshot.New(1, homesSet())
	if got := active.HostFallback("bound.example"); !got.Exclusive || !slices.Equal(got.Regions, []string{"central"}) {
		t.Errorf("host with homes on all paths: got %+v, want central only", got)
	}
	if got := active.HostFallback("mixed.example"); got.Exclusive || !got.Bound || !slices.Equal(got.Regions, []string{"western"}) {
		t.Errorf("host with homes on some paths: got %+v, want western first", got)
	}
	if got := active.HostFallback("other.example"); got.Bound || got.Exclusive {
		t.Errorf("unknown host: got %+v, want no homes", got)
	}
}

func TestTeamFallbackCoversTheRoutesOfTheTeam(t *testing.T) {
	active := snapshot.New(1, homesSet())
	tests := []struct {
		team      int
		exclusive bool
		regions   []string
	}{
		{0, true, nil},
		{2, false, []string{"central"}},
		{3, true, []string{"central"}},
	}
	for _, test := range tests {
		team := active.Set.Teams[test.team]
		if got := active.TeamFallback(team); got.Exclusive != test.exclusive || !slices.Equal(got.Regions, test.regions) {
			t.Errorf("fallback of %s: got %+v, want exclusive %t and %v", team.Name, got, test.exclusive, test.regions)
		}
	}
}

func TestHomeConflictsNameRoutesThatTeamsCannotUse(t *testing.T) {
	got := snapshot.New(1, homesSet()).HomeConflicts()
	want := []snapshot.HomeConflict{
		{Kind: "route", Name: "central", Team: "annex", Teams: 2},
		{Kind: "path", Name: "west", Team: "annex", Teams: 2},
		{Kind: "path", Name: "central", Team: "annex", Teams: 2},
	}
	if !slices.Equal(got, want) {
		t.Errorf("conflicts: got %+v, want %+v", got, want)
	}
}
