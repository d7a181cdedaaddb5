// Package endpoint holds the state that a process keeps for each endpoint while it is
// listed: its connections, its load reports and the results of requests.
//
// The control thread rebuilds the Table from the list of VMs and the active pools, and
// swaps it atomically. Traffic reads it without locks and changes a State through
// atomics. An endpoint is no longer chosen once the first of three sources reports that
// it is leaving: the list of VMs, its load report or a response.
//
// # Usage
//
//	table := endpoint.NewTable(config, clock.New())
//	table.Update(list, pools) // on the control thread
//	go endpoint.NewPoller(config, clock.New(), table).Run(ctx)
//
//	for _, state := range table.View().InPool("large") {
//		if state.Usable() {
//			response, err := state.Do(ctx, call)
//		}
//	}
package endpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/coldstart"
	"jacinthpaddle.example/fleet/connection/speed"
	"jacinthpaddle.example/fleet/process/vm"
)

// OpenPerSlot is the number of requests that a process may have open at an endpoint for
// each reported slot, so that as many requests wait there as run.
const OpenPerSlot = 2

// Report is the load that an endpoint reported.
type Report struct {
	// InFlight is the number of requests at the endpoint.
	InFlight int `json:"in_flight"`
	// Waiting is the number of requests that the endpoint queues.
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the endpoint can execute at the same time.
	Slots int `json:"slots"`
	// State is the state in which the endpoint reports itself.
	State vm.State `json:"state"`
	// OwnInFlight is the number of requests that this process had open at the endpoint when
	// the report arrived.
	OwnInFlight int64 `json:"own"`
	// OwnAwaitingResponse is the number of those whose response had not started.
	OwnAwaitingResponse int64 `json:"own_waiting"`
	// RequestedAt is zero for a report that came with a response.
	RequestedAt time.Time `json:"asked_at"`
	ReceivedAt  time.Time `json:"received_at"`
}

// LeavingSource is the source that reported an endpoint as leaving.
type LeavingSource string

// Sources that report an endpoint as leaving.
const (
	ByList     LeavingSource = "list"
	ByReport   LeavingSource = "report"
	ByResponse LeavingSource = "answer"
	// ByAnnouncement is the endpoint's own announcement in a response that it leaves for
	// good. Neither the list nor a report makes it usable again.
	ByAnnouncement LeavingSource = "announcement"
)

// Leaving is since when an endpoint is not chosen any more, and why.
type Leaving struct {
	Source LeavingSource `json:"sign"`
	Since  time.Time     `json:"since"`
}

// State is the state of one endpoint in this process. It is safe for concurrent use; VM,
// Address and Client never change.
type State struct {
	VM      vm.VM
	Address string
	Client  *Client

	// InFlight is the number of requests that this process has open at the endpoint.
	InFlight atomic.Int64
	// PendingPromptTokens is the number of prompt tokens of the open requests of this
	// process whose response has not started.
	PendingPromptTokens atomic.Int64
	// AwaitingResponse is the number of these requests.
	AwaitingResponse atomic.Int64
	// Report is the last load report, or nil.
	Report atomic.Pointer[Report]
	// Leaving is nil while the endpoint may be chosen.
	Leaving atomic.Pointer[Leaving]
	// PausedUntil is the end of the time in which the endpoint wants no requests.
	PausedUntil AtomicTime
	// MissedPolls is the number of consecutive polls without a report.
	MissedPolls atomic.Int64
	// ConsecutiveFailures is the number of failed requests since the last success.
	ConsecutiveFailures atomic.Int64
	// ConsecutiveEjections is the number of ejections since the last success.
	ConsecutiveEjections atomic.Int64
	// EjectedUntil is when the next trial request may be sent to an ejected endpoint. It is
	// zero unless the endpoint is ejected.
	EjectedUntil AtomicTime
	// TrialInFlight is true while a trial request is open.
	TrialInFlight atomic.Bool
	// SlowStartSince is when the endpoint started to get a gradually growing share of the
	// requests: when it was added after the first update, or when an ejection or the
	// evacuation of its zone ended. It is zero if none of these happened.
	SlowStartSince AtomicTime
	// evacuated reports whether the zone was evacuated at the last Table.Update, which
	// alone uses it.
	evacuated bool
	// Cold bounds the requests of this process while the endpoint is cold.
	Cold coldstart.Limiter
	// Speed estimates how long work takes at the endpoint, if it reports that.
	Speed speed.Estimator
}

// Dump is a snapshot of a State for operators.
type Dump struct {
	Name                string    `json:"name"`
	Address             string    `json:"address"`
	InFlight            int64     `json:"in_flight"`
	PendingPromptTokens int64     `json:"unread_tokens"`
	Report              *Report   `json:"report,omitempty"`
	Leaving             *Leaving  `json:"leaving,omitempty"`
	MissedPolls         int64     `json:"missed"`
	ConsecutiveFailures int64     `json:"failures"`
	EjectedUntil        time.Time `json:"ejected_until"`
	PausedUntil         time.Time `json:"paused_until"`
	// Cold is nil unless the endpoint is cold.
	Cold *coldstart.Period `json:"cold,omitempty"`
	// WorkFactor is the estimated time that work takes relative to usual. It is zero for an
	// endpoint that does not report its speed.
	WorkFactor float64         `json:"work_factor,omitempty"`
	Speed      *speed.Estimate `json:"speed,omitempty"`
}

