// Package snapshot is the compiled form of the configuration in force, built
// once a generation and read by every request without locks.
//
// # Usage
//
//	view := snapshot.New(number, set)
//	team, ok := view.Team(key)
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"jacinthpaddle.example/fleet/version/declaration"
)

// Snapshot is one generation. It is never changed after New.
type Snapshot struct {
	Generation int64
	Set        declaration.Set

	teams    map[string]declaration.Team
	budgets  map[string]declaration.Budget
	models   map[string]declaration.Model
	services map[string]declaration.Service
	routes   map[string]declaration.Route
	pools    map[string]declaration.Pool
	paths    map[string]map[string]declaration.Path
}

// New compiles a set that has been checked.
func New(generation int64, set declaration.Set) *Snapshot {
	view := &Snapshot{
		Generation: generation,
		Set:        set,
		teams:      make(map[string]declaration.Team),
		budgets:    make(map[string]declaration.Budget),
		models:     make(map[string]declaration.Model),
		services:   make(map[string]declaration.Service),
		routes:     make(map[string]declaration.Route),
		pools:      make(map[string]declaration.Pool),
		paths:      make(map[string]map[string]declaration.Path),
	}
	view.index()
	return view
}

func (s *Snapshot) index() {
	for _, team := range s.Set.Teams {
		for _, digest := range team.KeyDigests {
			s.teams[digest] = team
		}
	}
	for _, budget := range s.Set.Budgets {
		s.budgets[budget.Name] = budget
	}
	for _, model := range s.Set.Models {
		s.models[model.Name] = model
	}
	for _, service := range s.Set.Services {
		s.services[service.Name] = service
	}
	for _, route := range s.Set.Routes {
		s.routes[route.Name] = route
	}
	for _, pool := range s.Set.Pools {
		s.pools[pool.Name] = pool
	}
	for _, path := range s.Set.Paths {
		if s.paths[path.Host] == nil {
			s.paths[path.Host] = make(map[string]declaration.Path)
		}
		s.paths[path.Host][path.Prefix] = path
	}
}

// KeyDigest returns the form in which a caller's key is kept.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Team returns the team that owns the key. The look-up is by digest, so its
// timing tells nothing of any key.
func (s *Snapshot) Team(key string) (declaration.Team, bool) {
	team, ok := s.teams[KeyDigest(key)]
	return team, ok
}

// Budget returns the budget of that name.
func (s *Snapshot) Budget(name string) (declaration.Budget, bool) {
	budget, ok := s.budgets[name]
	return budget, ok
}

// Model returns the model of that name.
func (s *Snapshot) Model(name string) (declaration.Model, bool) {
	model, ok := s.models[name]
	return model, ok
}

// Service returns the service of that name.
func (s *Snapshot) Service(name string) (declaration.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Pool returns the pool of that name.
func (s *Snapshot) Pool(name string) (declaration.Pool, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// Route returns the route of that kind and name if the team may use it.
func (s *Snapshot) Route(kind declaration.RouteKind, name, team string) (declaration.Route, bool) {
	route, ok := s.routes[name]
	if !ok || route.Kind != kind {
		return declaration.Route{}, false
	}
	if len(route.Teams) > 0 && !slices.Contains(route.Teams, team) {
		return declaration.Route{}, false
	}
	return route, true
}

// Path returns the path of the host with the longest prefix of the target, the
// path of a request. Prefixes begin and end with a slash.
func (s *Snapshot) Path(host, target string) (declaration.Path, bool) {
	prefixes := s.paths[host]
	for end := strings.LastIndexByte(target, '/'); end >= 0; end = strings.LastIndexByte(target[:end], '/') {
		if path, ok := prefixes[target[:end+1]]; ok {
			return path, true
		}
	}
	return declaration.Path{}, false
}
