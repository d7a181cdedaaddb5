package endpoint

import (
	"slices"

	"jacinthpaddle.example/standin/process/lag"
)

// queue is the control state of an endpoint: its slots and the requests that wait
// for one. Only the control thread accesses it.
type queue struct {
	// limit is the maximum number of waiting requests.
	limit int
	load  Load
	// waiters holds the channel admitted of each waiting request, oldest first.
	waiters []chan error
	// published is the load that other goroutines read.
	published *lag.Value[Load]
}

// message is a change of the control state, applied on the control thread.
type message interface {
	apply(q *queue)
}

// acquireSlot requests a slot. The channel admitted receives nil once the request
// has a slot, or the reason of the refusal.
type acquireSlot struct {
	admitted chan error
}

// releaseSlot passes a slot to the request that has waited longest, or frees it if
// none waits.
type releaseSlot struct{}

// cancelAdmission removes a request from the queue, or releases the slot if it
// has got one before this message was applied.
type cancelAdmission struct {
	admitted chan error
}

// setState changes the state and then closes done.
type setState struct {
	to   State
	done chan struct{}
}

func (m acquireSlot) apply(q *queue) {
	switch {
	case q.load.State == Leaving:
		m.admitted <- ErrLeaving
	case q.load.InFlight < q.load.Slots:
		q.load.InFlight++
		q.publish()
		m.admitted <- nil
	case len(q.waiters) < q.limit:
		q.waiters = append(q.waiters, m.admitted)
		q.publish()
	default:
		m.admitted <- ErrOverloaded
	}
}

func (releaseSlot) apply(q *queue) {
	if len(q.waiters) == 0 {
		q.load.InFlight--
		q.publish()
		return
	}
	next := q.waiters[0]
	q.waiters = q.waiters[1:]
	q.publish()
	next <- nil
}

func (m cancelAdmission) apply(q *queue) {
	if index := slices.Index(q.waiters, m.admitted); index >= 0 {
		q.waiters = slices.Delete(q.waiters, index, index+1)
		q.publish()
		return
	}
	if err := <-m.admitted; err == nil {
		releaseSlot{}.apply(q)
	}
}

func (m setState) apply(q *queue) {
	q.load.State = m.to
	q.publish()
	close(m.done)
}

// publish makes the current load visible to other goroutines.
func (q *queue) publish() {
	q.load.Waiting = len(q.waiters)
	q.published.Set(q.load)
}
