// Package retry decides whether a failed attempt is tried again, and what may
// be said of the request otherwise.
//
// A request is tried again only if nothing of its answer has been passed on and
// it is either idempotent or known not to have run. Retries draw on a Budget
// that is a share of recent requests.
//
// # Usage
//
//	decision := policy.Decide(failure, now)
//	if decision.Action != retry.Again || !budget.Take() {
//		return refused(decision.Run)
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
	Again Action = "retry"
	Fail  Action = "fail"
)

// Reason says why a request is not tried again.
type Reason string

// Reasons not to try again.
const (
	Allowed           Reason = ""
	ResponseForwarded Reason = "answer_passed_on"
	MayHaveRun        Reason = "may_have_run"
	AttemptsExhausted Reason = "attempts_exhausted"
	DeadlinePassed    Reason = "deadline"
	BudgetExhausted   Reason = "retry_budget"
)

// Failure describes a failed attempt and the request it belonged to. Said is
// the endpoint's own word, or empty. Prior is what is known of the earlier
// attempts together: empty or NotRun if none of them ran. Attempts counts this
// one too. Begun counts the earlier attempts that may have run, and MaxBegun,
// unless it is zero, bounds them.
type Failure struct {
	Idempotent  bool
	Phase       endpoint.Phase
	Forwarded   bool
	ReportedRun journal.Run
	EarlierRun  journal.Run
	Attempts    int
	Started     int
	MaxStarted  int
	Deadline    time.Time
}

// Decision is what to do next. Run is what is known of all attempts together,
// and Begun how many of them may have run.
type Decision struct {
	Started int         `json:"begun"`
	Action  Action      `json:"action"`
	Run     journal.Run `json:"run"`
	Reason  Reason      `json:"reason,omitempty"`
}

// Policy sets the bounds of retries.
type Policy struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// BaseBackoff bounds the wait before the first retry.
	BaseBackoff time.Duration
	// MaxBackoff bounds the wait before any retry.
	MaxBackoff time.Duration
}

// Defaults returns the settings for requests between VMs of one fleet.
func Defaults() Policy {
	return Policy{
		MaxAttempts: 3,
		BaseBackoff: 25 * time.Millisecond,
		MaxBackoff:  time.Second,
	}
}

// Decide returns whether to try again. The caller still has to take the retry
// from a Budget.
func (p Policy) Decide(failure Failure, now time.Time) Decision {
	own := attempt(failure.Phase, failure.ReportedRun)
	if own != journal.NotRun {
		failure.Started++
	}
	decision := Decision{Action: Again, Run: join(failure.EarlierRun, own), Started: failure.Started}
	decision.Reason = p.objection(failure, decision.Run, now)
	if decision.Reason != Allowed {
		decision.Action = Fail
	}
	return decision
}

func (p Policy) objection(failure Failure, run journal.Run, now time.Time) Reason {
	switch {
	case failure.Forwarded:
		return ResponseForwarded
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

// attempt returns what is known of one attempt. Without the endpoint's word,
// only a request of which no byte was sent is known not to have run.
func attempt(moment endpoint.Phase, said journal.Run) journal.Run {
	switch moment {
	case endpoint.BeforeConnect, endpoint.AfterConnect:
		return journal.NotRun
	case endpoint.AfterHeaders, endpoint.MidStream:
		if said != "" {
			return said
		}
	}
	return journal.Unknown
}

// join returns what is known of two attempts together.
func join(a, b journal.Run) journal.Run {
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
// attempts: a random part of a bound that doubles each time.
func (p Policy) Backoff(attempts int, source random.Source) time.Duration {
	bound := p.BaseBackoff
	for range attempts - 1 {
		bound = min(2*bound, p.MaxBackoff)
	}
	return time.Duration(source.Float64() * float64(bound))
}
