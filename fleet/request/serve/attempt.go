package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/retry"
)

// attemptFailure is what an attempt that failed tells besides its error.
type attemptFailure struct {
	phase       endpoint.Phase
	reportedRun journal.Run
	delivered   bool
}

// CallerDisconnectedError says that an answer could not be passed on.
type CallerDisconnectedError struct {
	Cause error
}

// Error implements error.
func (e *CallerDisconnectedError) Error() string {
	return "the caller has gone: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error {
	return e.Cause
}

// requestState is the state of a request between its attempts.
type requestState struct {
	job            Job
	started        time.Time
	run            journal.Run
	attempted      []*endpoint.State
	possibleRuns   int
	mayHaveArrived bool
	last           RelayResult
	errorResponse  *Response
}

// runAttempts tries the request at one endpoint after the other, as far as the
// retry policy allows.
func (r *Runner) runAttempts(ctx context.Context, job Job, sink Sink) RelayResult {
	budget := r.Budgets.ForPool(job.Plan.Pool.Name)
	budget.RecordRequest(r.Clock.Now())
	trial := &requestState{job: job, started: r.Clock.Now(), run: journal.NotRun}
	for {
		state, err := r.pick(job, trial.attempted)
		if err != nil {
			return r.failedResult(trial, err)
		}
		trial.attempted = append(trial.attempted, state)
		done, failure := r.attempt(ctx, job, state, sink)
		if done.Err == nil {
			r.logServed(trial, done)
			return done
		}
		if !r.shouldRetry(ctx, trial, done, failure) {
			return r.failedResult(trial, nil)
		}
		if trial.mayHaveArrived && !budget.Take(r.Clock.Now()) {
			r.logFailedAttempt(trial, failure, retry.BudgetExhausted)
			return r.failedResult(trial, nil)
		}
		if !r.waitBackoff(ctx, len(trial.attempted)) {
			return r.failedResult(trial, nil)
		}
		r.Metrics.Retries.Add(ctx, 1)
	}
}

// shouldRetry notes a failed attempt and reports whether another may follow. What earlier
// attempts passed on stays passed on, and billed.
func (r *Runner) shouldRetry(ctx context.Context, state *requestState, done RelayResult, failure attemptFailure) bool {
	done.Charge = max(done.Charge, state.last.Charge)
	done.Delivered = done.Delivered || state.last.Delivered
	state.last = done
	if done.ErrorResponse != nil {
		state.errorResponse = done.ErrorResponse
	}
	deadline, _ := ctx.Deadline()
	decision := r.Policy.Decide(retry.Failure{
		Idempotent:  state.job.Plan.Idempotent,
		Phase:       failure.phase,
		Forwarded:   failure.delivered && !state.job.Plan.Resumable,
		ReportedRun: failure.reportedRun,
		EarlierRun:  state.run,
		Attempts:    len(state.attempted),
		Started:     state.possibleRuns,
		MaxStarted:  state.job.Plan.MaxStarted,
		Deadline:    deadline,
	}, r.Clock.Now())
	state.run = decision.Run
	state.possibleRuns = decision.Started
	state.mayHaveArrived = state.mayHaveArrived || failure.phase.Arrived()
	r.logFailedAttempt(state, failure, decision.Reason)
	var disconnected *CallerDisconnectedError
	return decision.Action == retry.Again && ctx.Err() == nil && !errors.As(done.Err, &disconnected)
}

// waitBackoff waits before the next attempt, or returns false if the context ends.
func (r *Runner) waitBackoff(ctx context.Context, attempts int) bool {
	timer := r.Clock.NewTimer(r.Policy.Backoff(attempts, r.Random))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one try at the endpoint.
func (r *Runner) attempt(ctx context.Context, job Job, state *endpoint.State, sink Sink) (RelayResult, attemptFailure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := r.newCall(ctx, job, state)
	started := state.TrackPending(job.PromptTokens)
	defer started()
	response, err := state.Do(ctx, call)
	if err != nil {
		r.release(job, state, balancer.Classify(nil, err))
		return RelayResult{Err: err}, attemptFailure{phase: phaseOf(err)}
	}
	defer func() { _ = response.Body.Close() }()
	failed := attemptFailure{phase: endpoint.AfterHeaders, reportedRun: response.Run}
	if err := r.checkResponse(response, call.Attempt); err != nil {
		r.release(job, state, classifyUnrelayed(response, err))
		return RelayResult{Err: err, ErrorResponse: readErrorResponse(job, response, err)}, failed
	}
	done := job.Relay.Relay(ctx, job.Plan, response, &startObserver{Sink: sink, onData: started})
	r.release(job, state, classifyRelayed(response, done.Err))
	failed.delivered = done.Delivered
	if done.Err != nil {
		failed.phase = phaseOf(done.Err)
		failed.reportedRun = reportedRunOf(done.Err, response.Run)
	}
	return done, failed
}

// newCall returns the message of one attempt at the endpoint.
func (r *Runner) newCall(ctx context.Context, job Job, state *endpoint.State) endpoint.Call {
	call := job.Call
	call.Header = call.Header.Clone()
	if resumer, ok := job.Relay.(Resumer); ok {
		resumer.Resume(call.Header)
	}
	call.Attempt = endpoint.AttemptInfo{
		Request:  job.Request,
		Attempt:  job.Attempt,
		Endpoint: state.VM.Name,
		Team:     job.Plan.Team.Name,
	}
	if job.Attempt == "" {
		call.Attempt.Attempt = ident.NewAttempt()
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.Attempt.Remaining = deadline.Sub(r.Clock.Now())
	}
	return call
}

// readErrorResponse reads the whole failure of an endpoint that ran the request, or
// returns nil if there is none to pass on. The answer of another attempt is none.
func readErrorResponse(job Job, response *endpoint.Response, err error) *Response {
	var refused *StatusError
	if !job.ForwardErrorResponses || response.Run == journal.NotRun || !errors.As(err, &refused) {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxErrorResponseBytes+1))
	if err != nil || len(body) > MaxErrorResponseBytes {
		return nil
	}
	return &Response{Status: response.Status, Header: response.Header, Body: body}
}

