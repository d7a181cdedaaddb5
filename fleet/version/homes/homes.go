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
// The zero value allows any region.
type Fallback struct {
	// Bound is true if some of the routes that the caller may use have homes.
	Bound bool
	// Exclusive is true if all of them have homes, so that the caller is sent to no region
	// besides Regions.
	Exclusive bool
	// Regions are the homes that all routes with homes have in common.
	Regions []string
}

// NoFallback allows no region besides the caller's own.
func NoFallback() Fallback {
	return Fallback{Bound: true, Exclusive: true}
}

// FallbackOf returns the fallback for a caller that may use routes with these homes.
func FallbackOf(routes []Homes) Fallback {
	var fallback Fallback
	unbound := false
	for _, route := range routes {
		switch {
		case !route.Bound():
			unbound = true
		case fallback.Bound:
			fallback.Regions = slices.DeleteFunc(fallback.Regions, func(region string) bool { return !route.Allows(region) })
		default:
			fallback.Bound = true
			fallback.Regions = route.allowed()
		}
	}
	fallback.Exclusive = fallback.Bound && !unbound
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
