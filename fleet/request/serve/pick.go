package serve

import (
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/declaration"
)

// pick chooses an endpoint that was not attempted yet and counts the request as in flight
// at it. Its error is an *outcome.Error. Each success must be followed by one call of release.
func (r *Runner) pick(job Job, attempted []*endpoint.State) (*endpoint.State, error) {
	endpoints := r.Endpoints.View().InPool(job.Plan.Pool.Name)
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
