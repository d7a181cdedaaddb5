package endpoint

import (
	"slices"

	"jacinthpaddle.example/standin/process/lag"
)

// controlState holds the load of an endpoint and the requests that wait for a slot.
// Only the control thread accesses it.
type controlState struct {
	// queueLimit is the maximum number of waiting requests.
	queueLimit int
	// load is the current load, whose Waiting is set by publish.
	load Load
	// waiters holds the channel admitted of each waiting request, oldest first.
	waiters []chan error
	// published is the load that other goroutines read.
	published *lag.Value[Load]
}

// message is a change of the control state, applied on the control thread.
type message interface {
	apply(s *controlState)
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

func (m acquireSlot) apply(s *controlState) {
	switch {
	case s.load.State == Leaving:
		m.admitted <- ErrLeaving
	case s.load.InFlight < s.load.Slots:
		s.load.InFlight++
		s.publish()
		m.admitted <- nil
	case len(s.waiters) < s.queueLimit:
		s.waiters = append(s.waiters, m.admitted)
		s.publish()
	default:
		m.admitted <- ErrOverloaded
	}
}

func (releaseSlot) apply(s *controlState) {
	if len(s.waiters) == 0 {
		s.load.InFlight--
		s.publish()
		return
	}
	next := s.waiters[0]
	s.waiters = s.waiters[1:]
	s.publish()
	next <- nil
}

func (m cancelAdmission) apply(s *controlState) {
	if index := slices.Index(s.waiters, m.admitted); index >= 0 {
		s.waiters = slices.Delete(s.waiters, index, index+1)
		s.publish()
		return
	}
	if err := <-m.admitted; err == nil {
		releaseSlot{}.apply(s)
	}
}

func (m setState) apply(s *controlState) {
	s.load.State = m.to
	s.publish()
	close(m.done)
}

// publish makes the current load visible to other goroutines.
func (s *controlState) publish() {
	s.load.Waiting = len(s.waiters)
	s.published.Set(s.load)
}
