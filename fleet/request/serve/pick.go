package serve

import (
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/homes"
)

// pick chooses an endpoint in the home regions that was not attempted yet and counts the
// request as in flight at it. Its error is an *outcome.Error. Each success must be followed by one call of release.
func (r *Runner) pick(job Job, attempted []*endpoint.State) (*endpoint.State, error) {
	members := r.Endpoints.View().InPool(job.Plan.Pool.Name)
	endpoints := members
	if job.Plan.Homes.Bound() {
		endpoints = inHomes(members, job.Plan.Homes)
	}
	state, ok := r.Picker.Pick(endpoints, balancer.Request{
		Now:          r.Clock.Now(),
		Prefix:       job.PrefixHash,
		PromptTokens: job.PromptTokens,
		PrefixTokens: job.PrefixTokens,
		MaxInFlight:  job.Plan.Pool.MaxInFlight,
		Avoid:        attempted,
	})
	if ok {
		return state, nil
	}
	if hasUsable(members) && !hasUsable(endpoints) {
		return nil, &outcome.Error{
			Code:   outcome.HomeUnavailable,
			Run:    journal.NotRun,
			Object: "pool",
			Name:   job.Plan.Pool.Name,
			Field:  "regions",
			Reason: "no endpoint of the pool in the home regions can take the request",
		}
	}
	return nil, &outcome.Error{
		Code:   outcome.NoEndpoint,
		Run:    journal.NotRun,
		Object: "pool",
		Name:   job.Plan.Pool.Name,
		Reason: "no endpoint of the pool can take the request",
	}
}

// inHomes returns the endpoints that are in the home regions.
func inHomes(endpoints []*endpoint.State, bound homes.Homes) []*endpoint.State {
	allowed := make([]*endpoint.State, 0, len(endpoints))
	for _, state := range endpoints {
		if bound.Allows(state.VM.Region) {
			allowed = append(allowed, state)
		}
	}
	return allowed
}

func hasUsable(endpoints []*endpoint.State) bool {
	return slices.ContainsFunc(endpoints, (*endpoint.State).Usable)
}

// release ends the use of an endpoint that pick returned and reports the result of the
// attempt to the balancer.
func (r *Runner) release(job Job, state *endpoint.State, result balancer.Result) {
	members := r.Endpoints.View().InPool(job.Plan.Pool.Name)
	r.Picker.Done(members, state, result, r.Clock.Now())
}

// classifyUnrelayed returns what a response that was not relayed shows about the health
// of its endpoint.
func classifyUnrelayed(response *endpoint.Response, err error) balancer.Result {
	var wrongAttempt *WrongAttemptError
	if errors.As(err, &wrongAttempt) {
		return balancer.Failure
	}
	return balancer.Classify(response, nil)
}

// classifyRelayed returns what a relayed response shows about the health of its endpoint.
// An attempt whose caller disconnected does not count.
func classifyRelayed(response *endpoint.Response, err error) balancer.Result {
	var disconnected *CallerDisconnectedError
	if errors.As(err, &disconnected) {
		return balancer.Neutral
	}
	return balancer.Classify(response, err)
}
