package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quarantine"
)

// MaxReportsPerMessage bounds the failures, or the whole responses, in one message to a
// peer, so that it fits into a frame.
const MaxReportsPerMessage = 100

// PromptMonitor implements serve.PromptMonitor and is safe for concurrent use.
type PromptMonitor struct {
	thread *Thread
	view   *atomic.Pointer[quarantine.View]
}

// NewPromptMonitor returns a monitor that reads the view and reports to the control thread.
func NewPromptMonitor(thread *Thread, view *atomic.Pointer[quarantine.View]) *PromptMonitor {
	return &PromptMonitor{thread: thread, view: view}
}

// View implements serve.PromptMonitor.
func (m *PromptMonitor) View() *quarantine.View {
	return m.view.Load()
}

// ReportFailure implements serve.PromptMonitor.
func (m *PromptMonitor) ReportFailure(failure quarantine.Failure) {
	m.thread.Send(PromptsObserved{Failures: []quarantine.Failure{failure}})
}

// ReportWhole implements serve.PromptMonitor.
func (m *PromptMonitor) ReportWhole(parts []quarantine.Part) {
	observed := PromptsObserved{Whole: make([]quarantine.Whole, len(parts))}
	for index, part := range parts {
		observed.Whole[index].Part = part
	}
	m.thread.Send(observed)
}

// PromptsObserved has failed requests and whole responses that were observed here or by a
// peer.
type PromptsObserved peer.Prompts

// Apply implements control.Message. What was not known yet is sent to the peers with the
// next Tick.
func (m PromptsObserved) Apply(state *State) {
	now := state.Clock.Now()
	pending := &state.pendingPrompts
	changed := false
	for _, failure := range m.Failures {
		added, sound := state.Prompts.Add(failure, now)
		if added {
			pending.Failures = append(pending.Failures, failure)
			pending.addWhole(sound...)
			changed = true
		}
	}
	for _, whole := range m.Whole {
		if state.Prompts.Clear(whole, now) {
			pending.addWhole(whole)
			changed = true
		}
	}
	if changed {
		state.publishPrompts()
	}
}

// addWhole adds the responses whose parts have none yet.
func (m *PromptsObserved) addWhole(added ...quarantine.Whole) {
	for _, whole := range added {
		isKnown := func(known quarantine.Whole) bool { return known.Part == whole.Part }
		if !slices.ContainsFunc(m.Whole, isKnown) {
			m.Whole = append(m.Whole, whole)
		}
	}
}

// publishPrompts publishes the view of the suspects for traffic, and logs which parts are
// quarantined since the last one and which are not any more.
func (s *State) publishPrompts() {
	before, view := s.PromptView.Load(), s.Prompts.View()
	s.PromptView.Store(view)
	for _, part := range slices.Sorted(maps.Keys(view.Groups)) {
		if _, found := before.Groups[part]; !found {
			s.Log.Emit(event.PartQuarantined, event.String("part", part), event.Int("crashes", len(view.Endpoints[part])))
		}
	}
	for _, part := range slices.Sorted(maps.Keys(before.Groups)) {
		if _, found := view.Groups[part]; !found {
			s.Log.Emit(event.PartReleased, event.String("part", part))
		}
	}
}

// sendPrompts sends the pending observations to all linked peers, which pass on what they
// did not know.
func (s *State) sendPrompts() {
	pending := s.pendingPrompts
	s.pendingPrompts = PromptsObserved{}
	for to := range s.Linked {
		s.sendPromptsTo(to, pending)
	}
}

// sendKnownPrompts sends all failures that count to a peer.
func (s *State) sendKnownPrompts(to ident.Incarnation) {
	s.sendPromptsTo(to, PromptsObserved{Failures: s.Prompts.Failures(s.Clock.Now())})
}

func (s *State) sendPromptsTo(to ident.Incarnation, observed PromptsObserved) {
	for failures := range slices.Chunk(observed.Failures, MaxReportsPerMessage) {
		s.send(to, peer.Message{Prompts: &peer.Prompts{Failures: failures}})
	}
	for whole := range slices.Chunk(observed.Whole, MaxReportsPerMessage) {
		s.send(to, peer.Message{Prompts: &peer.Prompts{Whole: whole}})
	}
}

// forgetPrompts drops the failures that are too old to count.
func (s *State) forgetPrompts(now time.Time) {
	if s.Prompts.Expire(now) {
		s.publishPrompts()
	}
}
