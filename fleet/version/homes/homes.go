// Package homes decides in which regions a request may be served, and to which regions a
// caller may be sent whose own region has no router.
//
// A route and a team may each name home regions. Where both do, both bind. Without homes
// a request may be served anywhere. The decisions read one version of the configuration
// and have no state.
//
// # Usage
//
//	bound := homes.Homes{Route: path.Regions, Team: team.Regions}
//	if bound.Disjoint() {
//		return refusal
//	}
//	usable := bound.Allows(endpoint.Region)
//
//	fallback := homes.FallbackOf([]homes.Homes{{Route: first.Regions}, {Route: second.Regions}})
//	named := fallback.Prefers(router.Region)
package homes

import "slices"

// Homes are the home regions of a request. An empty list binds nothing.
type Homes struct {
	// Route has the regions that the route names.
	Route []string
	// Team has the regions that the team names.
	Team []string
}

// Bound reports whether the request has homes.
func (h Homes) Bound() bool {
	return len(h.Route) > 0 || len(h.Team) > 0
}

// Allows reports whether the request may be served in the region.
func (h Homes) Allows(region string) bool {
	return listAllows(h.Route, region) && listAllows(h.Team, region)
}

// Disjoint reports whether route and team both name homes but have none in common, so that
// the request may be served nowhere.
func (h Homes) Disjoint() bool {
	return len(h.Route) > 0 && len(h.Team) > 0 && !slices.ContainsFunc(h.Route, h.Allows)
}

// Fallback has the regions to which a caller may be sent if its own region has no router.
// The zero value allows none.
type Fallback struct {
	// Anywhere is true if some of the routes that the caller may use have no homes.
	Anywhere bool
	// Bound is true if some of the routes have homes.
	Bound bool
	// Regions are the homes that all routes with homes have in common.
	Regions []string
}

// FallbackOf returns the fallback for a caller that may use routes with these homes.
func FallbackOf(routes []Homes) Fallback {
	var fallback Fallback
	for _, route := range routes {
		if !route.Bound() {
			fallback.Anywhere = true
			continue
		}
		if fallback.Bound {
			fallback.Regions = slices.DeleteFunc(fallback.Regions, func(region string) bool { return !route.Allows(region) })
			continue
		}
		fallback.Bound = true
		fallback.Regions = route.allowed()
	}
	return fallback
}

// Prefers reports whether all routes with homes may be served in the region.
func (f Fallback) Prefers(region string) bool {
	return f.Bound && slices.Contains(f.Regions, region)
}

// allowed returns the regions that bound homes allow.
func (h Homes) allowed() []string {
	candidates := h.Route
	if len(candidates) == 0 {
		candidates = h.Team
	}
	var regions []string
	for _, region := range candidates {
		if h.Allows(region) {
			regions = append(regions, region)
		}
	}
	return regions
}

func listAllows(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}
