// Package endpoint holds the state of one simulated endpoint: its slots, its queue,
// whether it is leaving, and the records of its requests.
//
// A control thread owns slots, queue and state. Requests acquire a slot from it and
// run in their own goroutines.
//
// # Usage
//
//	ep := endpoint.New(clk, endpoint.Config{Name: "runner-1", Slots: 8, QueueLimit: 16})
//	release, err := ep.Admit(ctx)
//	if err != nil {
//		return err
//	}
//	defer release()
package endpoint

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/standin/process/control"
	"jacinthpaddle.example/standin/process/fault"
	"jacinthpaddle.example/standin/process/lag"
)

// State reports whether the endpoint accepts new requests.
type State string

// States of an endpoint.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Config holds the settings of an endpoint.
type Config struct {
	// Name is the name of the endpoint in its responses.
	Name string
	// Slots is the maximum number of requests that run at a time.
	Slots int
	// QueueLimit is the maximum number of requests that wait for a slot.
	QueueLimit int
	// DefaultOutputTokens is the length of a completion that no limit truncates.
	DefaultOutputTokens int
	// TokenDelay is the time to generate each token but the first.
	TokenDelay time.Duration
	// FirstTokenDelay is the time to generate the first token, and the duration of
	// a service call.
	FirstTokenDelay time.Duration
	// LoadLag is the delay after which Load reports a change.
	LoadLag time.Duration
}

// Load is the load report of an endpoint.
type Load struct {
	// InFlight is the number of requests that hold a slot.
	InFlight int `json:"in_flight"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"waiting"`
	// Slots is the maximum number of requests that run at a time.
	Slots int   `json:"slots"`
	State State `json:"state"`
}

// Faults are the faults to inject into requests. The zero value injects none. Byte
// counts refer to the response body.
type Faults struct {
	// RefuseAll refuses the request before it runs.
	RefuseAll bool `json:"refuse_all"`
	// CutAfterBytes closes the connection after so many bytes.
	CutAfterBytes int64 `json:"cut_after_bytes"`
	// StallAfterBytes sends nothing more after so many bytes and keeps the
	// connection open.
	StallAfterBytes int64 `json:"stall_after_bytes"`
	// FirstByteDelayMS delays the start of the response, in milliseconds.
	FirstByteDelayMS int64 `json:"first_byte_delay_ms"`
	// WrongAttempt changes the attempt ID in the response.
	WrongAttempt bool `json:"wrong_attempt"`
	// RunThenDrop runs the request, then closes the connection without a response.
	RunThenDrop bool `json:"run_then_drop"`
	// IgnoreMaxTokens ignores the token limits of the request.
	IgnoreMaxTokens bool `json:"ignore_max_tokens"`
	// Times is the number of requests that the faults apply to; 0 means all until
	// the faults are replaced.
	Times int `json:"times"`
}

// Reasons to refuse a request. A refused request has not run.
const (
	ErrLeaving    = errors.ConstError("endpoint is leaving")
	ErrOverloaded = errors.ConstError("endpoint is overloaded")
)

// Endpoint is one simulated endpoint. Its methods are safe for concurrent use.
type Endpoint struct {
	Clock    clock.Clock
	Config   Config
	Faults   fault.Injector[Faults]
	Requests RequestLog

	load   *lag.Value[Load]
	thread *control.Thread[message]
}

// New returns an endpoint in state Live and starts its control thread.
func New(clk clock.Clock, config Config) *Endpoint {
	initial := Load{Slots: config.Slots, State: Live}
	load := lag.New(clk, config.LoadLag, initial)
	state := &controlState{queueLimit: config.QueueLimit, load: initial, published: load}
	return &Endpoint{
		Clock:  clk,
		Config: config,
		load:   load,
		thread: control.New(func(m message) { m.apply(state) }),
	}
}

// SetState changes the state and returns after the control thread has applied the
// change. Admitted and waiting requests are not affected.
func (e *Endpoint) SetState(state State) {
	done := make(chan struct{})
	e.thread.Send(setState{to: state, done: done})
	<-done
}

// State returns the current state, without the lag of Load.
func (e *Endpoint) State() State {
	return e.load.Latest().State
}

// Load returns the load report with the configured lag.
func (e *Endpoint) Load() Load {
	return e.load.Get()
}

// Admit waits for a slot. The caller calls release once, after the request has run,
// to free the slot. The error is ErrLeaving, ErrOverloaded or that of the context; the
// request must then not run.
func (e *Endpoint) Admit(ctx context.Context) (release func(), err error) {
	admitted := make(chan error, 1)
	e.thread.Send(acquireSlot{admitted: admitted})
	select {
	case err := <-admitted:
		if err != nil {
			return nil, err
		}
		return func() { e.thread.Send(releaseSlot{}) }, nil
	case <-ctx.Done():
		e.thread.Send(cancelAdmission{admitted: admitted})
		return nil, ctx.Err()
	}
}
