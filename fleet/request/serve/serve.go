// Package serve executes an admitted request: it reserves credits, records the
// request, sends it to endpoints with retries, relays the response and bills it.
//
// A request is recorded as open before its first byte is sent to an endpoint, and as
// final with its charge before the end of its response is delivered. The difference
// between reservation and charge is returned. Encoding belongs to the Job and the
// Sink, so that another front end can use the same code.
//
// # Usage
//
//	runner := &serve.Runner{Clock: clk, Credits: credits, Recorder: recorder, ...}
//	err := runner.Run(ctx, serve.Job{Plan: plan, Call: call, Relay: relay}, sink)
package serve

import (
	"context"
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/process/quarantine"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/retry"
)

// CreditReserver reserves credits of a budget for a request.
type CreditReserver interface {
	// Reserve reserves the amount of credits and returns the balance against which the
	// reservation must be settled. It returns false if the credits cannot be obtained or
	// the context ends first.
	Reserve(ctx context.Context, budget string, amount int64) (*quota.Balance, bool)
}

// Recorder records requests and their charges.
type Recorder interface {
	// Open returns nil once the open entry is durable.
	Open(ctx context.Context, entry journal.Entry) error
	// Close returns nil once the final entry is durable. After an error the entry is
	// kept in memory and may still become durable later.
	Close(ctx context.Context, entry journal.Entry) error
}

// PromptMonitor knows the parts of prompts under which endpoints crash. Its methods return
// at once.
type PromptMonitor interface {
	View() *quarantine.View
	// ReportFailure reports a request whose connection broke before its response had
	// ended.
	ReportFailure(failure quarantine.Failure)
	// ReportWhole reports the parts of a prompt whose response ended whole.
	ReportWhole(parts []quarantine.Part)
}

// Sink delivers the response to the caller. An error means that the caller's
// connection failed.
type Sink interface {
	// Begin delivers the head of a response whose body follows in parts. Only EventStream
	// calls it: the head of a streamed chat completion does not depend on the endpoint.
	Begin(status int, header http.Header) error
	// Part delivers a part of a streamed body.
	Part(part []byte) error
	// End delivers the end of a streamed response, or all of a response that was not
	// streamed. It is called once the final charge is recorded or Limits.Final passed.
	End(response Response) error
}

// Response is the complete response to a request.
type Response struct {
	// Request is the id of the request. Run sets it; a Relay leaves it empty.
	Request ident.Request
	Status  int
	Header  http.Header
	// Body is empty if it was delivered in parts.
	Body         []byte
	InputTokens  int64
	OutputTokens int64
}

// RelayResult is the result of relaying one response.
type RelayResult struct {
	Response Response
	// Delivered is true if a part of the response was passed to the sink, also if the sink
	// returned an error.
	Delivered bool
	// Charge is the charge in credits.
	Charge int64
	// Err is nil if the response is complete.
	Err error
	// ErrorResponse is the complete error response of an endpoint that was not relayed, or
	// nil. A Relay does not set it.
	ErrorResponse *Response
}

// Relay reads the response to one attempt and delivers its parts to the sink.
type Relay interface {
	Relay(ctx context.Context, plan admission.Plan, response *endpoint.Response, sink Sink) RelayResult
}

// Resumer is a Relay whose response another endpoint can continue.
type Resumer interface {
	Relay
	// Resume adds the position at which the response is to continue to the header of a
	// request.
	Resume(header http.Header)
}

// Job is an admitted request, with what is needed to run it at endpoints.
type Job struct {
	Request ident.Request
	// Attempt is the id that all attempts use. If it is empty, each attempt gets a new id.
	Attempt ident.Attempt
	Plan    admission.Plan
	// PrefixHash identifies the prompt prefix. Requests with the same hash are preferably
	// sent to the endpoint that has the prefix cached. Zero is no prefix.
	PrefixHash uint64
	// PromptTokens is the number of tokens of the prompt, or zero if it is not known.
	PromptTokens int64
	// PrefixTokens is the number of tokens of the prompt prefix, or zero if it is not known.
	PrefixTokens int64
	// Parts are the parts of the prompt prefix.
	Parts []quarantine.Part
	// Call is the request to send. Each attempt sends a copy with its own AttemptInfo.
	Call endpoint.Call
	// Relay reads the responses of all attempts.
	Relay Relay
	// ForwardErrorResponses makes the caller receive an endpoint's error response unchanged
	// once no attempt is left.
	ForwardErrorResponses bool

	// buffer accounts for the responses to the request. Run sets it.
	buffer *buffer.Lease
}

// Limits bounds the waits of a request.
type Limits struct {
	// Reserve bounds the wait for credits.
	Reserve time.Duration
	// Open bounds the wait for the open record to become durable.
	Open time.Duration
	// Final bounds the wait for the final record to become durable.
	Final time.Duration
}

