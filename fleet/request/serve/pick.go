package serve

import (
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
)

// pick chooses and acquires an endpoint that was not tried, or returns an
// *outcome.Error.
func (r *Runner) pick(job Job, attempted []*endpoint.State) (*endpoint.State, error) {
	members := r.Endpoints.View().InPool(job.Plan.Pool.Name)
	state, ok := r.Picker.Pick(members, balancer.Request{
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
	return nil, &outcome.Error{
		Code:   outcome.NoEndpoint,
		Run:    journal.NotRun,
		Object: "pool",
		Name:   job.Plan.Pool.Name,
		Reason: "no endpoint of the pool can take the request",
	}
}

// release ends what pick began.
func (r *Runner) release(job Job, state *endpoint.State, result balancer.Result) {
	members := r.Endpoints.View().InPool(job.Plan.Pool.Name)
	r.Picker.Done(members, state, result, r.Clock.Now())
}

// classifyUnrelayed tells what an answer that was not relayed says of its endpoint.
func classifyUnrelayed(response *endpoint.Response, err error) balancer.Result {
	var wrongAttempt *WrongAttemptError
	if errors.As(err, &wrongAttempt) {
		return balancer.Failure
	}
	return balancer.Classify(response, nil)
}

// classifyRelayed tells what a relayed answer says of its endpoint. A caller that
// has gone says nothing.
func classifyRelayed(response *endpoint.Response, err error) balancer.Result {
	var disconnected *CallerDisconnectedError
	if errors.As(err, &disconnected) {
		return balancer.Neutral
	}
	return balancer.Classify(response, err)
}
