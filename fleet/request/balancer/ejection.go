package balancer

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
)

// Result is the result of an attempt for outlier ejection.
type Result string

// Results of an attempt.
const (
	Success Result = "success"
	Failure Result = "failure"
	// Neutral attempts count neither as successes nor as failures, such as one that
	// the caller canceled or that a full endpoint refused.
	Neutral Result = "neutral"
)

// Classify returns the result of an attempt that ended with the head of a response
// or with an error. The response may be nil if err is not.
func Classify(response *endpoint.Response, err error) Result {
	var failure *endpoint.CallError
	switch {
	case errors.As(err, &failure) && failure.Canceled:
		return Neutral
	case err != nil:
		return Failure
	case response.Leaving || response.Run == journal.NotRun:
		return Neutral
	case response.Status >= http.StatusInternalServerError:
		return Failure
	default:
		return Success
	}
}

// EjectionConfig configures the outlier ejection of failing endpoints.
type EjectionConfig struct {
	// ConsecutiveFailures is the number of failures in a row that eject an endpoint.
	ConsecutiveFailures int64
	// MissedPolls is the number of load polls missed in a row after which an
	// endpoint is picked only as a last resort, until it reports its load again.
	MissedPolls int64
	// BaseDuration is the length of the first ejection. Each further ejection
	// without a success in between is twice as long.
	BaseDuration time.Duration
	// MaxDuration bounds the length of an ejection.
	MaxDuration time.Duration
	// MaxShare bounds the share of a pool's endpoints that are ejected at once,
	// between 0 and 1.
	MaxShare float64
}

// EjectionDefaults returns the configuration for a pool of model engines.
func EjectionDefaults() EjectionConfig {
	return EjectionConfig{
		ConsecutiveFailures: 3,
		MissedPolls:         3,
		BaseDuration:        2 * time.Second,
		MaxDuration:         time.Minute,
		MaxShare:            0.5,
	}
}

// ejector excludes failing endpoints from selection for a time and then allows one
// trial request, whose success ends the ejection. Its mutex serializes the start
// and the end of ejections; the other state is in the atomics of endpoint.State.
type ejector struct {
	config EjectionConfig
	mu     sync.Mutex
}

// unresponsive reports whether the endpoint missed too many load polls in a row.
func (e *ejector) unresponsive(state *endpoint.State) bool {
	return state.MissedPolls.Load() >= e.config.MissedPolls
}

// selectable reports whether the endpoint may be a candidate: it is not ejected,
// or its ejection time has passed and no trial request is in flight.
func (e *ejector) selectable(state *endpoint.State, now time.Time) bool {
	until := state.EjectedUntil.Load()
	return until.IsZero() || !now.Before(until) && !state.TrialInFlight.Load()
}

// tryAdmit reports whether a request may be sent to the endpoint now. For an ejected
// endpoint whose ejection time has passed it claims the single trial request.
func (e *ejector) tryAdmit(state *endpoint.State, now time.Time) bool {
	until := state.EjectedUntil.Load()
	if until.IsZero() {
		return true
	}
	return !now.Before(until) && state.TrialInFlight.CompareAndSwap(false, true)
}

// cancelTrial releases the claim on the trial request, which was not sent.
func (e *ejector) cancelTrial(state *endpoint.State) {
	state.TrialInFlight.Store(false)
}

// recordResult counts the result of an attempt. While the endpoint is ejected and no
// trial request is in flight, results are ignored: their attempts started before the
// ejection.
func (e *ejector) recordResult(members []*endpoint.State, state *endpoint.State, result Result, now time.Time) {
	if !state.EjectedUntil.Load().IsZero() && !state.TrialInFlight.Load() {
		return
	}
	switch result {
	case Success:
		e.readmit(state, now)
	case Failure:
		e.recordFailure(members, state, now)
	case Neutral:
		state.TrialInFlight.Store(false)
	}
}

// readmit resets the failure count. If the endpoint is ejected, it ends the ejection
// and begins a slow start. The endpoint may have started anew and be cold.
func (e *ejector) readmit(state *endpoint.State, now time.Time) {
	state.ConsecutiveFailures.Store(0)
	if state.EjectedUntil.Load().IsZero() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state.SlowStartSince.Store(now)
	state.Cold.Presume(now)
	state.ConsecutiveEjections.Store(0)
	state.EjectedUntil.Store(time.Time{})
	state.TrialInFlight.Store(false)
}

// recordFailure ejects the endpoint when it reaches the bound of consecutive
// failures, or again when its trial request failed. MaxShare limits only new
// ejections, as a further one of the same endpoint does not raise the share.
func (e *ejector) recordFailure(members []*endpoint.State, state *endpoint.State, now time.Time) {
	if state.ConsecutiveFailures.Add(1) < e.config.ConsecutiveFailures {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !state.EjectedUntil.Load().IsZero() && !state.TrialInFlight.Load() {
		return
	}
	if state.EjectedUntil.Load().IsZero() && e.atMaxShare(members) {
		return
	}
	// The bound on the shift prevents an overflow.
	duration := e.config.BaseDuration << min(state.ConsecutiveEjections.Load(), 16)
	state.EjectedUntil.Store(now.Add(min(duration, e.config.MaxDuration)))
	state.ConsecutiveEjections.Add(1)
	state.TrialInFlight.Store(false)
}

// atMaxShare reports whether one more ejection would exceed MaxShare of the members.
func (e *ejector) atMaxShare(members []*endpoint.State) bool {
	ejected := 1
	for _, state := range members {
		if !state.EjectedUntil.Load().IsZero() {
			ejected++
		}
	}
	return float64(ejected) > e.config.MaxShare*float64(len(members))
}