// MaxErrorResponseBytes bounds a failure of an endpoint that is passed on.
const MaxErrorResponseBytes = 1 << 20

// reportedRunOf returns what is known of the run from an answer that was not whole.
func reportedRunOf(err error, reported journal.Run) journal.Run {
	if typed := asOutcome(err); typed != nil {
		return typed.Run
	}
	return reported
}

// WrongAttemptError says that an endpoint answered for another attempt.
type WrongAttemptError struct {
	Endpoint string
	Want     ident.Attempt
	Got      ident.Attempt
}

// Error implements error.
func (e *WrongAttemptError) Error() string {
	return fmt.Sprintf("endpoint %s: answered attempt %s, not %s", e.Endpoint, e.Got, e.Want)
}

// StatusError says that an endpoint did not take the request.
type StatusError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint %s: status %d", e.Endpoint, e.Status)
}

// checkResponse refuses the answer of another attempt, and refusals of the
// endpoint that are worth another attempt.
func (r *Runner) checkResponse(response *endpoint.Response, mark endpoint.AttemptInfo) error {
	if response.Attempt != "" && response.Attempt != mark.Attempt {
		r.Metrics.FramesDropped.Add(context.Background(), 1)
		r.Log.Emit(event.FrameDropped, event.Text("endpoint", mark.Endpoint), event.Text("attempt", mark.Attempt))
		return &WrongAttemptError{Endpoint: mark.Endpoint, Want: mark.Attempt, Got: response.Attempt}
	}
	if response.Run == journal.NotRun || response.Status >= http.StatusInternalServerError {
		return &StatusError{Endpoint: mark.Endpoint, Status: response.Status}
	}
	return nil
}

// failedResult types the end of a request whose attempts are over. Refusal is set if
// no endpoint could be chosen. An endpoint's own failure is passed on where the
// job asks for that.
func (r *Runner) failedResult(state *requestState, refusal error) RelayResult {
	last := state.last
	if last.Err == nil {
		return RelayResult{Err: refusal}
	}
	last.Charge = chargeOf(state.job.Plan, state.run, last.Charge)
	if state.errorResponse != nil && !last.Delivered {
		return RelayResult{Response: *state.errorResponse, Charge: last.Charge}
	}
	failure := outcome.Error{
		Code:   codeOf(last.Err),
		Object: "endpoint",
		Reason: "no endpoint gave a whole answer",
		Cause:  last.Err,
	}
	if typed := asOutcome(last.Err); typed != nil {
		failure = *typed
	}
	if state.run == journal.NotRun && hasNoCapacity(last.Err) {
		failure.Code = outcome.Overloaded
	}
	failure.Run = state.run
	last.Err = &failure
	r.Log.Emit(event.RequestFailed, event.Text("request", state.job.Request),
		event.Text("code", failure.Code), event.Text("run", state.run), event.Cause(&failure))
	return last
}

// codeOf tells an endpoint that took too long from one that failed.
func codeOf(err error) outcome.Code {
	var call *endpoint.CallError
	if errors.As(err, &call) && (call.Inactive || errors.Is(call.Cause, context.DeadlineExceeded)) {
		return outcome.TimedOut
	}
	return outcome.EndpointFailed
}

// hasNoCapacity reports whether the endpoint refused because it had no room.
func hasNoCapacity(err error) bool {
	var refused *StatusError
	return errors.As(err, &refused) && refused.Status == http.StatusTooManyRequests
}

// chargeOf returns what a failed request costs: nothing if it was not run, the
// whole price of work that may not be repeated if that may have been done, and what
// was passed on of a stream or of other work.
func chargeOf(plan admission.Plan, run journal.Run, delivered int64) int64 {
	switch {
	case run == journal.NotRun:
		return 0
	case !plan.Idempotent && !plan.Streamed:
		return plan.Reserve
	default:
		return delivered
	}
}

func phaseOf(err error) endpoint.Phase {
	var failed *endpoint.CallError
	if errors.As(err, &failed) {
		return failed.Phase
	}
	return endpoint.MidStream
}

func asOutcome(err error) *outcome.Error {
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return typed
	}
	return nil
}
