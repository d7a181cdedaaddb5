// Package endpoint holds what lives as long as this process's connection to an
// endpoint: its connections, its load reports and what its answers told.
//
// A Table is rebuilt by the control thread from the platform's list and the
// pools in force, and swapped atomically. Traffic reads it without locks and
// changes a State through atomics. An endpoint is left out of choice at the
// first of three signs that it leaves: the list, its load report, or an answer.
//
// # Usage
//
//	table := endpoint.NewTable(config, clock.New())
//	table.Update(list, pools) // on the control thread
//	go endpoint.NewPoller(config, clock.New(), table).Run(ctx)
//
//	for _, state := range table.View().Members("large") {
//		if state.Usable() {
//			answer, err := state.Do(ctx, call)
//		}
//	}
package endpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/process/vm"
)

// OpenPerSlot is how many requests a process may have open at an endpoint for
// each slot that it reports, so that as many wait there as run.
const OpenPerSlot = 2

// Report is an endpoint's own word on its load. Own is the number of requests
// that this process had open there when the report arrived, and OwnWaiting those
// of them that had not begun to answer.
type Report struct {
	InFlight            int       `json:"in_flight"`
	Waiting             int       `json:"waiting"`
	Slots               int       `json:"slots"`
	State               vm.State  `json:"state"`
	OwnInFlight         int64     `json:"own"`
	OwnAwaitingResponse int64     `json:"own_waiting"`
	RequestedAt         time.Time `json:"asked_at"`
	ReceivedAt          time.Time `json:"received_at"`
}

// LeavingSource names what told that an endpoint leaves.
type LeavingSource string

// Signs that an endpoint leaves.
const (
	ByList     LeavingSource = "list"
	ByReport   LeavingSource = "report"
	ByResponse LeavingSource = "answer"
)

// Leaving says since when an endpoint is left out of choice, and why.
type Leaving struct {
	Source LeavingSource `json:"sign"`
	Since  time.Time     `json:"since"`
}

// State is what this process knows of one endpoint. VM, Address and Client
// never change.
type State struct {
	VM      vm.VM
	Address string
	Client  *Client

	// InFlight is the number of requests that this process has open there.
	InFlight atomic.Int64
	// PendingPromptTokens is the number of prompt tokens of requests that this process has open
	// there and that have not begun to answer, and Waiting the number of these.
	PendingPromptTokens atomic.Int64
	AwaitingResponse    atomic.Int64
	// Report is the last load report, or nil.
	Report atomic.Pointer[Report]
	// Leaving is nil while the endpoint may be chosen.
	Leaving atomic.Pointer[Leaving]
	// MissedPolls is the number of polls in a row without a report.
	MissedPolls atomic.Int64
	// ConsecutiveFailures is the number of requests in a row that failed.
	ConsecutiveFailures atomic.Int64
	// ConsecutiveEjections is the number of ejections in a row without a success.
	ConsecutiveEjections atomic.Int64
	// EjectedUntil is when the next trial request may be sent.
	EjectedUntil AtomicTime
	// Trial is true while a trial request is open.
	Trial atomic.Bool
	// SlowStartSince is when the endpoint began to take a growing share.
	SlowStartSince AtomicTime
}

// Dump is a reading of a State for operators.
type Dump struct {
	Name         string    `json:"name"`
	Address      string    `json:"address"`
	InFlight     int64     `json:"in_flight"`
	Unread       int64     `json:"unread_tokens"`
	Report       *Report   `json:"report,omitempty"`
	Leaving      *Leaving  `json:"leaving,omitempty"`
	Missed       int64     `json:"missed"`
	Failures     int64     `json:"failures"`
	EjectedUntil time.Time `json:"ejected_until"`
}

// Usable reports whether no sign says that the endpoint leaves.
func (s *State) Usable() bool {
	return s.Leaving.Load() == nil
}

// Limit returns how many requests this process may have open at the endpoint:
// the bound that its pool declares, zero being none, or less if the endpoint
// reports few slots.
func (s *State) Limit(declared int) int {
	report := s.Report.Load()
	if report == nil || report.Slots == 0 {
		return declared
	}
	reported := OpenPerSlot * report.Slots
	if declared == 0 {
		return reported
	}
	return min(declared, reported)
}

// Acquire counts one more open request unless the limit is reached. A limit of
// zero is no limit. Each success must be followed by one Release.
func (s *State) Acquire(limit int) bool {
	open := s.InFlight.Add(1)
	if limit > 0 && open > int64(limit) {
		s.InFlight.Add(-1)
		return false
	}
	return true
}

// Release ends what Acquire began.
func (s *State) Release() {
	s.InFlight.Add(-1)
}

// TrackPending notes a request whose prompt has so many tokens, and returns what is to be
// called when it begins to answer or ends, at least once.
func (s *State) TrackPending(tokens int64) (started func()) {
	s.PendingPromptTokens.Add(tokens)
	s.AwaitingResponse.Add(1)
	return sync.OnceFunc(func() {
		s.PendingPromptTokens.Add(-tokens)
		s.AwaitingResponse.Add(-1)
	})
}

// MarkLeaving leaves the endpoint out of choice. A repeated sign extends the
// hold.
func (s *State) MarkLeaving(source LeavingSource, now time.Time) {
	s.Leaving.Store(&Leaving{Source: source, Since: now})
}

// ApplyReport takes a load report. A report that says live ends a hold only if it
// was asked for after the hold began.
func (s *State) ApplyReport(report Report) {
	report.OwnInFlight = s.InFlight.Load()
	report.OwnAwaitingResponse = s.AwaitingResponse.Load()
	s.Report.Store(&report)
	s.MissedPolls.Store(0)
	if report.State == vm.Leaving {
		s.MarkLeaving(ByReport, report.ReceivedAt)
		return
	}
	leaving := s.Leaving.Load()
	if leaving != nil && report.RequestedAt.After(leaving.Since) {
		s.Leaving.CompareAndSwap(leaving, nil)
	}
}

// Do sends one request and notes what the head of its answer says of the
// endpoint.
func (s *State) Do(ctx context.Context, call Call) (*Response, error) {
	response, err := s.Client.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	now := s.Client.clock.Now()
	if response.Leaving {
		s.MarkLeaving(ByResponse, now)
	}
	if response.Load != nil {
		s.ApplyReport(Report{
			InFlight:   response.Load.Running,
			Waiting:    response.Load.Waiting,
			Slots:      response.Load.Slots,
			ReceivedAt: now,
		})
	}
	return response, nil
}

// Dump returns a reading of the state.
func (s *State) Dump() Dump {
	dump := Dump{
		Name:     s.VM.Name,
		Address:  s.Address,
		InFlight: s.InFlight.Load(),
		Unread:   s.PendingPromptTokens.Load(),
		Report:   s.Report.Load(),
		Leaving:  s.Leaving.Load(),
		Missed:   s.MissedPolls.Load(),
		Failures: s.ConsecutiveFailures.Load(),
	}
	dump.EjectedUntil = s.EjectedUntil.Load().UTC()
	return dump
}
