package node

import (
	"context"
	"time"

	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/member"
)

// DrainPollInterval is how often a draining process checks whether the current step of
// the drain is complete.
const DrainPollInterval = 50 * time.Millisecond

// LastResponseTime is how long requests that are still in progress after the drain timeout
// may go on.
const LastResponseTime = time.Second

// drainAndStop drains the process. Locate responses stop listing it at once. It serves
// until earlier locate responses have expired, finishes the requests in progress, returns
// its quota and stores its journal.
func (n *Node) drainAndStop() {
	n.Log.Emit(event.Draining)
	n.draining.Store(true)
	n.thread.Send(StartDrain{})
	n.waitFor(n.Settings.Locate.TTL, func() bool { return false })
	n.stopping.Store(true)
	if !n.finishRequests() {
		n.Log.Emit(event.DrainIncomplete, event.Int("requests", n.inProgress()))
	}
	n.shutDownCallers(LastResponseTime)
	if n.waitFor(n.Settings.Limits.CloseTimeout, n.tryClose) {
		n.Log.Emit(event.QuotaReturned)
	} else {
		n.Log.Emit(event.DrainIncomplete, event.String("left", "rights or journal"))
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

// waitFor polls the condition until it holds or the limit has passed, and reports
// whether it held.
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

// finishRequests waits for the requests in progress and reports whether none is left.
// Meanwhile the fleet's own front end still accepts requests with an idempotency key,
// since this process may have the response. Front ends of an adapter accept no new
// connections: a late request could be aborted at the end of the drain.
func (n *Node) finishRequests() bool {
	idle := func() bool { return n.inProgress() == 0 }
	if n.Adapter == nil {
		return n.waitFor(n.Settings.Limits.DrainTimeout, idle)
	}
	n.shutDownCallers(n.Settings.Limits.DrainTimeout)
	return idle()
}

// shutDownCallers stops accepting connections of callers and waits, up to the limit,
// for the requests in progress.
func (n *Node) shutDownCallers(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, server := range n.listeners.callers {
		_ = server.Shutdown(ctx)
	}
}

// tryClose starts to return the remaining quota and to flush the journal, and reports
// whether both are complete. Credits that are granted or received from peers meanwhile
// require another call.
func (n *Node) tryClose() bool {
	n.thread.Send(CloseQuotaAndJournal{})
	return control.Query(n.thread, (*State).isClosed)
}

// StartDrain announces to the other members that this process is draining.
type StartDrain struct{}

// Apply implements control.Message.
func (StartDrain) Apply(state *State) {
	state.Membership.SetState(member.Draining, state.Clock.Now())
	state.membersChanged()
}

// CloseQuotaAndJournal returns all quota and flushes the journal. It is sent again until
// both are complete.
type CloseQuotaAndJournal struct{}

// Apply implements control.Message.
func (CloseQuotaAndJournal) Apply(state *State) {
	now := state.Clock.Now()
	for budget := range state.Quota.Allocations {
		state.applyActions(state.Quota.Close(budget, now))
	}
	state.JournalBuffer.Flush(now)
	state.applyJournalEffects()
}

// isClosed reports whether all quota is returned and all of the journal is stored,
// so that nothing is lost when the process ends.
func (s *State) isClosed() bool {
	for budget := range s.Quota.Allocations {
		if !s.Quota.Closed(budget) {
			return false
		}
	}
	return s.JournalBuffer.Pending() == 0
}
