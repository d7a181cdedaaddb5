package admission

import (
	"time"

	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/declare"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// StallFactor is how many times the declared pause between events, or the goal
// before the first one, an endpoint may stay silent before it is given up.
const StallFactor = 3

// PathRequest is what a request by host and path says of itself. Input and MaxOutput
// are in tokens. Draw spreads requests over the pools of a path.
type PathRequest struct {
	Host        string
	Path        string
	Key         string
	InputTokens int64
	MaxOutput   int64
	SplitValue  uint64
}

// Path admits a request by host and path. Its tokens cost a credit each.
func Path(view *snapshot.Snapshot, target PathRequest) (Plan, error) {
	path, ok := view.Path(target.Host, target.Path)
	if !ok {
		return Plan{}, refuse(outcome.NotFound, "path", target.Path, "path", "nothing is served there")
	}
	team, err := owner(view, path, target.Key)
	if err != nil {
		return Plan{}, err
	}
	reserve, ok := cost(target.InputTokens, 1, target.MaxOutput, 1)
	if !ok {
		return Plan{}, refuse(outcome.BadRequest, "path", path.Name, "tokens", "the cost is out of range")
	}
	pool, _ := view.Pool(draw(path.Backends, target.SplitValue))
	plan := Plan{
		Team:               team,
		Kind:               declare.ToService,
		Target:             path.Name,
		Pool:               pool,
		Idempotent:         path.Idempotent(),
		InputPrice:         1,
		OutputPrice:        1,
		MaxOutput:          target.MaxOutput,
		Timeout:            path.Timeout,
		StallTimeout:       stall(path),
		CancelOnDisconnect: path.Kind != declare.UnsafePath,
		MaxStarted:         path.Attempts,
		Streamed:           path.Kind == declare.StreamPath,
		Resumable:          path.Resumable && path.Kind == declare.StreamPath,
		TokensPerEvent:     max(1, pool.TokensPerEvent),
	}
	if team.Budget != "" {
		plan.Reserve = reserve
		plan.Floor = target.InputTokens
	}
	return plan, nil
}

// owner returns the team of the key. A public path, and a set without teams, need
// none.
func owner(view *snapshot.Snapshot, path declare.Path, key string) (declare.Team, error) {
	if path.Public || len(view.Set.Teams) == 0 {
		return declare.Team{}, nil
	}
	return Authenticate(view, key)
}

// stall returns how long an endpoint may stay silent. Work that cannot be tried
// again is worth waiting for until its timeout.
func stall(path declare.Path) time.Duration {
	if !path.Idempotent() {
		return path.Timeout
	}
	return min(path.Timeout, StallFactor*max(path.Goal, path.MaxGap))
}

// draw picks a pool by weight.
func draw(backends []declare.Backend, number uint64) string {
	var total uint64
	for _, backend := range backends {
		total += uint64(backend.Weight)
	}
	if total == 0 {
		return ""
	}
	number %= total
	for _, backend := range backends {
		if number < uint64(backend.Weight) {
			return backend.Pool
		}
		number -= uint64(backend.Weight)
	}
	return ""
}
