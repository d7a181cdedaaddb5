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

// failure is what an attempt that failed tells besides its error.
type failure struct {
	moment endpoint.Phase
	said   journal.Run
	passed bool
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

// trial is the state of a request between its attempts.
type trial struct {
	job     Job
	started time.Time
	run     journal.Run
	tried   []*endpoint.State
	begun   int
	arrived bool
	last    RelayResult
	failure *Response
}

// attempts tries the request at one endpoint after the other, as far as the
// retry policy allows.
func (r *Runner) attempts(ctx context.Context, job Job, sink Sink) RelayResult {
	budget := r.Budgets.ForPool(job.Plan.Pool.Name)
	budget.RecordRequest(r.Clock.Now())
	trial := &trial{job: job, started: r.Clock.Now(), run: journal.NotRun}
	for {
		state, err := r.pick(job, trial.tried)
		if err != nil {
			return r.failed(trial, err)
		}
		trial.tried = append(trial.tried, state)
		done, failure := r.attempt(ctx, job, state, sink)
		if done.Err == nil {
			r.logServed(trial, done)
			return done
		}
		if !r.again(ctx, trial, done, failure) {
			return r.failed(trial, nil)
		}
		if trial.arrived && !budget.Take(r.Clock.Now()) {
			r.logAttempt(trial, failure, retry.BudgetExhausted)
			return r.failed(trial, nil)
		}
		if !r.pause(ctx, len(trial.tried)) {
			return r.failed(trial, nil)
		}
		r.Metrics.Retries.Add(ctx, 1)
	}
}

// again notes a failed attempt and reports whether another may follow. What earlier
// attempts passed on stays passed on, and billed.
func (r *Runner) again(ctx context.Context, trial *trial, done RelayResult, failure failure) bool {
	done.Charge = max(done.Charge, trial.last.Charge)
	done.Delivered = done.Delivered || trial.last.Delivered
	trial.last = done
	if done.ErrorResponse != nil {
		trial.failure = done.ErrorResponse
	}
	deadline, _ := ctx.Deadline()
	decision := r.Policy.Decide(retry.Failure{
		Idempotent:  trial.job.Plan.Idempotent,
		Phase:       failure.moment,
		Forwarded:   failure.passed && !trial.job.Plan.Resumable,
		ReportedRun: failure.said,
		EarlierRun:  trial.run,
		Attempts:    len(trial.tried),
		Started:     trial.begun,
		MaxStarted:  trial.job.Plan.MaxStarted,
		Deadline:    deadline,
	}, r.Clock.Now())
	trial.run = decision.Run
	trial.begun = decision.Started
	trial.arrived = trial.arrived || failure.moment.Arrived()
	r.logAttempt(trial, failure, decision.Reason)
	var gone *CallerDisconnectedError
	return decision.Action == retry.Again && ctx.Err() == nil && !errors.As(done.Err, &gone)
}

// pause waits before the next attempt, or returns false if the context ends.
func (r *Runner) pause(ctx context.Context, attempts int) bool {
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
func (r *Runner) attempt(ctx context.Context, job Job, state *endpoint.State, sink Sink) (RelayResult, failure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := r.call(ctx, job, state)
	begun := state.TrackPending(job.PromptTokens)
	defer begun()
	answer, err := state.Do(ctx, call)
	if err != nil {
		r.release(job, state, balancer.Classify(nil, err))
		return RelayResult{Err: err}, failure{moment: momentOf(err)}
	}
	defer func() { _ = answer.Body.Close() }()
	failed := failure{moment: endpoint.AfterHeaders, said: answer.Run}
	if err := r.checkAnswer(answer, call.Attempt); err != nil {
		r.release(job, state, judgeRefused(answer, err))
		return RelayResult{Err: err, ErrorResponse: ownFailure(job, answer, err)}, failed
	}
	done := job.Relay.Relay(ctx, job.Plan, answer, &beginning{Sink: sink, begun: begun})
	r.release(job, state, judgeRelayed(answer, done.Err))
	failed.passed = done.Delivered
	if done.Err != nil {
		failed.moment = momentOf(done.Err)
		failed.said = saidOf(done.Err, answer.Run)
	}
	return done, failed
}

// call returns the message of one attempt at the endpoint.
func (r *Runner) call(ctx context.Context, job Job, state *endpoint.State) endpoint.Call {
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

// ownFailure reads the whole failure of an endpoint that ran the request, or
// returns nil if there is none to pass on. The answer of another attempt is none.
func ownFailure(job Job, answer *endpoint.Response, err error) *Response {
	var refused *StatusError
	if !job.ForwardErrorResponses || answer.Run == journal.NotRun || !errors.As(err, &refused) {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxErrorResponseBytes+1))
	if err != nil || len(body) > MaxErrorResponseBytes {
		return nil
	}
	return &Response{Status: answer.Status, Header: answer.Header, Body: body}
}

// MaxErrorResponseBytes bounds a failure of an endpoint that is passed on.
const MaxErrorResponseBytes = 1 << 20

// saidOf returns what is known of the run from an answer that was not whole.
func saidOf(err error, word journal.Run) journal.Run {
	if typed := asOutcome(err); typed != nil {
		return typed.Run
	}
	return word
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

// checkAnswer refuses the answer of another attempt, and refusals of the
// endpoint that are worth another attempt.
func (r *Runner) checkAnswer(answer *endpoint.Response, mark endpoint.AttemptInfo) error {
	if answer.Attempt != "" && answer.Attempt != mark.Attempt {
		r.Metrics.FramesDropped.Add(context.Background(), 1)
		r.Log.Emit(event.FrameDropped, event.Text("endpoint", mark.Endpoint), event.Text("attempt", mark.Attempt))
		return &WrongAttemptError{Endpoint: mark.Endpoint, Want: mark.Attempt, Got: answer.Attempt}
	}
	if answer.Run == journal.NotRun || answer.Status >= http.StatusInternalServerError {
		return &StatusError{Endpoint: mark.Endpoint, Status: answer.Status}
	}
	return nil
}

// failed types the end of a request whose attempts are over. Refusal is set if
// no endpoint could be chosen. An endpoint's own failure is passed on where the
// job asks for that.
func (r *Runner) failed(trial *trial, refusal error) RelayResult {
	last := trial.last
	if last.Err == nil {
		return RelayResult{Err: refusal}
	}
	last.Charge = chargeOf(trial.job.Plan, trial.run, last.Charge)
	if trial.failure != nil && !last.Delivered {
		return RelayResult{Response: *trial.failure, Charge: last.Charge}
	}
	ended := outcome.Error{
		Code:   codeOf(last.Err),
		Object: "endpoint",
		Reason: "no endpoint gave a whole answer",
		Cause:  last.Err,
	}
	if typed := asOutcome(last.Err); typed != nil {
		ended = *typed
	}
	if trial.run == journal.NotRun && full(last.Err) {
		ended.Code = outcome.Overloaded
	}
	ended.Run = trial.run
	last.Err = &ended
	r.Log.Emit(event.RequestFailed, event.Text("request", trial.job.Request),
		event.Text("code", ended.Code), event.Text("run", trial.run), event.Cause(&ended))
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

// full reports whether the endpoint refused because it had no room.
func full(err error) bool {
	var refused *StatusError
	return errors.As(err, &refused) && refused.Status == http.StatusTooManyRequests
}

// chargeOf returns what a failed request costs: nothing if it was not run, the
// whole price of work that may not be repeated if that may have been done, and what
// was passed on of a stream or of other work.
func chargeOf(plan admission.Plan, run journal.Run, passed int64) int64 {
	switch {
	case run == journal.NotRun:
		return 0
	case !plan.Idempotent && !plan.Streamed:
		return plan.Reserve
	default:
		return passed
	}
}

func momentOf(err error) endpoint.Phase {
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
