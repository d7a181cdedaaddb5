package fairqueue

import (
	"math"
	"slices"
	"time"
)

// Result is the result of the admission decision on a waiter.
type Result string

// Results of an admission decision. All but Admitted are refusals.
const (
	Admitted Result = "admitted"
	// KeyFull means that MaxWaitingPerKey requests of the key are waiting.
	KeyFull Result = "team_waiting_bound"
	// QueueFull means that MaxWaiting requests are waiting. It is also the result of a
	// waiter that a request of another key displaced.
	QueueFull Result = "waiting_bound"
	// WaitTooLong means that the expected wait ends too late to serve the request
	// before its deadline.
	WaitTooLong Result = "expected_wait"
	// Expired means that the deadline has passed, or that the request can no longer be
	// served before it.
	Expired Result = "deadline"
)

// Config sets the bounds of a queue.
type Config struct {
	// Limit bounds the requests that hold a slot at once.
	Limit int
	// MaxWaiting bounds the waiting requests of all keys together.
	MaxWaiting int
	// MaxWaitingPerKey bounds the waiting requests of one key.
	MaxWaitingPerKey int
}

// minServiceTime is the least slot time that a request is charged. Without it, a key
// with very short requests would use almost no slot time and always be served first.
const minServiceTime = time.Millisecond

// serviceTimeSmoothing is the weight of the newest sample in the exponential moving
// average of the service time.
const serviceTimeSmoothing = 0.1

// Waiter is one request that is offered for admission. It is passed by pointer and
// may be offered once.
type Waiter[K comparable, P any] struct {
	Key    K
	Weight int
	// Deadline is the time after which a response is useless. Zero is none.
	Deadline time.Time
	// Payload belongs to the user of the scheduler, which does not read it.
	Payload P

	sequence   uint64
	admittedAt time.Time
	// chargedTime is what was added to the usedTime of the flow on admission, in seconds
	// divided by the weight.
	chargedTime float64
}

// Decision is the result for one waiter.
type Decision[K comparable, P any] struct {
	Waiter *Waiter[K, P]
	Result Result
}

// flow is the state of one key.
type flow[K comparable, P any] struct {
	weight float64
	// usedTime is the slot time used so far, in seconds divided by the weight. It
	// includes the time charged in advance for requests that hold a slot.
	usedTime float64
	// inUse is the number of slots that requests of the key hold.
	inUse int
	// waiting holds the waiters in the order in which they were offered.
	waiting []*Waiter[K, P]
}

// Scheduler makes the admission decisions by weighted fair queueing. It has no clock,
// locks or goroutines, and is not safe for concurrent use. Each method that takes the
// time returns the decisions that follow from it.
type Scheduler[K comparable, P any] struct {
	config   Config
	flows    map[K]*flow[K, P]
	inUse    int
	waiting  int
	sequence uint64
	// virtualTime is the highest usedTime at which a flow got a slot since the
	// scheduler was last empty. A new or idle flow starts at it, or at its own usedTime
	// if that is higher.
	virtualTime float64
	// meanServiceTime is the moving average of the time that a slot is held, in
	// seconds.
	meanServiceTime float64
}

// NewScheduler returns an empty scheduler.
func NewScheduler[K comparable, P any](config Config) *Scheduler[K, P] {
	return &Scheduler[K, P]{config: config, flows: make(map[K]*flow[K, P])}
}

// InUse returns the number of slots that admitted requests hold.
func (s *Scheduler[K, P]) InUse() int {
	return s.inUse
}

// Waiting returns the number of waiting requests.
func (s *Scheduler[K, P]) Waiting() int {
	return s.waiting
}

// Keys returns the number of keys with state in the scheduler.
func (s *Scheduler[K, P]) Keys() int {
	return len(s.flows)
}

