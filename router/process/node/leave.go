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

// drainAndStop drains the process. It disappears from locate answers at once, serves
// until the answers given before have expired, finishes the requests in
// progress, gives back its rights and stores its journal.
func (n *Node) drainAndStop() {
	n.Log.Emit(event.Draining)
	n.draining.Store(true)
	n.thread.Tell(StartDrain{})
	n.waitFor(n.Settings.Locate.TTL, func() bool { return false })
	n.stopping.Store(true)
	if !n.finishRequests() {
		n.Log.Emit(event.DrainIncomplete, event.Number("requests", n.inProgress()))
	}
	n.shutDownCallers(time.Second)
	if n.waitFor(n.Settings.Limits.CloseTimeout, n.finalized) {
		n.Log.Emit(event.RightsReturned)
	} else {
		n.Log.Emit(event.DrainIncomplete, event.Text("left", "rights or journal"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(time.Second, n.Settings.Limits.CloseTimeout))
	defer cancel()
	n.hub.Close(ctx)
	n.stop()
	_ = n.listeners.peers.Close()
	_ = n.listeners.operators.Close()
	_ = n.listeners.metrics.Close()
	n.thread.Stop()
	n.platform.Close()
	n.Log.Emit(event.Stopped)
}

// waitFor returns true once the condition holds, or false after the limit.
func (n *Node) waitFor(limit time.Duration, done func() bool) bool {
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

// finishRequests waits for the requests in progress and reports whether none is left. The
// fleet's own front end goes on to answer requests with a key, whose answers it may
// hold. Others take no new requests: one that came late would be cut.
func (n *Node) finishRequests() bool {
	idle := func() bool { return n.inProgress() == 0 }
	if n.Adapter == nil {
		return n.waitFor(n.Settings.Limits.DrainTimeout, idle)
	}
	n.shutDownCallers(n.Settings.Limits.DrainTimeout)
	return idle()
}

// shutDownCallers takes no new callers' connections and waits, up to the limit, for
// the requests in progress.
func (n *Node) shutDownCallers(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, server := range n.listeners.callers {
		_ = server.Shutdown(ctx)
	}
}

// finalized gives back what is left and reports whether nothing is. Rights that
// are being drawn, or come from peers meanwhile, take another call.
func (n *Node) finalized() bool {
	n.thread.Tell(Finalize{})
	return control.Ask(n.thread, (*State).isFinalized)
}

// StartDrain announces that the process leaves.
type StartDrain struct{}

// Apply implements control.Message.
func (StartDrain) Apply(state *State) {
	state.Membership.SetState(member.Draining, state.Clock.Now())
	state.membersChanged()
}

// Finalize returns all rights and stores the journal.
type Finalize struct{}

// Apply implements control.Message.
func (Finalize) Apply(state *State) {
	now := state.Clock.Now()
	for budget := range state.Quota.Allocations {
		state.applyActions(state.Quota.Close(budget, now))
	}
	state.JournalBuffer.Flush(now)
	state.applyJournalEffects()
}

// isFinalized reports whether nothing is left that would be lost with the process.
func (s *State) isFinalized() bool {
	for budget := range s.Quota.Allocations {
		if !s.Quota.Closed(budget) {
			return false
		}
	}
	return s.JournalBuffer.Pending() == 0
}