// Usable reports whether no source reported the endpoint as leaving.
func (s *State) Usable() bool {
	return s.Leaving.Load() == nil
}

// Paused reports whether the endpoint wants no requests now.
func (s *State) Paused(now time.Time) bool {
	return now.Before(s.PausedUntil.Load())
}

// pauseUntil extends the time in which the endpoint wants no requests.
func (s *State) pauseUntil(until time.Time) {
	if until.After(s.PausedUntil.Load()) {
		s.PausedUntil.Store(until)
	}
}

// Limit returns how many requests this process may have open at the endpoint: the limit
// that its pool declares, or OpenPerSlot for each reported slot if that is less. Zero is
// no limit.
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

// Acquire counts one more open request unless the limit is reached. A limit of zero is
// no limit. Each success must be followed by one call of Release.
func (s *State) Acquire(limit int) bool {
	open := s.InFlight.Add(1)
	if limit > 0 && open > int64(limit) {
		s.InFlight.Add(-1)
		return false
	}
	return true
}

// Release ends the open request that a successful Acquire counted.
func (s *State) Release() {
	s.InFlight.Add(-1)
}

// TrackPending counts a request with that many prompt tokens as awaiting its response.
// The returned function ends this. It must be called at least once when the response
// starts or the request ends; further calls have no effect.
func (s *State) TrackPending(tokens int64) (started func()) {
	s.PendingPromptTokens.Add(tokens)
	s.AwaitingResponse.Add(1)
	return sync.OnceFunc(func() {
		s.PendingPromptTokens.Add(-tokens)
		s.AwaitingResponse.Add(-1)
	})
}

// MarkLeaving excludes the endpoint from being chosen. A repeated call restarts the time
// of Config.LeavingHold. An announcement of the endpoint stays.
func (s *State) MarkLeaving(source LeavingSource, now time.Time) {
	marked := &Leaving{Source: source, Since: now}
	for {
		leaving := s.Leaving.Load()
		if leaving.isFinal() || s.Leaving.CompareAndSwap(leaving, marked) {
			return
		}
	}
}

// isFinal reports whether the endpoint stays excluded whatever the list says.
func (l *Leaving) isFinal() bool {
	return l != nil && l.Source == ByAnnouncement
}

// ApplyReport stores a load report. A report with state leaving excludes the endpoint. A
// report with any other state makes a leaving endpoint usable again only if it was
// requested after the endpoint was marked as leaving.
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
	if leaving != nil && !leaving.isFinal() && report.RequestedAt.After(leaving.Since) {
		s.Leaving.CompareAndSwap(leaving, nil)
	}
}

// Do sends one request and updates the state from the head of the response. Errors are
// those of Client.Do.
func (s *State) Do(ctx context.Context, call Call) (*Response, error) {
	response, err := s.Client.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	now := s.Client.clock.Now()
	if response.Leaving {
		s.MarkLeaving(ByResponse, now)
	}
	if response.Retiring {
		s.MarkLeaving(ByAnnouncement, now)
	}
	if response.RetryAfter > 0 {
		s.pauseUntil(now.Add(response.RetryAfter))
	}
	if response.ColdLeft > 0 {
		s.Cold.Begin(now.Add(response.ColdLeft), coldstart.ByResponse)
	}
	if response.Load != nil {
		s.ApplyReport(Report{
			InFlight:   response.Load.Running,
			Waiting:    response.Load.Waiting,
			Slots:      response.Load.Slots,
			ReceivedAt: now,
		})
		s.Speed.Observe(response.Load.WorkFactor, now)
	}
	return response, nil
}

// Dump returns a snapshot of the state.
func (s *State) Dump(now time.Time) Dump {
	dump := Dump{
		Name:                s.VM.Name,
		Address:             s.Address,
		InFlight:            s.InFlight.Load(),
		PendingPromptTokens: s.PendingPromptTokens.Load(),
		Report:              s.Report.Load(),
		Leaving:             s.Leaving.Load(),
		MissedPolls:         s.MissedPolls.Load(),
		ConsecutiveFailures: s.ConsecutiveFailures.Load(),
		Cold:                s.Cold.Cold(now),
	}
	if dump.Speed = s.Speed.Estimate(); dump.Speed != nil {
		dump.WorkFactor = dump.Speed.Factor(now)
	}
	dump.EjectedUntil = s.EjectedUntil.Load().UTC()
	dump.PausedUntil = s.PausedUntil.Load().UTC()
	return dump
}
