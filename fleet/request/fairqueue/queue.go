// Package fairqueue bounds the concurrent requests to a pool and shares its slots
// between teams by weighted fair queueing.
//
// A Scheduler makes the admission decisions, and a Queue blocks goroutines until
// their decision. The next slot goes to the waiting key, such as a team, that has
// used the least slot time relative to its weight. A request that cannot be served
// before its deadline is refused at once. When the queue is full, a request of a key
// with a shorter backlog displaces one of the key with the longest backlog.
//
// # Usage
//
//	queue := fairqueue.New[string](config, clock.New())
//	slot, err := queue.Acquire(ctx, fairqueue.Request[string]{Key: team.Name, Weight: team.Weight})
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

// Request describes a request for a slot.
type Request[K comparable] struct {
	// Key is what slots are shared between, such as the name of a team.
	Key K
	// Weight sets the share of the slots that the key gets, relative to the weights of
	// the other keys. Values below 1 count as 1.
	Weight int
	// Deadline is the time after which a response is useless to the caller. Zero is
	// none.
	Deadline time.Time
}

// resultChan carries the result of one waiter.
type resultChan chan Result

// Queue blocks goroutines until they get a slot. It is safe for concurrent use.
type Queue[K comparable] struct {
	clock clock.Clock

	mu        sync.Mutex
	scheduler *Scheduler[K, resultChan]
}

// Slot is the slot of an admitted request. Release must be called exactly once.
type Slot[K comparable] struct {
	queue  *Queue[K]
	waiter *Waiter[K, resultChan]
}

// Stats holds the limit and the counts of a queue at one moment.
type Stats struct {
	// Limit bounds the admitted requests.
	Limit int `json:"limit"`
	// InUse is the number of slots that admitted requests hold.
	InUse int `json:"open"`
	// Waiting is the number of waiting requests.
	Waiting int `json:"waiting"`
	// Keys is the number of keys with state in the scheduler.
	Keys int `json:"keys"`
}

// New returns an empty queue.
func New[K comparable](config Config, clk clock.Clock) *Queue[K] {
	return &Queue[K]{clock: clk, scheduler: NewScheduler[K, resultChan](config)}
}

// Acquire blocks until the request gets a slot, is refused, reaches its deadline or
// its context ends. An error is always an *outcome.Error with run not_run.
func (q *Queue[K]) Acquire(ctx context.Context, request Request[K]) (*Slot[K], error) {
	waiter := &Waiter[K, resultChan]{
		Key:      request.Key,
		Weight:   request.Weight,
		Deadline: request.Deadline,
		Payload:  make(resultChan, 1),
	}
	q.apply(func(now time.Time) []Decision[K, resultChan] {
		return q.scheduler.Offer(waiter, now)
	})
	result, err := q.await(ctx, waiter)
	if err != nil {
		return nil, err
	}
	if result != Admitted {
		return nil, refusal(request.Key, outcome.Overloaded, string(result))
	}
	return &Slot[K]{queue: q, waiter: waiter}, nil
}

// Release frees the slot for the next waiter.
func (s *Slot[K]) Release() {
	s.queue.apply(func(now time.Time) []Decision[K, resultChan] {
		return s.queue.scheduler.Release(s.waiter, now)
	})
}

// SetLimit changes how many requests may hold a slot at once.
func (q *Queue[K]) SetLimit(limit int) {
	q.apply(func(now time.Time) []Decision[K, resultChan] {
		return q.scheduler.SetLimit(limit, now)
	})
}

// Stats returns the present limit and counts.
func (q *Queue[K]) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Limit:   q.scheduler.config.Limit,
		InUse:   q.scheduler.InUse(),
		Waiting: q.scheduler.Waiting(),
		Keys:    q.scheduler.Keys(),
	}
}

// apply runs one step of the scheduler and sends the results to the waiters. Each
// waiter gets at most one result in its lifetime and its channel buffers one, so the
// sends never block.
func (q *Queue[K]) apply(step func(now time.Time) []Decision[K, resultChan]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, decision := range step(q.clock.Now()) {
		decision.Waiter.Payload <- decision.Result
	}
}

// await blocks until the waiter has a result, its deadline passes or the context
// ends.
func (q *Queue[K]) await(ctx context.Context, waiter *Waiter[K, resultChan]) (Result, error) {
	select {
	case result := <-waiter.Payload:
		return result, nil
	default:
	}
	var deadline <-chan time.Time
	if !waiter.Deadline.IsZero() {
		timer := q.clock.NewTimer(waiter.Deadline.Sub(q.clock.Now()))
		defer timer.Stop()
		deadline = timer.Chan()
	}
	select {
	case result := <-waiter.Payload:
		return result, nil
	case <-deadline:
		q.abandon(waiter)
		return "", refusal(waiter.Key, outcome.TimedOut, "no slot before the deadline")
	case <-ctx.Done():
		q.abandon(waiter)
		return "", refusal(waiter.Key, outcome.TimedOut, context.Cause(ctx).Error())
	}
}

// abandon removes the waiter from the queue, or returns its slot unused if it was
// admitted in the meantime.
func (q *Queue[K]) abandon(waiter *Waiter[K, resultChan]) {
	q.mu.Lock()
	canceled := q.scheduler.Cancel(waiter)
	q.mu.Unlock()
	if canceled {
		return
	}
	if result := <-waiter.Payload; result == Admitted {
		q.apply(func(now time.Time) []Decision[K, resultChan] {
			return q.scheduler.ReleaseUnused(waiter, now)
		})
	}
}

// refusal returns the error of a request that got no slot. Requests are queued by team,
// so the error reports the key as the name of a team.
func refusal[K comparable](key K, code outcome.Code, reason string) *outcome.Error {
	return &outcome.Error{
		Code:   code,
		Run:    journal.NotRun,
		Object: "team",
		Name:   fmt.Sprint(key),
		Reason: reason,
	}
}
