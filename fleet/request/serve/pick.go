package serve

import (
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/homes"
)

// pick chooses an endpoint in the home regions and counts the request as in flight at it.
// Endpoints that were attempted, or that failed with a suspect part of the prompt, are a last
// resort. Its error is an *outcome.Error. Each success must be followed by one call of release.
func (r *Runner) pick(job Job, attempted []*endpoint.State) (*endpoint.State, error) {
	endpoints := r.homeEndpoints(job)
	state, ok := r.Picker.Pick(endpoints, balancer.Request{
		Now:          r.Clock.Now(),
		Prefix:       job.PrefixHash,
		PromptTokens: job.PromptTokens,
		PrefixTokens: job.PrefixTokens,
		MaxInFlight:  job.Plan.Pool.MaxInFlight,
		Avoid:        slices.Concat(attempted, r.suspectEndpoints(job, endpoints)),
	})
	if ok {
		return state, nil
	}
	if err := r.checkHomes(job); err != nil {
		return nil, err
	}
	return nil, noEndpointError(job.Plan.Pool)
}

func noEndpointError(pool declaration.Pool) *outcome.Error {
	return &outcome.Error{
		Code:   outcome.NoEndpoint,
		Run:    journal.NotRun,
		Object: "pool",
		Name:   pool.Name,
		Reason: "no endpoint of the pool can take the request",
	}
}

// checkHomes returns an error if endpoints of the pool can be used, but none of them in the
// home regions of the request.
func (r *Runner) checkHomes(job Job) error {
	if !job.Plan.Homes.Bound() {
		return nil
	}
	elsewhere := false
	for _, state := range r.Endpoints.View().InPool(job.Plan.Pool.Name) {
		if !state.Usable() {
			continue
		}
		if job.Plan.Homes.Allows(state.VM.Region) {
			return nil
		}
		elsewhere = true
	}
	if !elsewhere {
		return nil
	}
	return &outcome.Error{
		Code:   outcome.HomeUnavailable,
		Run:    journal.NotRun,
		Object: "pool",
		Name:   job.Plan.Pool.Name,
		Field:  "regions",
		Reason: "no endpoint of the pool in the home regions can take the request",
	}
}

// homeEndpoints returns the endpoints of the pool in the home regions of the request.
func (r *Runner) homeEndpoints(job Job) []*endpoint.State {
	endpoints := r.Endpoints.View().InPool(job.Plan.Pool.Name)
	if !job.Plan.Homes.Bound() {
		return endpoints
	}
	return inHomes(endpoints, job.Plan.Homes)
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
