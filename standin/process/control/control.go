// Package control runs the control thread, the only one that changes the control
// state of a simulator.
//
// The thread is an actor. Goroutines that handle traffic send it messages. A goroutine
// that needs a result waits on a channel in its message.
//
// # Usage
//
//	thread := control.New(func(m message) { m.apply(state) })
//	thread.Send(setState{to: Leaving})
package control

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
)

// Thread handles messages one at a time, in the order of their arrival. Its methods
// are safe for concurrent use.
type Thread[M any] struct {
	system *actor.ActorSystem
	pid    *actor.PID
}

// New starts a thread that calls handle for each message.
func New[M any](handle func(M)) *Thread[M] {
	system := actor.NewActorSystem(actor.WithLoggerFactory(discardLogs))
	props := actor.PropsFromFunc(func(actorContext actor.Context) {
		if message, ok := actorContext.Message().(M); ok {
			handle(message)
		}
	})
	return &Thread[M]{system: system, pid: system.Root.Spawn(props)}
}

// Send queues the message and returns without waiting for it.
func (t *Thread[M]) Send(message M) {
	t.system.Root.Send(t.pid, message)
}

func discardLogs(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
