package node

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
)

// Errors of a Recorder.
const (
	// ErrUnreachable means that an entry was refused since neither the store nor enough
	// peers can be reached to make it durable.
	ErrUnreachable = errors.ConstError("journal entry cannot be made durable: the store and enough peers are unreachable")
	// ErrFull means that an entry was refused since the journal buffer has its maximum
	// number of entries that are not stored yet.
	ErrFull = errors.ConstError("journal buffer is full")
)

// Recorder records requests and their charges in the journal. It implements
// serve.Recorder and is safe for concurrent use.
type Recorder struct {
	thread *Thread
	wait   bool
	// full reports whether the journal buffer is full.
	full *atomic.Bool
}

// NewRecorder returns a recorder that appends entries to the journal on the control
// thread, which sets full. Without wait, Open and Close return before an entry is durable:
// the quota of a process bounds the charges that are lost if it fails.
func NewRecorder(thread *Thread, wait bool, full *atomic.Bool) *Recorder {
	return &Recorder{thread: thread, wait: wait, full: full}
}

// Open records a request before it is dispatched. It returns nil once the entry is
// durable, or at once if the recorder does not wait. Other errors than those of the
// context are ErrUnreachable and ErrFull; the entry is then not in the journal.
func (r *Recorder) Open(ctx context.Context, entry journal.Entry) error {
	if r.full.Load() {
		return ErrFull
	}
	return r.record(ctx, entry, true)
}

// Close records the final charge of a request. After an error of the context the
// entry stays in the journal buffer and may still become durable later.
func (r *Recorder) Close(ctx context.Context, entry journal.Entry) error {
	return r.record(ctx, entry, false)
}

func (r *Recorder) record(ctx context.Context, entry journal.Entry, refusable bool) error {
	if !r.wait {
		r.thread.Send(Record{Entry: entry})
		return nil
	}
	done := make(chan error, 1)
	r.thread.Send(Record{Entry: entry, Refusable: refusable, Done: done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Record appends an entry to the journal.
type Record struct {
	Entry journal.Entry
	// Refusable allows the entry to be refused if it is not expected to become durable or
	// if the journal buffer is full.
	Refusable bool
	// Done receives nil once the entry is durable, or the reason of a refusal. It must
	// have a buffer of one, or be nil if nobody waits.
	Done chan<- error
}

// Apply implements control.Message.
func (m Record) Apply(state *State) {
	if m.Refusable && !state.JournalBuffer.CanMakeDurable() {
		m.Done <- ErrUnreachable
		return
	}
	position, ok := state.JournalBuffer.Append(state.Clock.Now(), m.Entry, m.Refusable)
	if !ok {
		m.Done <- ErrFull
		return
	}
	if m.Done != nil {
		state.durableWaiters[position] = m.Done
	}
	state.applyJournalEffects()
}

// applyJournalEffects executes the actions that the journal buffer requests.
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
	s.publishJournalFull()
}

// publishJournalFull publishes whether the journal buffer is full, and logs when it becomes
// so.
func (s *State) publishJournalFull() {
	full := s.JournalBuffer.Full()
	if wasFull := s.JournalFull.Swap(full); full && !wasFull {
		s.Log.Emit(event.JournalFull, event.Int("entries", s.JournalBuffer.Pending()))
	}
}

// SegmentStored is the result of storing a journal segment, successful or not.
type SegmentStored struct {
	// Name is the object name of the segment.
	Name string
	// ReplicaOwner is the failed or suspected process whose replicated records are in the
	// segment, or empty for the journal of this process.
	ReplicaOwner ident.Incarnation
	Err          error
}

// Apply implements control.Message.
func (m SegmentStored) Apply(state *State) {
	if m.Err != nil {
		state.Log.Emit(event.JournalFailed, event.String("segment", m.Name), event.Cause(m.Err))
	}
	if m.ReplicaOwner != "" {
		state.completeReplicaWrite(m)
		return
	}
	state.JournalBuffer.CompleteWrite(state.Clock.Now(), m.Err == nil)
	state.applyJournalEffects()
}

// completeReplicaWrite handles the result of storing replicated records of a peer.
func (s *State) completeReplicaWrite(m SegmentStored) {
	s.Replicas.CompleteWrite(m.ReplicaOwner, m.Err == nil)
	if m.Err == nil {
		s.Log.Emit(event.JournalRecovered, event.String("lost", m.ReplicaOwner), event.String("segment", m.Name))
	}
}

// storeReplicas stores the replicated records of a failed or suspected process.
func (s *State) storeReplicas(owner ident.Incarnation) {
	if segment := s.Replicas.NextSegment(owner); segment != nil {
		s.IO.StoreSegment(segment.CopyName(s.Self), *segment, owner)
	}
}
