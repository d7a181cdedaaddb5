package serve

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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

// attemptFailure is what the retry policy needs to decide after a failed attempt.
type attemptFailure struct {
	// phase is how far the exchange with the endpoint had progressed.
	phase endpoint.Phase
	// reportedRun is the endpoint's report on whether it ran the request, or empty.
	reportedRun journal.RunStatus
	// delivered is RelayResult.Delivered of the attempt.
	delivered bool
	// suspect is true if enough other endpoints failed with a part of the prompt before.
	suspect bool
}

// CallerDisconnectedError means that the response could not be written to the
// caller's connection.
type CallerDisconnectedError struct {
	Cause error
}

// Error implements error.
func (e *CallerDisconnectedError) Error() string {
	return "caller disconnected: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error {
	return e.Cause
}

// requestState is the state of a request across its attempts.
type requestState struct {
	job       Job
	startedAt time.Time
	// run is what all attempts together establish about whether the request ran.
	run journal.RunStatus
	// attempted lists the endpoints in the order of the attempts.
	attempted []*endpoint.State
	// startedAttempts is the number of attempts that may have run the request.
	startedAttempts int
	// mayHaveArrived is true if a part of the request may have reached an endpoint.
	mayHaveArrived bool
	// retryTaken is true if the next retry was taken from the budget already.
	retryTaken bool
	// last is the result of the latest attempt, with the largest charge so far.
	last RelayResult
	// errorResponse is the latest error response of an endpoint that may be forwarded
	// to the caller, or nil.
	errorResponse *Response
}

// runAttempts sends the request to one endpoint after another until an attempt
// succeeds or the retry policy or the retry budget allows no further one. A retry takes
// from the budget only if any of the failed attempts may have reached its endpoint.
func (r *Runner) runAttempts(ctx context.Context, job Job, sink Sink) RelayResult {
	retryBudget := r.RetryBudgets.ForPool(job.Plan.Pool.Name)
	retryBudget.RecordRequest(r.Clock.Now())
	state := &requestState{job: job, startedAt: r.Clock.Now(), run: journal.NotRun}
	for {
		chosen, err := r.pick(job, state.attempted)
		if err != nil {
			return r.failedResult(state, err)
		}
		repeated := slices.Contains(state.attempted, chosen)
		state.attempted = append(state.attempted, chosen)
		result, failure := r.attempt(ctx, state, chosen, repeated, sink)
		if result.Err == nil {
			r.logServed(state, result)
			return result
		}
		if !r.shouldRetry(ctx, state, result, failure) {
			return r.failedResult(state, nil)
		}
		if state.mayHaveArrived && !state.retryTaken && !retryBudget.Take(r.Clock.Now()) {
			r.logFailedAttempt(state, failure, retry.BudgetEmpty)
			return r.failedResult(state, nil)
		}
		state.retryTaken = false
		if !r.waitBackoff(ctx, len(state.attempted)) {
			return r.failedResult(state, nil)
		}
		r.Metrics.Retries.Add(ctx, 1)
	}
}

// shouldRetry records a failed attempt and reports whether another one may follow.
// What earlier attempts delivered to the caller remains delivered and billed.
func (r *Runner) shouldRetry(ctx context.Context, state *requestState, result RelayResult, failure attemptFailure) bool {
	result.Charge = max(result.Charge, state.last.Charge)
	result.Delivered = result.Delivered || state.last.Delivered
	state.last = result
	if result.ErrorResponse != nil {
		state.errorResponse = result.ErrorResponse
	}
	decision := r.decide(ctx, state, failure)
	state.run = decision.Run
	state.startedAttempts = decision.Started
	state.mayHaveArrived = state.mayHaveArrived || failure.phase.Arrived()
	r.logFailedAttempt(state, failure, decision.Reason)
	var disconnected *CallerDisconnectedError
	return decision.Action == retry.Again && ctx.Err() == nil && !errors.As(result.Err, &disconnected)
}

