// Package serve takes one admitted request from its reservation to its bill.
//
// A request is recorded open before its first byte is sent to an endpoint, and
// final with its charge before the end of its answer is passed on. What it
// reserved is settled to what it cost. Encoding belongs to the Job and the
// Sink, so that another front end can use the same code.
//
// # Usage
//
//	runner := &serve.Runner{Clock: clk, Wallet: wallet, Recorder: recorder, ...}
//	err := runner.Run(ctx, serve.Job{Plan: plan, Call: call, Relay: relay}, sink)
package serve

import (
	"context"
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/retry"
)

// CreditReserver sets credits aside.
type CreditReserver interface {
	// Reserve returns the purse to settle with, or false without enough credits.
	Reserve(ctx context.Context, budget string, amount int64) (*quota.Balance, bool)
}

// Recorder records charges.
type Recorder interface {
	// Open returns nil once the open entry is safe.
	Open(ctx context.Context, entry journal.Entry) error
	// Close returns nil once the final entry is safe, or an error while it is
	// kept but not safe yet.
	Close(ctx context.Context, entry journal.Entry) error
}

// Sink takes the answer for the caller.
type Sink interface {
	// Begin passes on the head of an answer whose parts follow.
	Begin(status int, header http.Header) error
	// Part passes on a part of a streamed answer.
	Part(part []byte) error
	// End passes on the end of the answer, or the whole of one that was not
	// streamed, after its bill is safe.
	End(result Response) error
}

// Response is a whole answer. Body is empty if it was passed on in parts.
type Response struct {
	Request      ident.Request
	Status       int
	Header       http.Header
	Body         []byte
	InputTokens  int64
	OutputTokens int64
}

// RelayResult is what came of relaying one answer. Passed says that a part of it
// has reached the caller. Failure is the endpoint's own whole answer if that is
// a failure.
type RelayResult struct {
	Response      Response
	Delivered     bool
	Charge        int64
	Err           error
	ErrorResponse *Response
}

// Relay reads the answer of one attempt and passes on its parts.
type Relay interface {
	Relay(ctx context.Context, plan admission.Plan, answer *endpoint.Response, sink Sink) RelayResult
}

// Resumer is a Relay whose answer can go on at another endpoint.
type Resumer interface {
	Relay
	// Resume adds to a call's header where the answer is to go on.
	Resume(header http.Header)
}

// Job is an admitted request. Requests with the same Prefix, unless it is zero,
// are best served by the endpoint that has their prompt prefix cached. Prompt is
// the size of the prompt in tokens if it is known, and Shared that of the prefix.
// Attempt,
// unless it is empty, names all attempts. PassFailures has an endpoint's own
// failure passed on as it is.
type Job struct {
	Request               ident.Request
	Attempt               ident.Attempt
	Plan                  admission.Plan
	PrefixHash            uint64
	PromptTokens          int64
	PrefixTokens          int64
	Call                  endpoint.Call
	Relay                 Relay
	ForwardErrorResponses bool
}

// Limits bound the waits of a request.
type Limits struct {
	Search time.Duration
	Open   time.Duration
	Final  time.Duration
}

// Runner runs requests. Its fields are set once, before the first request.
type Runner struct {
	Clock         clock.Clock
	Random        random.Source
	Log           *event.Log
	ServedSampler *event.Sampler
	Metrics       *meter.Metrics
	Credits       CreditReserver
	Recorder      Recorder
	Endpoints     *endpoint.Table
	Slots         *Slots
	Picker        *balancer.Picker
	Policy        retry.Policy
	Budgets       *retry.Budgets
	Limits        Limits
}

// Run serves the request. Its error is an *outcome.Error, or the sink's error
// when the caller has gone.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) error {
	sink = &startObserver{Sink: sink, onData: r.firstByteRecorder()}
	if !job.Plan.Idempotent && !job.Plan.CancelOnDisconnect {
		// Work that may not be repeated goes on when its caller has gone.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, job.Plan.Timeout)
	defer cancel()
	release, err := r.Slots.Acquire(ctx, job.Plan)
	if err != nil {
		return err
	}
	defer release()
	done := r.runBilled(ctx, job, sink)
	if done.Err != nil {
		return done.Err
	}
	r.Metrics.Credits.Add(ctx, done.Charge)
	done.Response.Request = job.Request
	return sink.End(done.Response)
}

// runBilled runs the request between its reservation and its bill. One that can
// cost nothing has neither.
func (r *Runner) runBilled(ctx context.Context, job Job, sink Sink) RelayResult {
	if job.Plan.Reserve == 0 {
		return r.runAttempts(ctx, job, sink)
	}
	purse, err := r.reserve(ctx, job)
	if err != nil {
		return RelayResult{Err: err}
	}
	if err := r.recordOpen(ctx, job); err != nil {
		purse.Settle(job.Plan.Reserve, 0)
		return RelayResult{Err: err}
	}
	done := r.runAttempts(ctx, job, sink)
	purse.Settle(job.Plan.Reserve, done.Charge)
	r.recordFinal(ctx, job, done)
	return done
}

func (r *Runner) reserve(ctx context.Context, job Job) (*quota.Balance, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Limits.Search)
	defer cancel()
	purse, ok := r.Credits.Reserve(ctx, job.Plan.Team.Budget, job.Plan.Reserve)
	if ok {
		return purse, nil
	}
	return nil, &outcome.Error{
		Code:   outcome.BudgetExhausted,
		Run:    journal.NotRun,
		Object: "budget",
		Name:   job.Plan.Team.Budget,
		Reason: "the credits left do not cover the most that this request can cost",
	}
}

// recordOpen records the request. If that fails, the record is closed at no charge.
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

// recordFinal records the final charge. It waits for a safe record within a bound
// also when the caller has gone; after that the open entry, which is safe,
// stands for the bill until the final one is stored.
func (r *Runner) recordFinal(ctx context.Context, job Job, done RelayResult) {
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Limits.Final)
	defer cancel()
	run := journal.Ran
	if failure := asOutcome(done.Err); failure != nil {
		run = failure.Run
	}
	started := r.Clock.Now()
	_ = r.Recorder.Close(wait, job.entry(journal.Final, done, run))
	r.Metrics.RecordWait.Record(ctx, r.Clock.Since(started).Seconds())
}

func (j Job) entry(state journal.State, done RelayResult, run journal.Run) journal.Entry {
	return journal.Entry{
		Request:      j.Request,
		State:        state,
		Team:         j.Plan.Team.Name,
		Budget:       j.Plan.Team.Budget,
		Target:       j.Plan.Target,
		Run:          run,
		Reserved:     j.Plan.Reserve,
		Floor:        j.Plan.Floor,
		Charge:       done.Charge,
		InputTokens:  done.Response.InputTokens,
		OutputTokens: done.Response.OutputTokens,
	}
}
