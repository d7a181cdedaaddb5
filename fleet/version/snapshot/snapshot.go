// Package snapshot indexes a generation of the configuration for look-ups by requests. A
// snapshot is built once per generation and is immutable, so that requests read it without
// locks.
//
// # Usage
//
//	active := snapshot.New(number, set)
//	team, ok := active.Team(key)
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/homes"
)

// Snapshot is one generation with indexes over its objects. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	// Generation is the number of the generation.
	Generation int64
	Set        declaration.Set

	// teams is keyed by key digest, paths by host and prefix, and the others by name.
	teams    map[string]declaration.Team
	budgets  map[string]declaration.Budget
	models   map[string]declaration.Model
	services map[string]declaration.Service
	routes   map[string]declaration.Route
	pools    map[string]declaration.Pool
	paths    map[string]map[string]declaration.Path
	// fallbacks is keyed by host.
	fallbacks map[string]homes.Fallback
}

// New returns a snapshot of the set, which must have no faults.
func New(generation int64, set declaration.Set) *Snapshot {
	snapshot := &Snapshot{
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
	snapshot.index()
	return snapshot
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
	s.fallbacks = hostFallbacks(s.Set.Paths)
}

// KeyDigest returns the SHA-256 digest of a caller's API key in lower-case hex, as teams
// declare it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Team returns the team that owns the API key. The key is looked up by its digest, so that
// the time of the look-up reveals nothing about valid keys.
func (s *Snapshot) Team(key string) (declaration.Team, bool) {
	team, ok := s.teams[KeyDigest(key)]
	return team, ok
}

// Budget returns the budget with the name.
func (s *Snapshot) Budget(name string) (declaration.Budget, bool) {
	budget, ok := s.budgets[name]
	return budget, ok
}

// Model returns the model with the name.
func (s *Snapshot) Model(name string) (declaration.Model, bool) {
	model, ok := s.models[name]
	return model, ok
}

// Service returns the service with the name.
func (s *Snapshot) Service(name string) (declaration.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Pool returns the pool with the name.
func (s *Snapshot) Pool(name string) (declaration.Pool, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// Route returns the route with the kind and name. It returns false if there is none or if
// the team may not use it.
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

// Path returns the path of the host whose prefix is the longest one that matches the
// target, which is the URL path of a request. Prefixes begin and end with a slash, so only
// the parts of the target up to a slash are looked up.
func (s *Snapshot) Path(host, target string) (declaration.Path, bool) {
	prefixes := s.paths[host]
	for end := strings.LastIndexByte(target, '/'); end >= 0; end = strings.LastIndexByte(target[:end], '/') {
		if path, ok := prefixes[target[:end+1]]; ok {
			return path, true
		}
	}
	return declaration.Path{}, false
}