// decide returns what the retry policy decides after a failed attempt.
func (r *Runner) decide(ctx context.Context, state *requestState, failure attemptFailure) retry.Decision {
	deadline, _ := ctx.Deadline()
	return r.RetryPolicy.Decide(retry.Failure{
		Idempotent:  state.job.Plan.Idempotent,
		Phase:       failure.phase,
		Forwarded:   failure.delivered && !state.job.Plan.Resumable,
		ReportedRun: failure.reportedRun,
		EarlierRun:  state.run,
		Attempts:    len(state.attempted),
		Started:     state.startedAttempts,
		MaxStarted:  state.job.Plan.MaxStarted,
		Deadline:    deadline,
		Suspect:     failure.suspect,
	}, r.Clock.Now())
}

// waitBackoff waits for the backoff before the next attempt. It returns false if the
// context ends first.
func (r *Runner) waitBackoff(ctx context.Context, attempts int) bool {
	timer := r.Clock.NewTimer(r.RetryPolicy.Backoff(attempts, r.Random))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request to the endpoint once and relays the response. It is a repeated
// attempt if the request was sent to the endpoint before.
func (r *Runner) attempt(ctx context.Context, state *requestState, chosen *endpoint.State, repeated bool, sink Sink) (RelayResult, attemptFailure) {
	job := state.job
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := r.newCall(ctx, job, chosen)
	call.OwnConnection = repeated
	guard := &silenceGuard{runner: r, ctx: ctx, state: state, chosen: chosen}
	guard.forwarded.Store(state.last.Delivered)
	call.Limits.GiveUp = guard.giveUp
	responseStarted := chosen.TrackPending(job.PromptTokens)
	defer responseStarted()
	response, err := chosen.Do(ctx, call)
	if err != nil {
		r.release(job, chosen, balancer.Classify(nil, err))
		return RelayResult{Err: err}, attemptFailure{phase: phaseOf(err), suspect: r.reportCrash(job, chosen, err, false)}
	}
	defer func() { _ = response.Body.Close() }()
	response.Buffer = job.buffer
	failed := attemptFailure{phase: endpoint.AfterHeaders, reportedRun: response.Run}
	if err := r.checkResponse(response, call.Attempt); err != nil {
		var wrongAttempt *WrongAttemptError
		if errors.As(err, &wrongAttempt) {
			// What the response reports is about another request, and its own response is
			// still to come on the connection.
			failed.reportedRun = ""
			defer chosen.Client.CloseIdle()
		}
		r.release(job, chosen, classifyUnrelayed(response, err))
		return RelayResult{Err: err, ErrorResponse: readErrorResponse(job, response, err)}, failed
	}
	result := job.Relay.Relay(ctx, job.Plan, response, &startObserver{Sink: sink, onData: func() {
		responseStarted()
		guard.forwarded.Store(true)
	}})
	r.release(job, chosen, classifyRelayed(response, result.Err))
	failed.delivered = result.Delivered
	if result.Err == nil {
		r.reportWhole(job, response)
		return result, failed
	}
	failed.phase = phaseOf(result.Err)
	failed.reportedRun = reportedRunOf(result.Err, response.Run)
	failed.suspect = r.reportCrash(job, chosen, result.Err, result.Delivered)
	return result, failed
}

// newCall returns the call for one attempt at the endpoint.
func (r *Runner) newCall(ctx context.Context, job Job, chosen *endpoint.State) endpoint.Call {
	call := job.Call
	call.Header = call.Header.Clone()
	if resumer, ok := job.Relay.(Resumer); ok {
		resumer.Resume(call.Header)
	}
	call.Attempt = endpoint.AttemptInfo{
		Request:  job.Request,
		Attempt:  job.Attempt,
		Endpoint: chosen.VM.Name,
		Team:     job.Plan.Team.Name,
		Priority: job.Plan.Priority,
	}
	if job.Attempt == "" {
		call.Attempt.Attempt = ident.NewAttempt()
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.Attempt.Remaining = deadline.Sub(r.Clock.Now())
	}
	return call
}

// readErrorResponse reads the complete error response of an endpoint that may have
// run the request. It returns nil if the job does not forward error responses, if
// the endpoint did not run the request, or if the response belongs to another attempt
// or exceeds MaxErrorResponseBytes.
func readErrorResponse(job Job, response *endpoint.Response, err error) *Response {
	var statusError *StatusError
	if !job.ForwardErrorResponses || response.Run == journal.NotRun || !errors.As(err, &statusError) {
		return nil
	}
	body, failed := readBody(job.Plan, response, MaxErrorResponseBytes)
	if failed.Err != nil {
		return nil
	}
	return &Response{Status: response.Status, Header: response.Header, Body: body}
}

// MaxErrorResponseBytes bounds the body of an error response that is forwarded to the
// caller.
const MaxErrorResponseBytes = 1 << 20

// reportedRunOf returns whether the request ran, as far as a relay error establishes
// it, or else what the endpoint reported.
func reportedRunOf(err error, reported journal.RunStatus) journal.RunStatus {
	if typed := asOutcome(err); typed != nil {
		return typed.Run
	}
	return reported
}

// WrongAttemptError means that an endpoint's response carries the id of another
// attempt.
type WrongAttemptError struct {
	Endpoint string
	Want     ident.Attempt
	Got      ident.Attempt
}

// Error implements error.
func (e *WrongAttemptError) Error() string {
	return fmt.Sprintf("endpoint %s: response is for attempt %s, want %s", e.Endpoint, e.Got, e.Want)
}

// StatusError means that an endpoint reported not to have run the request, or
// returned a server error.
type StatusError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint %s: status %d", e.Endpoint, e.Status)
}

