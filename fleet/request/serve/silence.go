package serve

import (
	"context"
	"slices"
	"sync/atomic"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/request/retry"
)

// silenceGuard decides about an endpoint that is silent in the middle of a response. Engines
// pause a stream while their memory is short, which cannot be told from an engine that is
// gone. A stream of which the caller has a part is moved to another endpoint if that may
// continue it. Otherwise it waits until its deadline, since ending it helps nobody.
type silenceGuard struct {
	runner *Runner
	ctx    context.Context
	state  *requestState
	chosen *endpoint.State
	// forwarded is set once the caller got a part of the response.
	forwarded atomic.Bool
	// reported is set once the silence was reported to the balancer.
	reported bool
}

// giveUp implements endpoint.Limits.GiveUp. A request without a forwarded part is given up,
// since its caller gets an error and can repeat it.
func (g *silenceGuard) giveUp() bool {
	if !g.forwarded.Load() {
		return true
	}
	if g.mayContinueElsewhere() {
		return true
	}
	if !g.reported {
		g.reported = true
		members := g.runner.Endpoints.View().InPool(g.state.job.Plan.Pool.Name)
		g.runner.Picker.ObserveFailure(members, g.chosen, g.runner.Clock.Now())
	}
	return false
}

// mayContinueElsewhere reports whether another endpoint may continue the stream, and takes the
// retry from the budget in that case.
func (g *silenceGuard) mayContinueElsewhere() bool {
	job := g.state.job
	decision := g.runner.decide(g.ctx, g.state, attemptFailure{phase: endpoint.MidStream, delivered: true})
	if decision.Action != retry.Again || !g.runner.hasOther(job, g.state.attempted) {
		return false
	}
	if !g.runner.RetryBudgets.ForPool(job.Plan.Pool.Name).Take(g.runner.Clock.Now()) {
		return false
	}
	g.state.retryTaken = true
	return true
}

// hasOther reports whether the home regions have a usable endpoint that was not attempted.
func (r *Runner) hasOther(job Job, attempted []*endpoint.State) bool {
	return slices.ContainsFunc(r.homeEndpoints(job), func(state *endpoint.State) bool {
		return state.Usable() && !slices.Contains(attempted, state)
	})
}
