package snapshot

import (
	"slices"
	"strings"

	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/homes"
)

// HostFallback returns the regions to which callers of a host may be sent if their own
// region has no router. A host without paths has no homes.
func (s *Snapshot) HostFallback(host string) homes.Fallback {
	return s.fallbacks[host]
}

// TeamFallback returns the regions to which callers of a team may be sent if their own
// region has no router.
func (s *Snapshot) TeamFallback(team declaration.Team) homes.Fallback {
	var bounds []homes.Homes
	for _, route := range s.Set.Routes {
		if _, ok := s.Route(route.Kind, route.Name, team.Name); ok {
			bounds = append(bounds, homes.Homes{Route: route.Regions, Team: team.Regions})
		}
	}
	if len(bounds) == 0 {
		bounds = append(bounds, homes.Homes{Team: team.Regions})
	}
	return homes.FallbackOf(bounds)
}

func hostFallbacks(paths []declaration.Path) map[string]homes.Fallback {
	bounds := make(map[string][]homes.Homes)
	for _, path := range paths {
		bounds[path.Host] = append(bounds[path.Host], homes.Homes{Route: path.Regions})
	}
	fallbacks := make(map[string]homes.Fallback, len(bounds))
	for host, routes := range bounds {
		fallbacks[host] = homes.FallbackOf(routes)
	}
	return fallbacks
}

// HomeConflict is a route or path that some teams may use but that has no home region in
// common with them.
type HomeConflict struct {
	// Kind is "route" or "path".
	Kind string
	Name string
	// Team is the first of these teams by name, and Teams is their number.
	Team  string
	Teams int
}

// HomeConflicts returns the routes and paths on which requests of some teams may be served
// nowhere.
func (s *Snapshot) HomeConflicts() []HomeConflict {
	groups := teamsByRegions(s.Set.Teams)
	var conflicts []HomeConflict
	for _, route := range s.Set.Routes {
		conflict := HomeConflict{Kind: "route", Name: route.Name}
		conflict.addTeams(route.Regions, groups, func(team declaration.Team) bool {
			return len(route.Teams) == 0 || slices.Contains(route.Teams, team.Name)
		})
		conflicts = append(conflicts, conflict)
	}
	for _, path := range s.Set.Paths {
		conflict := HomeConflict{Kind: "path", Name: path.Name}
		conflict.addTeams(path.Regions, groups, func(declaration.Team) bool { return !path.Public })
		conflicts = append(conflicts, conflict)
	}
	return slices.DeleteFunc(conflicts, func(c HomeConflict) bool { return c.Teams == 0 })
}

// addTeams counts the teams that may use the route and have no home in common with it.
func (c *HomeConflict) addTeams(regions []string, groups [][]declaration.Team, mayUse func(declaration.Team) bool) {
	for _, teams := range groups {
		if !(homes.Homes{Route: regions, Team: teams[0].Regions}).Disjoint() {
			continue
		}
		for _, team := range teams {
			if !mayUse(team) {
				continue
			}
			c.Teams++
			if c.Team == "" || team.Name < c.Team {
				c.Team = team.Name
			}
		}
	}
}

// teamsByRegions groups the teams with homes by their regions. Most teams of a fleet share
// few combinations of regions.
func teamsByRegions(teams []declaration.Team) [][]declaration.Team {
	indexes := make(map[string]int)
	var groups [][]declaration.Team
	for _, team := range teams {
		if len(team.Regions) == 0 {
			continue
		}
		key := strings.Join(team.Regions, "\x00")
		index, ok := indexes[key]
		if !ok {
			index = len(groups)
			indexes[key] = index
			groups = append(groups, nil)
		}
		groups[index] = append(groups[index], team)
	}
	return groups
}
