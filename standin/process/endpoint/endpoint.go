// Package endpoint is the state of one stand-in endpoint: its slots, its queue,
// whether it is leaving, and what it ran.
//
// Slots, queue and state belong to a control thread. Requests ask it for a slot
// and run on threads of their own.
//
// # Usage
//
//	engine := endpoint.New(clk, endpoint.Config{Name: "runner-1", Slots: 8, Queue: 16})
//	release, err := engine.Admit(ctx)
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

// State says whether the endpoint takes new work.
type State string

// States of an endpoint.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Config describes the endpoint. Slots is how many requests run at a time and
// QueueLimit how many may wait. DefaultOutputTokens is the length of an answer that no
// limit cuts.
type Config struct {
	Name                string
	Slots               int
	QueueLimit          int
	DefaultOutputTokens int
	TokenDelay          time.Duration
	FirstTokenDelay     time.Duration
	LoadLag             time.Duration
}

// Load is a report on the endpoint's load.
type Load struct {
	InFlight int   `json:"in_flight"`
	Waiting  int   `json:"waiting"`
	Slots    int   `json:"slots"`
	State    State `json:"state"`
}

// Faults are the failures that apply to a request. Times is how many requests
// they apply to; zero means until they are replaced.
type Faults struct {
	RefuseAll        bool  `json:"refuse_all"`
	CutAfterBytes    int64 `json:"cut_after_bytes"`
	StallAfterBytes  int64 `json:"stall_after_bytes"`
	FirstByteDelayMS int64 `json:"first_byte_delay_ms"`
	WrongAttempt     bool  `json:"wrong_attempt"`
	RunThenDrop      bool  `json:"run_then_drop"`
	IgnoreMaxTokens  bool  `json:"ignore_max_tokens"`
	Times            int   `json:"times"`
}

// Reasons to refuse work. None of it has run.
const (
	ErrLeaving    = errors.ConstError("endpoint is leaving")
	ErrOverloaded = errors.ConstError("endpoint is overloaded")
)

// Endpoint is one endpoint process. Its methods are safe for concurrent use.
type Endpoint struct {
	Clock    clock.Clock
	Config   Config
	Faults   fault.Injector[Faults]
	Requests RequestLog

	load   *lag.Value[Load]
	thread *control.Thread[message]
}

// New returns a live endpoint.
func New(clk clock.Clock, config Config) *Endpoint {
	initial := Load{Slots: config.Slots, State: Live}
	load := lag.New(clk, config.LoadLag, initial)
	queue := &queue{limit: config.QueueLimit, load: initial, published: load}
	return &Endpoint{
		Clock:  clk,
		Config: config,
		load:   load,
		thread: control.New(func(m message) { m.apply(queue) }),
	}
}

// SetState makes the endpoint live or leaving and returns once that is in
// force. Work that was admitted goes on.
func (e *Endpoint) SetState(state State) {
	done := make(chan struct{})
	e.thread.Send(setState{to: state, done: done})
	<-done
}

// State returns the present state.
func (e *Endpoint) State() State {
	return e.load.Latest().State
}

// Load returns the report as it was before the lag.
func (e *Endpoint) Load() Load {
	return e.load.Get()
}

// Admit waits for a slot. The caller frees it with release. An error means that
// nothing of the request ran.
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
