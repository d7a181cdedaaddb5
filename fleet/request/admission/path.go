package admission

import (
	"time"

	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// StallFactor is the ratio of the stall timeout of a path to the longer of two durations
// that the path declares: the largest gap between events, and the goal for the time to
// the first byte.
const StallFactor = 3

// PathRequest holds what the admission of a request by host and path depends on.
type PathRequest struct {
	Host string
	Path string
	// Key is the API key of the caller, or empty.
	Key         string
	InputTokens int64
	// MaxOutput is in tokens.
	MaxOutput int64
	// SplitValue selects one of the pools of the path by weight. It must be uniformly
	// distributed over requests, such as a hash.
	SplitValue uint64
}

// Path admits a request by host and path. Each token costs one credit, and the input
// is charged whatever the result, once the request has been dispatched. Teams without
// a budget are not charged. An error is always an *outcome.Error with run not_run.
func Path(config *snapshot.Snapshot, request PathRequest) (Plan, error) {
	path, ok := config.Path(request.Host, request.Path)
	if !ok {
		return Plan{}, refuse(outcome.NotFound, "path", request.Path, "path", "nothing is served there")
	}
	team, err := pathTeam(config, path, request.Key)
	if err != nil {
		return Plan{}, err
	}
	bound, err := homesOf("path", path.Name, path.Regions, team)
	if err != nil {
		return Plan{}, err
	}
	reserve, ok := cost(request.InputTokens, 1, request.MaxOutput, 1)
	if !ok {
		return Plan{}, refuse(outcome.BadRequest, "path", path.Name, "tokens", "the cost is out of range")
	}
	pool, _ := config.Pool(pickPool(path.Backends, request.SplitValue))
	plan := Plan{
		Team:               team,
		Kind:               declaration.ServiceRoute,
		Target:             path.Name,
		Pool:               pool,
		Homes:              bound,
		Idempotent:         path.Idempotent(),
		InputPrice:         1,
		OutputPrice:        1,
		MaxOutput:          request.MaxOutput,
		Priority:           priority(path, team),
		Timeout:            path.Timeout,
		StallTimeout:       stallTimeout(path),
		CancelOnDisconnect: path.Kind != declaration.UnsafePath,
		MaxStarted:         path.Attempts,
		Streamed:           path.Kind == declaration.StreamPath,
		Resumable:          path.Resumable && path.Kind == declaration.StreamPath,
		TokensPerEvent:     max(1, pool.TokensPerEvent),
	}
	if team.Budget != "" {
		plan.Reserve = reserve
		plan.Floor = request.InputTokens
	}
	return plan, nil
}

// pathTeam returns the team of the key, or an empty team if the path is public or the
// configuration declares no teams.
func pathTeam(config *snapshot.Snapshot, path declaration.Path, key string) (declaration.Team, error) {
	if path.Public || len(config.Set.Teams) == 0 {
		return declaration.Team{}, nil
	}
	return Authenticate(config, key)
}

// priority returns the priority of the team, if it has one, and else that of the path.
func priority(path declaration.Path, team declaration.Team) *int {
	if team.Priority != nil {
		return team.Priority
	}
	return &path.Priority
}

// stallTimeout returns how long an endpoint may send nothing. A request that cannot be
// retried gains nothing from failing early, so it gets its whole timeout.
func stallTimeout(path declaration.Path) time.Duration {
	if !path.Idempotent() {
		return path.Timeout
	}
	return min(path.Timeout, StallFactor*max(path.FirstByteGoal, path.MaxEventGap))
}

// pickPool returns the name of the pool that the value selects by weight, or an empty
// name if there is no weight.
func pickPool(backends []declaration.Backend, splitValue uint64) string {
	var total uint64
	for _, backend := range backends {
		total += uint64(backend.Weight)
	}
	if total == 0 {
		return ""
	}
	splitValue %= total
	for _, backend := range backends {
		if splitValue < uint64(backend.Weight) {
			return backend.Pool
		}
		splitValue -= uint64(backend.Weight)
	}
	return ""
}
