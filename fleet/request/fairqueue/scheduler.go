package fairqueue

import (
	"math"
	"slices"
	"time"
)

// Result is what becomes of a waiter.
type Result string

// Verdicts on a waiter. All but Admitted are refusals.
const (
	Admitted    Result = "admitted"
	KeyFull     Result = "team_waiting_bound"
	QueueFull   Result = "waiting_bound"
	WaitTooLong Result = "expected_wait"
	Expired     Result = "deadline"
)

// Config sets the bounds of a queue.
type Config struct {
	// Limit bounds the requests that are open at once.
	Limit int
	// MaxWaiting bounds the requests that wait, over all keys.
	MaxWaiting int
	// MaxWaitingPerKey bounds the requests of one key that wait.
	MaxWaitingPerKey int
}

// minCharge is what a request is charged at least, so that instant requests
// take turns too.
const minCharge = time.Millisecond

// sampleWeight is the weight of the newest service time in the average.
const sampleWeight = 0.1

// Waiter is one request to admit. A Deadline of zero is none. Payload is the
// caller's own.
type Waiter[K comparable, P any] struct {
	Key      K
	Weight   int
	Deadline time.Time
	Payload  P

	sequence uint64
	admitted time.Time
	charged  float64
}

// Decision is a verdict on a waiter.
type Decision[K comparable, P any] struct {
	Waiter *Waiter[K, P]
	Result Result
}

// flow holds the waiters of one key. Used is its slot time so far, in seconds
// divided by its weight.
type flow[K comparable, P any] struct {
	weight  float64
	used    float64
	open    int
	waiting []*Waiter[K, P]
}

// Scheduler decides whom to admit. It has no clock, locks or goroutines. Each
// method returns the verdicts that it led to.
type Scheduler[K comparable, P any] struct {
	config   Config
	flows    map[K]*flow[K, P]
	open     int
	waiting  int
	sequence uint64
	// virtual is the slot time of the flow that was served last.
	virtual float64
	// service is the average time that a slot is held, in seconds.
	service float64
}

// NewScheduler returns an empty scheduler.
func NewScheduler[K comparable, P any](config Config) *Scheduler[K, P] {
	return &Scheduler[K, P]{config: config, flows: make(map[K]*flow[K, P])}
}

// Open returns the number of admitted requests that are not done.
func (s *Scheduler[K, P]) Open() int {
	return s.open
}

// Waiting returns the number of requests that wait.
func (s *Scheduler[K, P]) Waiting() int {
	return s.waiting
}

// Keys returns the number of keys that are remembered.
func (s *Scheduler[K, P]) Keys() int {
	return len(s.flows)
}