// Offer admits a new waiter, refuses it, or queues it, in which case the decisions
// returned do not include it. They can include the refusal of a waiter that the new one
// displaced.
func (s *Scheduler[K, P]) Offer(waiter *Waiter[K, P], now time.Time) []Decision[K, P] {
	s.sequence++
	waiter.sequence = s.sequence
	if expired(waiter, now) {
		return []Decision[K, P]{{waiter, Expired}}
	}
	decisions := s.dispatch(now)
	target := s.flow(waiter)
	if s.inUse < s.config.Limit {
		return append(decisions, s.admit(target, waiter, now))
	}
	if result := s.refusal(target, waiter, now); result != "" {
		s.prune()
		return append(decisions, Decision[K, P]{waiter, result})
	}
	if s.waiting >= s.config.MaxWaiting {
		displaced, ok := s.displace(target)
		if !ok {
			s.prune()
			return append(decisions, Decision[K, P]{waiter, QueueFull})
		}
		decisions = append(decisions, displaced)
	}
	target.waiting = append(target.waiting, waiter)
	s.waiting++
	return decisions
}

// Release frees the slot of an admitted request and admits the next waiters.
func (s *Scheduler[K, P]) Release(waiter *Waiter[K, P], now time.Time) []Decision[K, P] {
	held := s.freeSlot(waiter, now)
	s.recordServiceTime(held)
	return s.dispatch(now)
}

// ReleaseUnused frees the slot of an admitted request that did not use it. The time
// that it was held is not a sample of the service time.
func (s *Scheduler[K, P]) ReleaseUnused(waiter *Waiter[K, P], now time.Time) []Decision[K, P] {
	s.freeSlot(waiter, now)
	return s.dispatch(now)
}

// freeSlot frees the slot of an admitted request, replaces the estimated charge by the
// time that the slot was held, and returns this time in seconds.
func (s *Scheduler[K, P]) freeSlot(waiter *Waiter[K, P], now time.Time) float64 {
	held := max(now.Sub(waiter.admittedAt), minServiceTime).Seconds()
	target := s.flows[waiter.Key]
	target.inUse--
	target.usedTime += held/target.weight - waiter.chargedTime
	s.inUse--
	return held
}

// Cancel removes a waiter from the queue and reports whether it was still waiting.
func (s *Scheduler[K, P]) Cancel(waiter *Waiter[K, P]) bool {
	target, ok := s.flows[waiter.Key]
	if !ok {
		return false
	}
	index := slices.Index(target.waiting, waiter)
	if index < 0 {
		return false
	}
	target.waiting = slices.Delete(target.waiting, index, index+1)
	s.waiting--
	s.prune()
	return true
}

// SetLimit changes the limit. Requests admitted above a lower limit keep their slots.
func (s *Scheduler[K, P]) SetLimit(limit int, now time.Time) []Decision[K, P] {
	s.config.Limit = limit
	return s.dispatch(now)
}

// flow returns the flow of the waiter's key. An idle or new flow starts no lower than the
// virtual time, so that it gains nothing from the time in which it did not wait.
func (s *Scheduler[K, P]) flow(waiter *Waiter[K, P]) *flow[K, P] {
	target, ok := s.flows[waiter.Key]
	if !ok {
		target = &flow[K, P]{}
		s.flows[waiter.Key] = target
	}
	target.weight = float64(max(1, waiter.Weight))
	if target.inUse == 0 && len(target.waiting) == 0 {
		target.usedTime = max(target.usedTime, s.virtualTime)
	}
	return target
}

// dispatch admits waiters while slots are free, each from the flow with the least used
// time. Waiters that can no longer be served before their deadline are refused.
func (s *Scheduler[K, P]) dispatch(now time.Time) []Decision[K, P] {
	var decisions []Decision[K, P]
	for s.inUse < s.config.Limit && s.waiting > 0 {
		target := s.leastServed()
		waiter := target.waiting[0]
		target.waiting = slices.Delete(target.waiting, 0, 1)
		s.waiting--
		if s.missesDeadline(waiter, 0, now) {
			decisions = append(decisions, Decision[K, P]{waiter, Expired})
			continue
		}
		decisions = append(decisions, s.admit(target, waiter, now))
	}
	s.prune()
	return decisions
}

// admit gives the waiter a slot and charges its flow the mean service time in advance.
func (s *Scheduler[K, P]) admit(target *flow[K, P], waiter *Waiter[K, P], now time.Time) Decision[K, P] {
	s.virtualTime = max(s.virtualTime, target.usedTime)
	waiter.admittedAt = now
	waiter.chargedTime = max(s.meanServiceTime, minServiceTime.Seconds()) / target.weight
	target.usedTime += waiter.chargedTime
	target.inUse++
	s.inUse++
	return Decision[K, P]{waiter, Admitted}
}

