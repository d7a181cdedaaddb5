// Package control runs the single thread that owns the control state of a process.
//
// The state is changed only by messages, which are applied one at a time. Goroutines
// that handle traffic do not wait for the thread unless they call Query. The thread does
// no I/O: it starts other goroutines for that, which send their results as further
// messages.
//
// # Usage
//
//	type added struct{ amount int64 }
//
//	func (m added) Apply(state *ledger) { state.total += m.amount }
//
//	thread := control.New(&ledger{}, fatal)
//	thread.Send(added{amount: 3})
//	defer thread.Stop()
package control

import (
	"io"
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
)

// Message changes the control state S.
type Message[S any] interface {
	// Apply is called on the control thread. It must not block.
	Apply(state S)
}

// Thread is the control thread of the state S. It is an actor: the actor library runs
// its messages one at a time, not necessarily in the same goroutine. Its methods are
// safe for concurrent use.
type Thread[S any] struct {
	system *actor.ActorSystem
	pid    *actor.PID
}

// New starts the thread. The function onPanic is called on the thread with the value
// of a panic in a message. The state can be inconsistent afterwards, so that the
// process should terminate.
func New[S any](state S, onPanic func(value any)) *Thread[S] {
	system := actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	receiver := &stateActor[S]{state: state, onPanic: onPanic}
	props := actor.PropsFromFunc(receiver.receive)
	return &Thread[S]{system: system, pid: system.Root.Spawn(props)}
}

// Send queues a message and returns without waiting for it. Messages that one
// goroutine sends are applied in order.
func (t *Thread[S]) Send(message Message[S]) {
	t.system.Root.Send(t.pid, message)
}

// Stop applies the queued messages, stops the thread and waits until it has ended.
func (t *Thread[S]) Stop() {
	_ = t.system.Root.PoisonFuture(t.pid).Wait()
	t.system.Shutdown()
}

// query is the message by which Query reads a value of type R from the control state S.
type query[S, R any] struct {
	read   func(state S) R
	result chan<- R
}

// Apply implements Message.
func (q query[S, R]) Apply(state S) {
	q.result <- q.read(state)
}

// Query calls read on the control thread and returns its result. It blocks until the
// messages queued before have been applied. A message must not call it, since it would
// wait for itself. Query does not return if read panics or the thread has stopped.
func Query[S, R any](thread *Thread[S], read func(state S) R) R {
	result := make(chan R, 1)
	thread.Send(query[S, R]{read: read, result: result})
	return <-result
}

// stateActor applies the messages that the actor receives to the state.
type stateActor[S any] struct {
	state   S
	onPanic func(value any)
}

func (s *stateActor[S]) receive(received actor.Context) {
	message, ok := received.Message().(Message[S])
	if !ok {
		return
	}
	defer s.recoverPanic()
	message.Apply(s.state)
}

// recoverPanic recovers from a panic in a message and reports it.
func (s *stateActor[S]) recoverPanic() {
	if value := recover(); value != nil {
		s.onPanic(value)
	}
}

// discardLogger discards the log of the actor library.
func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}
