// Package fairqueue admits requests to a pool: at most so many at once, and in fair
// turns of the teams that wait.
//
// A Scheduler takes the decisions and a Queue lets goroutines wait for them.
// Slots are shared by weight: the waiting team that has used the least slot
// time for its weight comes next. A request that cannot be served before its
// deadline is refused at once, and one that fills the last place in the queue
// can be displaced by a team that waits less.
//
// # Usage
//
//	admission := fairqueue.New[string](config, clock.New())
//	slot, err := admission.Acquire(ctx, fairqueue.Request[string]{Key: team.Name, Weight: team.Weight})
//	if err != nil {
//		return err // an *outcome.Error: overloaded, not run
//	}
//	defer slot.Release()
package fairqueue

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/outcome"
)

// RecordRequest says who wants a slot, and until when its answer is of use.
type Request[K comparable] struct {
	Key      K
	Weight   int
	Deadline time.Time
}

type verdicts chan Result

// Queue lets goroutines wait for slots. It is safe for concurrent use.
type Queue[K comparable] struct {
	clock clock.Clock

	mu        sync.Mutex
	scheduler *Scheduler[K, verdicts]
}

// Slot is an admitted request. Release must be called once.
type Slot[K comparable] struct {
	queue  *Queue[K]
	waiter *Waiter[K, verdicts]
}

// Stats is a reading of a queue.
type Stats struct {
	Limit   int `json:"limit"`
	Open    int `json:"open"`
	Waiting int `json:"waiting"`
	Keys    int `json:"keys"`
}

// New returns an empty queue.
func New[K comparable](config Config, clk clock.Clock) *Queue[K] {
	return &Queue[K]{clock: clk, scheduler: NewScheduler[K, verdicts](config)}
}

// Acquire waits for a slot. An error is always an *outcome.Error whose request
// was not run.
func (q *Queue[K]) Acquire(ctx context.Context, request Request[K]) (*Slot[K], error) {
	waiter := &Waiter[K, verdicts]{
		Key:      request.Key,
		Weight:   request.Weight,
		Deadline: request.Deadline,
		Payload:  make(verdicts, 1),
	}
	q.change(func(now time.Time) []Decision[K, verdicts] {
		return q.scheduler.Offer(waiter, now)
	})
	verdict, err := q.wait(ctx, waiter)
	if err != nil {
		return nil, err
	}
	if verdict != Admitted {
		return nil, refusal(request.Key, outcome.Overloaded, string(verdict))
	}
	return &Slot[K]{queue: q, waiter: waiter}, nil
}

// Release gives the slot to the next waiter.
func (s *Slot[K]) Release() {
	s.queue.change(func(now time.Time) []Decision[K, verdicts] {
		return s.queue.scheduler.Release(s.waiter, now)
	})
}

// SetLimit changes how many requests may be open at once.
func (q *Queue[K]) SetLimit(limit int) {
	q.change(func(now time.Time) []Decision[K, verdicts] {
		return q.scheduler.SetLimit(limit, now)
	})
}

// Stats returns the present numbers.
func (q *Queue[K]) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Limit:   q.scheduler.config.Limit,
		Open:    q.scheduler.Open(),
		Waiting: q.scheduler.Waiting(),
		Keys:    q.scheduler.Keys(),
	}
}

// change runs one step of the scheduler and tells its verdicts. Each waiter
// gets one at most, so the sends never block.
func (q *Queue[K]) change(step func(now time.Time) []Decision[K, verdicts]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, decision := range step(q.clock.Now()) {
		decision.Waiter.Payload <- decision.Result
	}
}

// wait blocks until there is a verdict, the deadline passes or the caller goes
// away.
func (q *Queue[K]) wait(ctx context.Context, waiter *Waiter[K, verdicts]) (Result, error) {
	select {
	case verdict := <-waiter.Payload:
		return verdict, nil
	default:
	}
	var deadline <-chan time.Time
	if !waiter.Deadline.IsZero() {
		timer := q.clock.NewTimer(waiter.Deadline.Sub(q.clock.Now()))
		defer timer.Stop()
		deadline = timer.Chan()
	}
	select {
	case verdict := <-waiter.Payload:
		return verdict, nil
	case <-deadline:
		q.abandon(waiter)
		return "", refusal(waiter.Key, outcome.TimedOut, "no slot before the deadline")
	case <-ctx.Done():
		q.abandon(waiter)
		return "", refusal(waiter.Key, outcome.TimedOut, context.Cause(ctx).Error())
	}
}

// abandon takes the waiter out, or gives its slot back if it was admitted
// meanwhile.
func (q *Queue[K]) abandon(waiter *Waiter[K, verdicts]) {
	q.mu.Lock()
	canceled := q.scheduler.Cancel(waiter)
	q.mu.Unlock()
	if canceled {
		return
	}
	if verdict := <-waiter.Payload; verdict == Admitted {
		q.change(func(now time.Time) []Decision[K, verdicts] {
			return q.scheduler.ReleaseUnused(waiter, now)
		})
	}
}

func refusal[K comparable](key K, code outcome.Code, reason string) *outcome.Error {
	return &outcome.Error{
		Code:   code,
		Run:    journal.NotRun,
		Object: "team",
		Name:   fmt.Sprint(key),
		Reason: reason,
	}
}