// checkResponse returns a WrongAttemptError for the response to another attempt, and a
// StatusError for a response after which another endpoint may succeed. Any other
// response is relayed to the caller.
func (r *Runner) checkResponse(response *endpoint.Response, attempt endpoint.AttemptInfo) error {
	if response.Attempt != "" && response.Attempt != attempt.Attempt {
		r.Metrics.FramesDropped.Add(context.Background(), 1)
		r.Log.Emit(event.FrameDropped, event.String("endpoint", attempt.Endpoint), event.String("attempt", attempt.Attempt))
		return &WrongAttemptError{Endpoint: attempt.Endpoint, Want: attempt.Attempt, Got: response.Attempt}
	}
	if response.Run == journal.NotRun || response.Status >= http.StatusInternalServerError {
		return &StatusError{Endpoint: attempt.Endpoint, Status: response.Status}
	}
	return nil
}

// failedResult returns the final result of a request that gets no further attempt. Its
// error is that of the last attempt or, if no attempt was made, refusal, which is the
// error of pick. An endpoint's error response replaces the error if the job forwards such
// responses and nothing was delivered yet.
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
		Code:   outcomeCode(last.Err),
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
	r.Log.Emit(event.RequestFailed, event.String("request", state.job.Request),
		event.String("code", failure.Code), event.String("run", state.run), event.Cause(&failure))
	return last
}

// outcomeCode returns TimedOut if the endpoint exceeded an inactivity timeout or the
// deadline of the request, and EndpointFailed for any other failure.
func outcomeCode(err error) outcome.Code {
	var callError *endpoint.CallError
	if errors.As(err, &callError) && (callError.Inactive || errors.Is(callError.Cause, context.DeadlineExceeded)) {
		return outcome.TimedOut
	}
	return outcome.EndpointFailed
}

// hasNoCapacity reports whether the endpoint rejected the request with status 429.
func hasNoCapacity(err error) bool {
	var statusError *StatusError
	return errors.As(err, &statusError) && statusError.Status == http.StatusTooManyRequests
}

// chargeOf returns the charge of a failed request. A request that was not run is free.
// One that must not be repeated and is not streamed costs its whole reservation, since
// it may have been completed. Any other costs deliveredCharge, the charge for what was
// delivered to the caller.
func chargeOf(plan admission.Plan, run journal.RunStatus, deliveredCharge int64) int64 {
	switch {
	case run == journal.NotRun:
		return 0
	case !plan.Idempotent && !plan.Streamed:
		return plan.Reserve
	default:
		return deliveredCharge
	}
}

// phaseOf returns the phase of a CallError. Any other error occurs while a response is
// relayed.
func phaseOf(err error) endpoint.Phase {
	var callError *endpoint.CallError
	if errors.As(err, &callError) {
		return callError.Phase
	}
	return endpoint.MidStream
}

// asOutcome returns the *outcome.Error that the error is or wraps, or nil.
func asOutcome(err error) *outcome.Error {
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return typed
	}
	return nil
}