// leastServed returns the flow with waiters that has the least used time. A tie goes to
// the flow whose first waiter was offered first.
func (s *Scheduler[K, P]) leastServed() *flow[K, P] {
	var best *flow[K, P]
	for _, target := range s.flows {
		if len(target.waiting) > 0 && (best == nil || servedBefore(target, best)) {
			best = target
		}
	}
	return best
}

func servedBefore[K comparable, P any](a, b *flow[K, P]) bool {
	if a.usedTime != b.usedTime {
		return a.usedTime < b.usedTime
	}
	return a.waiting[0].sequence < b.waiting[0].sequence
}

// refusal returns why the waiter may not be queued, or an empty result if it may.
func (s *Scheduler[K, P]) refusal(target *flow[K, P], waiter *Waiter[K, P], now time.Time) Result {
	switch {
	case len(target.waiting) >= s.config.MaxWaitingPerKey:
		return KeyFull
	case s.missesDeadline(waiter, s.expectedWait(target), now):
		return WaitTooLong
	default:
		return ""
	}
}

// expectedWait estimates the seconds until a new waiter of the flow is admitted, with
// the slots shared by weight between the flows that have waiters.
func (s *Scheduler[K, P]) expectedWait(target *flow[K, P]) float64 {
	if s.config.Limit <= 0 {
		return math.Inf(1)
	}
	weights := target.weight
	for _, other := range s.flows {
		if other != target && len(other.waiting) > 0 {
			weights += other.weight
		}
	}
	turns := float64(len(target.waiting)+1) * weights / target.weight
	return turns * s.meanServiceTime / float64(s.config.Limit)
}

// missesDeadline reports whether a waiter that is admitted after a wait in seconds, and
// takes the mean service time, would end after its deadline.
func (s *Scheduler[K, P]) missesDeadline(waiter *Waiter[K, P], wait float64, now time.Time) bool {
	if waiter.Deadline.IsZero() {
		return false
	}
	return wait+s.meanServiceTime > waiter.Deadline.Sub(now).Seconds()
}

// displace refuses the newest waiter of the flow with the longest backlog relative to
// its weight, if that backlog is longer than the one of the target flow would be with
// one more waiter. Otherwise it returns false. Between equal backlogs it refuses the
// newest waiter of all.
func (s *Scheduler[K, P]) displace(target *flow[K, P]) (Decision[K, P], bool) {
	longest := target
	maxBacklog := float64(len(target.waiting)+1) / target.weight
	for _, other := range s.flows {
		backlog := float64(len(other.waiting)) / other.weight
		if backlog > maxBacklog || backlog == maxBacklog && longest != target && newerTail(other, longest) {
			longest, maxBacklog = other, backlog
		}
	}
	if longest == target {
		return Decision[K, P]{}, false
	}
	last := len(longest.waiting) - 1
	displaced := longest.waiting[last]
	longest.waiting = slices.Delete(longest.waiting, last, last+1)
	s.waiting--
	return Decision[K, P]{displaced, QueueFull}, true
}

// newerTail reports whether the last waiter of a came after that of b.
func newerTail[K comparable, P any](a, b *flow[K, P]) bool {
	return a.waiting[len(a.waiting)-1].sequence > b.waiting[len(b.waiting)-1].sequence
}

// prune deletes idle flows whose used time is not above the virtual time. The others are
// kept, because a key could otherwise reset its used time by idling.
func (s *Scheduler[K, P]) prune() {
	empty := s.inUse == 0 && s.waiting == 0
	for key, target := range s.flows {
		idle := target.inUse == 0 && len(target.waiting) == 0
		if idle && (empty || target.usedTime <= s.virtualTime) {
			delete(s.flows, key)
		}
	}
	if empty {
		s.virtualTime = 0
	}
}

// recordServiceTime updates the moving average of the service time.
func (s *Scheduler[K, P]) recordServiceTime(held float64) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = held
		return
	}
	s.meanServiceTime += serviceTimeSmoothing * (held - s.meanServiceTime)
}

func expired[K comparable, P any](waiter *Waiter[K, P], now time.Time) bool {
	return !waiter.Deadline.IsZero() && !now.Before(waiter.Deadline)
}
