package endpoint

import (
	"slices"

	"jacinthpaddle.example/standin/process/lag"
)

// queue is the control state: slots, and those who wait for one.
type queue struct {
	limit     int
	load      Load
	waiters   []chan error
	published *lag.Value[Load]
}

// message is what the control thread handles.
type message interface {
	apply(q *queue)
}

// acquireSlot asks for a slot. The turn gets nil once there is one, or the reason to
// refuse.
type acquireSlot struct {
	admitted chan error
}

// releaseSlot gives a slot back.
type releaseSlot struct{}

// cancelAdmission takes back an admit, whether it was served or not.
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

// publish shows the load to readers on other threads.
func (q *queue) publish() {
	q.load.Waiting = len(q.waiters)
	q.published.Set(q.load)
}
