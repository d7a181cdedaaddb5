package balancer

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
)

// Result is how an attempt ended, as far as it tells of the endpoint.
type Result string

// Results of an attempt. Neutral is for one that tells nothing, such as one
// that the caller gave up or the endpoint refused because it was full.
const (
	Success Result = "success"
	Failure Result = "failure"
	Neutral Result = "neutral"
)

// Classify returns the result of an attempt that ended with the answer's head or an
// error.
func Classify(answer *endpoint.Response, err error) Result {
	var failure *endpoint.CallError
	switch {
	case errors.As(err, &failure) && failure.Canceled:
		return Neutral
	case err != nil:
		return Failure
	case answer.Leaving || answer.Run == journal.NotRun:
		return Neutral
	case answer.Status >= http.StatusInternalServerError:
		return Failure
	default:
		return Success
	}
}

// EjectionConfig bounds the ejection of failing endpoints.
type EjectionConfig struct {
	// ConsecutiveFailures in a row eject an endpoint.
	ConsecutiveFailures int64
	// MissedPolls in a row make an endpoint a last resort until it reports.
	MissedPolls int64
	// BaseDuration is the length of the first ejection. It doubles each time.
	BaseDuration time.Duration
	// MaxDuration bounds the length of an ejection.
	MaxDuration time.Duration
	// MaxShare bounds the share of a pool that is ejected at once.
	MaxShare float64
}

// EjectionDefaults returns the settings for a pool of model engines.
func EjectionDefaults() EjectionConfig {
	return EjectionConfig{
		ConsecutiveFailures: 3,
		MissedPolls:         3,
		BaseDuration:        2 * time.Second,
		MaxDuration:         time.Minute,
		MaxShare:            0.5,
	}
}

// ejector leaves failing endpoints out for a time, then lets one trial request
// through, whose success ends the ejection.
type ejector struct {
	config EjectionConfig
	mu     sync.Mutex
}

// silent reports whether the endpoint missed too many polls.
func (e *ejector) silent(state *endpoint.State) bool {
	return state.MissedPolls.Load() >= e.config.MissedPolls
}

// open reports whether the endpoint may be a candidate.
func (e *ejector) open(state *endpoint.State, now time.Time) bool {
	until := state.EjectedUntil.Load()
	return until.IsZero() || !now.Before(until) && !state.Trial.Load()
}

// admit reports whether the endpoint takes a request now, as a trial if it is
// ejected.
func (e *ejector) admit(state *endpoint.State, now time.Time) bool {
	until := state.EjectedUntil.Load()
	if until.IsZero() {
		return true
	}
	return !now.Before(until) && state.Trial.CompareAndSwap(false, true)
}

// withdraw ends a trial that was not sent.
func (e *ejector) withdraw(state *endpoint.State) {
	state.Trial.Store(false)
}

// record takes the result of an attempt. What began before an ejection changes
// nothing after it.
func (e *ejector) record(members []*endpoint.State, state *endpoint.State, result Result, now time.Time) {
	if !state.EjectedUntil.Load().IsZero() && !state.Trial.Load() {
		return
	}
	switch result {
	case Success:
		e.readmit(state, now)
	case Failure:
		e.fail(members, state, now)
	case Neutral:
		state.Trial.Store(false)
	}
}

// readmit ends an ejection and begins a slow start.
func (e *ejector) readmit(state *endpoint.State, now time.Time) {
	state.ConsecutiveFailures.Store(0)
	if state.EjectedUntil.Load().IsZero() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state.SlowStartSince.Store(now)
	state.ConsecutiveEjections.Store(0)
	state.EjectedUntil.Store(time.Time{})
	state.Trial.Store(false)
}

func (e *ejector) fail(members []*endpoint.State, state *endpoint.State, now time.Time) {
	if state.ConsecutiveFailures.Add(1) < e.config.ConsecutiveFailures {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !state.EjectedUntil.Load().IsZero() && !state.Trial.Load() {
		return
	}
	if state.EjectedUntil.Load().IsZero() && e.full(members) {
		return
	}
	length := e.config.BaseDuration << min(state.ConsecutiveEjections.Load(), 16)
	state.EjectedUntil.Store(now.Add(min(length, e.config.MaxDuration)))
	state.ConsecutiveEjections.Add(1)
	state.Trial.Store(false)
}

// full reports whether one more ejection would go over the share.
func (e *ejector) full(members []*endpoint.State) bool {
	ejected := 1
	for _, state := range members {
		if !state.EjectedUntil.Load().IsZero() {
			ejected++
		}
	}
	return float64(ejected) > e.config.MaxShare*float64(len(members))
}