// Runner executes requests. Its fields are set before the first request and do not
// change; Run is safe for concurrent use.
type Runner struct {
	Clock  clock.Clock
	Random random.Source
	Log    *event.Log
	// ServedSampler limits the log lines for served requests. Nil logs none.
	ServedSampler *event.Sampler
	Metrics       *meter.Metrics
	Credits       CreditReserver
	Recorder      Recorder
	Endpoints     *endpoint.Table
	Slots         *Slots
	Picker        *balancer.Picker
	// Prompts is nil if prompts have no known parts.
	Prompts      PromptMonitor
	RetryPolicy  retry.Policy
	RetryBudgets *retry.Budgets
	Limits       Limits
	// Buffers bounds the memory of all responses. Nil is no bound.
	Buffers *buffer.Pool
}

// Run executes the request. Its error is an *outcome.Error, or the sink's error if the
// caller disconnected.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) error {
	if err := r.checkPrompt(job); err != nil {
		return err
	}
	if err := r.checkHomes(job); err != nil {
		return err
	}
	sink = &startObserver{Sink: sink, onData: r.firstByteRecorder()}
	if !job.Plan.Idempotent && !job.Plan.CancelOnDisconnect {
		// Work that must not be repeated continues after its caller disconnected.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, job.Plan.Timeout)
	defer cancel()
	release, err := r.Slots.Acquire(ctx, job.Plan)
	if err != nil {
		return err
	}
	defer release()
	job.buffer = r.Buffers.Lease()
	defer job.buffer.Release()
	result := r.runBilled(ctx, job, sink)
	if result.Err != nil {
		return result.Err
	}
	r.Metrics.Credits.Add(ctx, result.Charge)
	result.Response.Request = job.Request
	return sink.End(result.Response)
}

// runBilled reserves credits, records the request, runs its attempts, settles the
// reservation and records the charge. A request without a reservation is neither
// recorded nor billed.
func (r *Runner) runBilled(ctx context.Context, job Job, sink Sink) RelayResult {
	if job.Plan.Reserve == 0 {
		return r.runAttempts(ctx, job, sink)
	}
	balance, err := r.reserve(ctx, job)
	if err != nil {
		return RelayResult{Err: err}
	}
	if err := r.recordOpen(ctx, job); err != nil {
		balance.Settle(job.Plan.Reserve, 0)
		return RelayResult{Err: err}
	}
	result := r.runAttempts(ctx, job, sink)
	balance.Settle(job.Plan.Reserve, result.Charge)
	r.recordFinal(ctx, job, result)
	return result
}

func (r *Runner) reserve(ctx context.Context, job Job) (*quota.Balance, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Limits.Reserve)
	defer cancel()
	balance, ok := r.Credits.Reserve(ctx, job.Plan.Team.Budget, job.Plan.Reserve)
	if ok {
		return balance, nil
	}
	return nil, &outcome.Error{
		Code:   outcome.BudgetExhausted,
		Run:    journal.NotRun,
		Object: "budget",
		Name:   job.Plan.Team.Budget,
		Reason: "the credits left do not cover the most that this request can cost",
	}
}

// recordOpen records the request as open. If that fails, the record is closed without
// a charge, since the open entry may still become durable.
func (r *Runner) recordOpen(ctx context.Context, job Job) error {
	wait, cancel := context.WithTimeout(ctx, r.Limits.Open)
	defer cancel()
	started := r.Clock.Now()
	err := r.Recorder.Open(wait, job.entry(journal.Open, RelayResult{}, journal.Unknown))
	r.Metrics.RecordWait.Record(ctx, r.Clock.Since(started).Seconds())
	if err == nil {
		return nil
	}
	refusal := &outcome.Error{
		Code:   outcome.NoRecord,
		Run:    journal.NotRun,
		Object: "journal",
		Reason: "the request could not be recorded safely",
		Cause:  err,
	}
	r.recordFinal(ctx, job, RelayResult{Err: refusal})
	return refusal
}

// recordFinal records the final charge. It waits for at most Limits.Final, also after
// the caller disconnected. After a timeout the request is billed by its durable open
// entry, at Plan.Floor, until the final entry is durable.
func (r *Runner) recordFinal(ctx context.Context, job Job, result RelayResult) {
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Limits.Final)
	defer cancel()
	run := journal.Ran
	if failure := asOutcome(result.Err); failure != nil {
		run = failure.Run
	}
	started := r.Clock.Now()
	_ = r.Recorder.Close(wait, job.entry(journal.Final, result, run))
	r.Metrics.RecordWait.Record(ctx, r.Clock.Since(started).Seconds())
}

func (j Job) entry(state journal.State, result RelayResult, run journal.RunStatus) journal.Entry {
	return journal.Entry{
		Request:      j.Request,
		State:        state,
		Team:         j.Plan.Team.Name,
		Budget:       j.Plan.Team.Budget,
		Target:       j.Plan.Target,
		Run:          run,
		Reserved:     j.Plan.Reserve,
		Floor:        j.Plan.Floor,
		Charge:       result.Charge,
		InputTokens:  result.Response.InputTokens,
		OutputTokens: result.Response.OutputTokens,
	}
}