// Offer takes a new waiter: it is admitted, refused, or left to wait.
func (s *Scheduler[K, P]) Offer(waiter *Waiter[K, P], now time.Time) []Decision[K, P] {
	s.sequence++
	waiter.sequence = s.sequence
	if expired(waiter, now) {
		return []Decision[K, P]{{waiter, Expired}}
	}
	decisions := s.dispatch(now)
	target := s.flow(waiter)
	if s.open < s.config.Limit {
		return append(decisions, s.admit(target, waiter, now))
	}
	if verdict := s.refusal(target, waiter, now); verdict != "" {
		s.prune()
		return append(decisions, Decision[K, P]{waiter, verdict})
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

// Release ends an admitted request and admits the next ones.
func (s *Scheduler[K, P]) Release(waiter *Waiter[K, P], now time.Time) []Decision[K, P] {
	taken := s.end(waiter, now)
	s.sample(taken)
	return s.dispatch(now)
}

// ReleaseUnused ends an admitted request that made no use of its slot. Its time tells
// nothing of others.
func (s *Scheduler[K, P]) ReleaseUnused(waiter *Waiter[K, P], now time.Time) []Decision[K, P] {
	s.end(waiter, now)
	return s.dispatch(now)
}

// end frees the slot, corrects the charge and returns the seconds taken.
func (s *Scheduler[K, P]) end(waiter *Waiter[K, P], now time.Time) float64 {
	taken := max(now.Sub(waiter.admitted), minCharge).Seconds()
	target := s.flows[waiter.Key]
	target.open--
	target.used += taken/target.weight - waiter.charged
	s.open--
	return taken
}

// Cancel removes a waiter and reports whether it was still waiting.
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

// SetLimit changes the limit. What is open above a lower limit stays open.
func (s *Scheduler[K, P]) SetLimit(limit int, now time.Time) []Decision[K, P] {
	s.config.Limit = limit
	return s.dispatch(now)
}

// flow returns the flow of the waiter's key. A new one starts level with those
// that are being served.
func (s *Scheduler[K, P]) flow(waiter *Waiter[K, P]) *flow[K, P] {
	target, ok := s.flows[waiter.Key]
	if !ok {
		target = &flow[K, P]{}
		s.flows[waiter.Key] = target
	}
	target.weight = float64(max(1, waiter.Weight))
	if target.open == 0 && len(target.waiting) == 0 {
		target.used = max(target.used, s.virtual)
	}
	return target
}

// dispatch admits waiters while there is room, from the flow that has used the
// least. Waiters that could not be served in time are dropped.
func (s *Scheduler[K, P]) dispatch(now time.Time) []Decision[K, P] {
	var decisions []Decision[K, P]
	for s.open < s.config.Limit && s.waiting > 0 {
		target := s.least()
		waiter := target.waiting[0]
		target.waiting = slices.Delete(target.waiting, 0, 1)
		s.waiting--
		if s.late(waiter, 0, now) {
			decisions = append(decisions, Decision[K, P]{waiter, Expired})
			continue
		}
		decisions = append(decisions, s.admit(target, waiter, now))
	}
	s.prune()
	return decisions
}

func (s *Scheduler[K, P]) admit(target *flow[K, P], waiter *Waiter[K, P], now time.Time) Decision[K, P] {
	s.virtual = max(s.virtual, target.used)
	waiter.admitted = now
	waiter.charged = max(s.service, minCharge.Seconds()) / target.weight
	target.used += waiter.charged
	target.open++
	s.open++
	return Decision[K, P]{waiter, Admitted}
}

// least returns the waiting flow that has used the least, and of equals the one
// whose first waiter came first.
func (s *Scheduler[K, P]) least() *flow[K, P] {
	var best *flow[K, P]
	for _, target := range s.flows {
		if len(target.waiting) > 0 && (best == nil || before(target, best)) {
			best = target
		}
	}
	return best
}

func before[K comparable, P any](a, b *flow[K, P]) bool {
	if a.used != b.used {
		return a.used < b.used
	}
	return a.waiting[0].sequence < b.waiting[0].sequence
}

// refusal returns why the waiter may not wait, or nothing.
func (s *Scheduler[K, P]) refusal(target *flow[K, P], waiter *Waiter[K, P], now time.Time) Result {
	switch {
	case len(target.waiting) >= s.config.MaxWaitingPerKey:
		return KeyFull
	case s.late(waiter, s.expectedWait(target), now):
		return WaitTooLong
	default:
		return ""
	}
}

// expectedWait returns the seconds until a new waiter of the flow is admitted,
// if the waiting flows share the slots by weight.
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
	return turns * s.service / float64(s.config.Limit)
}

// late reports whether the waiter would be served after its deadline if it were
// admitted after the wait.
func (s *Scheduler[K, P]) late(waiter *Waiter[K, P], wait float64, now time.Time) bool {
	if waiter.Deadline.IsZero() {
		return false
	}
	return wait+s.service > waiter.Deadline.Sub(now).Seconds()
}

// displace drops the newest waiter of the flow that waits most for its weight,
// if that is more than the target would with one more.
func (s *Scheduler[K, P]) displace(target *flow[K, P]) (Decision[K, P], bool) {
	longest := target
	most := float64(len(target.waiting)+1) / target.weight
	for _, other := range s.flows {
		length := float64(len(other.waiting)) / other.weight
		if length > most || length == most && longest != target && newer(other, longest) {
			longest, most = other, length
		}
	}
	if longest == target {
		return Decision[K, P]{}, false
	}
	last := len(longest.waiting) - 1
	dropped := longest.waiting[last]
	longest.waiting = slices.Delete(longest.waiting, last, last+1)
	s.waiting--
	return Decision[K, P]{dropped, QueueFull}, true
}

// newer reports whether the last waiter of a came after that of b.
func newer[K comparable, P any](a, b *flow[K, P]) bool {
	return a.waiting[len(a.waiting)-1].sequence > b.waiting[len(b.waiting)-1].sequence
}

// prune forgets flows that are idle and no longer ahead of the others.
func (s *Scheduler[K, P]) prune() {
	empty := s.open == 0 && s.waiting == 0
	for key, target := range s.flows {
		idle := target.open == 0 && len(target.waiting) == 0
		if idle && (empty || target.used <= s.virtual) {
			delete(s.flows, key)
		}
	}
	if empty {
		s.virtual = 0
	}
}

func (s *Scheduler[K, P]) sample(taken float64) {
	if s.service == 0 {
		s.service = taken
		return
	}
	s.service += sampleWeight * (taken - s.service)
}

func expired[K comparable, P any](waiter *Waiter[K, P], now time.Time) bool {
	return !waiter.Deadline.IsZero() && !now.Before(waiter.Deadline)
}
