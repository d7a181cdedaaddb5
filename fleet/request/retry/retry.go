// Package retry decides whether a failed attempt is retried, and whether an endpoint
// may have run the request.
//
// A request is retried only if no part of its response has been forwarded to the
// caller, or another endpoint can resume the response, and if it is either idempotent
// or known not to have run. A Budget, a token bucket that recent requests fill, bounds
// the number of retries.
//
// # Usage
//
//	decision := policy.Decide(failure, now)
//	if decision.Action != retry.Again || !budget.Take(now) {
//		return failed(decision.Run)
//	}
//	wait(policy.Backoff(failure.Attempts, source))
package retry

import (
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/random"
)

// Action is what to do after a failed attempt.
type Action string

// Actions after a failed attempt.
const (
	// Again means that the request is retried.
	Again Action = "retry"
	// Fail means that the request is not retried.
	Fail Action = "fail"
)

// Reason is why a request is not retried.
type Reason string

// Reasons for which a request is not retried. Allowed is none.
const (
	Allowed Reason = ""
	// ResponseForwarded means that the caller got a part of the response and another
	// endpoint cannot resume it.
	ResponseForwarded Reason = "answer_passed_on"
	// MayHaveRun means that the request is not idempotent and an endpoint may have run
	// it.
	MayHaveRun Reason = "may_have_run"
	// AttemptsExhausted means that MaxAttempts or MaxStarted is reached.
	AttemptsExhausted Reason = "attempts_exhausted"
	DeadlinePassed    Reason = "deadline"
	// SuspectPrompt means that several endpoints failed with a part of the prompt.
	SuspectPrompt Reason = "suspect_prompt"
	// BudgetEmpty means that the retry Budget is empty. Decide does not return it.
	BudgetEmpty Reason = "retry_budget"
)

// Failure describes a failed attempt and the request it belongs to.
type Failure struct {
	// Idempotent requests may be retried after an endpoint may have run them.
	Idempotent bool
	// Phase is the phase in which the attempt failed.
	Phase endpoint.Phase
	// Forwarded is true if a part of the response was forwarded to the caller and another
	// endpoint cannot resume it.
	Forwarded bool
	// ReportedRun is whether the endpoint reports that it ran the request, or empty.
	ReportedRun journal.RunStatus
	// EarlierRun is whether any earlier attempt ran the request. Empty counts as
	// NotRun.
	EarlierRun journal.RunStatus
	// Attempts is the number of attempts so far, this one included.
	Attempts int
	// Started is the number of earlier attempts whose endpoint may have run the
	// request.
	Started int
	// MaxStarted bounds the attempts whose endpoint may have run the request. Zero is
	// no bound.
	MaxStarted int
	// Deadline is the deadline of the request. Zero is none.
	Deadline time.Time
	// Suspect is true if other endpoints failed with a part of the prompt before, so that
	// the request may bring down one more.
	Suspect bool
}

// Decision is what to do after a failed attempt.
type Decision struct {
	// Started is the number of attempts whose endpoint may have run the request, the
	// failed one included.
	Started int    `json:"begun"`
	Action  Action `json:"action"`
	// Run is whether any attempt so far ran the request.
	Run    journal.RunStatus `json:"run"`
	Reason Reason            `json:"reason,omitempty"`
}

// Policy sets the bounds of retries.
type Policy struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// BaseBackoff bounds the wait before the first retry. The bound doubles with each
	// further retry.
	BaseBackoff time.Duration
	// MaxBackoff bounds the wait before any retry.
	MaxBackoff time.Duration
}

// Defaults returns the policy for requests between VMs of one fleet.
func Defaults() Policy {
	return Policy{
		MaxAttempts: 3,
		BaseBackoff: 25 * time.Millisecond,
		MaxBackoff:  time.Second,
	}
}

// Decide returns whether to retry. It does not apply a Budget; the caller does so with
// Budget.Take.
func (p Policy) Decide(failure Failure, now time.Time) Decision {
	run := attemptRun(failure.Phase, failure.ReportedRun)
	if run != journal.NotRun {
		failure.Started++
	}
	decision := Decision{Action: Again, Run: combineRuns(failure.EarlierRun, run), Started: failure.Started}
	decision.Reason = p.failReason(failure, decision.Run, now)
	if decision.Reason != Allowed {
		decision.Action = Fail
	}
	return decision
}

// failReason returns why the request is not retried, or Allowed.
func (p Policy) failReason(failure Failure, run journal.RunStatus, now time.Time) Reason {
	switch {
	case failure.Forwarded:
		return ResponseForwarded
	case failure.Suspect:
		return SuspectPrompt
	case !failure.Idempotent && run != journal.NotRun:
		return MayHaveRun
	case failure.Attempts >= p.MaxAttempts:
		return AttemptsExhausted
	case failure.MaxStarted > 0 && failure.Started >= failure.MaxStarted:
		return AttemptsExhausted
	case !failure.Deadline.IsZero() && !now.Before(failure.Deadline):
		return DeadlinePassed
	default:
		return Allowed
	}
}

// attemptRun returns whether one attempt ran the request. Without a report of the
// endpoint, only a request of which no byte was sent is known not to have run.
func attemptRun(phase endpoint.Phase, reported journal.RunStatus) journal.RunStatus {
	switch phase {
	case endpoint.BeforeConnect, endpoint.AfterConnect:
		return journal.NotRun
	case endpoint.AfterHeaders, endpoint.MidStream:
		if reported != "" {
			return reported
		}
	}
	return journal.Unknown
}

// combineRuns returns whether either of two attempts ran the request.
func combineRuns(a, b journal.RunStatus) journal.RunStatus {
	switch {
	case a == journal.Ran || b == journal.Ran:
		return journal.Ran
	case a == journal.Unknown || b == journal.Unknown:
		return journal.Unknown
	default:
		return journal.NotRun
	}
}

// Backoff returns the wait before the retry that follows the given number of
// attempts: exponential backoff with full jitter.
func (p Policy) Backoff(attempts int, source random.Source) time.Duration {
	bound := p.BaseBackoff
	for range attempts - 1 {
		bound = min(2*bound, p.MaxBackoff)
	}
	return time.Duration(source.Float64() * float64(bound))
}
