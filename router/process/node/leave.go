package node

import (
	"context"
	"time"

	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/member"
)

// DrainPollInterval is how often a draining process looks whether it is done.
const DrainPollInterval = 50 * time.Millisecond

// leave drains the process. It disappears from locate answers at once, serves
// until the answers given before have expired, finishes the requests in
// progress, gives back its rights and stores its journal.
func (n *Node) leave() {
	n.Log.Emit(event.Draining)
	n.leaving.Store(true)
	n.thread.Tell(StartDrain{})
	n.wait(n.Settings.Locate.TTL, func() bool { return false })
	n.closed.Store(true)
	if !n.finish() {
		n.Log.Emit(event.DrainIncomplete, event.Number("requests", n.inProgress()))
	}
	n.closeSockets(time.Second)
	if n.wait(n.Settings.Limits.CloseTimeout, n.givenBack) {
		n.Log.Emit(event.QuotaReturned)
	} else {
		n.Log.Emit(event.DrainIncomplete, event.Text("left", "rights or journal"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(time.Second, n.Settings.Limits.CloseTimeout))
	defer cancel()
	n.hub.Close(ctx)
	n.stop()
	_ = n.sockets.peers.Close()
	_ = n.sockets.operators.Close()
	_ = n.sockets.metrics.Close()
	n.thread.Stop()
	n.platform.Close()
	n.Log.Emit(event.Stopped)
}

// wait returns true once the condition holds, or false after the limit.
func (n *Node) wait(limit time.Duration, done func() bool) bool {
	deadline := n.Clock.Now().Add(limit)
	ticker := n.Clock.NewTicker(DrainPollInterval)
	defer ticker.Stop()
	for !done() {
		if !n.Clock.Now().Before(deadline) {
			return false
		}
		<-ticker.Chan()
	}
	return true
}

// finish waits for the requests in progress and reports whether none is left. The
// fleet's own front end goes on to answer requests with a key, whose answers it may
// hold. Others take no new requests: one that came late would be cut.
func (n *Node) finish() bool {
	idle := func() bool { return n.inProgress() == 0 }
	if n.Adapter == nil {
		return n.wait(n.Settings.Limits.DrainTimeout, idle)
	}
	n.closeSockets(n.Settings.Limits.DrainTimeout)
	return idle()
}

// closeSockets takes no new callers' connections and waits, up to the limit, for
// the requests in progress.
func (n *Node) closeSockets(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, socket := range n.sockets.callers {
		_ = socket.Shutdown(ctx)
	}
}

// givenBack gives back what is left and reports whether nothing is. Rights that
// are being drawn, or come from peers meanwhile, take another call.
func (n *Node) givenBack() bool {
	n.thread.Tell(Finalize{})
	return control.Ask(n.thread, (*State).settled)
}

// StartDrain announces that the process leaves.
type StartDrain struct{}

// Apply implements control.Message.
func (StartDrain) Apply(state *State) {
	state.Membership.SetState(member.Draining, state.Clock.Now())
	state.fleetChanged()
}

// Finalize returns all rights and stores the journal.
type Finalize struct{}

// Apply implements control.Message.
func (Finalize) Apply(state *State) {
	now := state.Clock.Now()
	for budget := range state.Quota.Allocations {
		state.order(state.Quota.Close(budget, now))
	}
	state.JournalBuffer.Flush(now)
	state.journal()
}

// settled reports whether nothing is left that would be lost with the process.
func (s *State) settled() bool {
	for budget := range s.Quota.Allocations {
		if !s.Quota.Closed(budget) {
			return false
		}
	}
	return s.JournalBuffer.Pending() == 0
}
