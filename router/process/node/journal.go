package node

import (
	"context"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
)

// Errors of a Recorder.
const (
	// ErrUnreachable means that neither the store nor enough peers can be reached.
	ErrUnreachable = errors.ConstError("no safe place for a journal entry")
	// ErrFull means that the journal holds its maximum of entries.
	ErrFull = errors.ConstError("journal is full")
)

// Recorder records the charges of requests. It is safe for concurrent use.
type Recorder struct {
	thread *Thread
	wait   bool
}

// NewRecorder returns the recorder whose entries the thread keeps. Without wait
// entries are not waited for: the rights of a process bound what is lost with it.
func NewRecorder(thread *Thread, wait bool) *Recorder {
	return &Recorder{thread: thread, wait: wait}
}

// Open records a request before it is dispatched. It returns nil once the entry
// is safe.
func (r *Recorder) Open(ctx context.Context, entry journal.Entry) error {
	return r.record(ctx, entry, true)
}

// Close records the final charge of a request. An error says that the entry is
// kept but not safe yet.
func (r *Recorder) Close(ctx context.Context, entry journal.Entry) error {
	return r.record(ctx, entry, false)
}

func (r *Recorder) record(ctx context.Context, entry journal.Entry, refusable bool) error {
	done := make(chan error, 1)
	r.thread.Tell(Record{Entry: entry, Refusable: refusable && r.wait, Done: done})
	if !r.wait {
		return nil
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Record appends an entry. A refusable one is not taken if it cannot be
// expected to become safe.
type Record struct {
	Entry     journal.Entry
	Refusable bool
	Done      chan<- error
}

// Apply implements control.Message.
func (m Record) Apply(state *State) {
	if m.Refusable && !state.JournalBuffer.CanMakeDurable() {
		m.Done <- ErrUnreachable
		return
	}
	position, ok := state.JournalBuffer.Append(state.Clock.Now(), m.Entry, m.Refusable)
	if !ok {
		state.Log.Emit(event.JournalFull, event.Number("entries", state.JournalBuffer.Pending()))
		m.Done <- ErrFull
		return
	}
	state.durableWaiters[position] = m.Done
	state.applyJournalEffects()
}

// applyJournalEffects carries out what the keeper decided.
func (s *State) applyJournalEffects() {
	effects := s.JournalBuffer.TakeEffects()
	if effects.Write != nil {
		s.IO.StoreSegment(effects.Write.Name(), *effects.Write, "")
	}
	for _, position := range effects.Durable {
		if done, ok := s.durableWaiters[position]; ok {
			done <- nil
			delete(s.durableWaiters, position)
		}
	}
	s.sendJournalMessages(effects)
}

// SegmentStored is the result of storing a segment. Lost names the process for
// which it was stored, or is empty for this process's own journal.
type SegmentStored struct {
	Name string
	Lost ident.Incarnation
	Err  error
}

// Apply implements control.Message.
func (m SegmentStored) Apply(state *State) {
	if m.Err != nil {
		state.Log.Emit(event.JournalFailed, event.Text("segment", m.Name), event.Cause(m.Err))
	}
	if m.Lost != "" {
		state.handleLostSegment(m)
		return
	}
	state.JournalBuffer.SegmentStored(state.Clock.Now(), m.Err == nil)
	state.applyJournalEffects()
}

func (s *State) handleLostSegment(m SegmentStored) {
	s.Replicas.SegmentStored(m.Lost, m.Err == nil)
	if m.Err == nil {
		s.Log.Emit(event.JournalAdopted, event.Text("lost", m.Lost), event.Text("segment", m.Name))
	}
}

// storeReplicas stores the records held for a lost process.
func (s *State) storeReplicas(lost ident.Incarnation) {
	if segment := s.Replicas.NextSegment(lost); segment != nil {
		s.IO.StoreSegment(segment.CopyName(s.Self), *segment, lost)
	}
}
