package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/fairqueue"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/declaration"
)

// Limits of the queue of one pool.
const (
	// MaxWaiting bounds the queued requests of all teams.
	MaxWaiting = 512
	// MaxWaitingPerTeam bounds the queued requests of one team.
	MaxWaitingPerTeam = 128
	// DefaultMaxInFlight is the limit for each endpoint of a pool that declares none.
	DefaultMaxInFlight = 1024
)

// Slots limits the open requests at the endpoints of each pool and of each team. A slot
// allows one request to be open, queued at its endpoint or running there; the slots that
// an endpoint reports count only what it can run at the same time. Slots is safe for
// concurrent use.
type Slots struct {
	clock     clock.Clock
	endpoints *endpoint.Table
	maxWait   time.Duration
	// pools maps the name of a pool to its *poolQueue.
	pools sync.Map
	// teams maps the name of a team to its number of open requests, an *atomic.Int64.
	teams sync.Map
}

// poolQueue is the queue of requests for one pool, with the limit that was last set.
type poolQueue struct {
	queue *fairqueue.Queue[string]
	limit atomic.Int64
}

// NewSlots returns slots for the endpoints of the table. A request that gets no slot
// within maxWait is refused.
func NewSlots(clk clock.Clock, endpoints *endpoint.Table, maxWait time.Duration) *Slots {
	return &Slots{clock: clk, endpoints: endpoints, maxWait: maxWait}
}

// Acquire waits for a slot and returns the function that releases it. It refuses a request
// for a pool without endpoints at once. An error is always an *outcome.Error with run
// not_run.
func (s *Slots) Acquire(ctx context.Context, plan admission.Plan) (release func(), err error) {
	if len(s.endpoints.View().InPool(plan.Pool.Name)) == 0 {
		return nil, noEndpointError(plan.Pool)
	}
	team, err := s.countTeamRequest(plan.Team)
	if err != nil {
		return nil, err
	}
	pool := s.queueOf(plan.Pool)
	slot, err := pool.queue.Acquire(ctx, fairqueue.Request[string]{
		Key:      plan.Team.Name,
		Weight:   max(1, plan.Team.Weight),
		Deadline: s.clock.Now().Add(min(s.maxWait, plan.Timeout)),
	})
	if err != nil {
		team.Add(-1)
		return nil, err
	}
	return func() {
		slot.Release()
		team.Add(-1)
	}, nil
}

// countTeamRequest counts an open request of the team and returns the counter, or an
// error if the team has reached its limit.
func (s *Slots) countTeamRequest(team declaration.Team) (*atomic.Int64, error) {
	counter, _ := s.teams.LoadOrStore(team.Name, &atomic.Int64{})
	open := counter.(*atomic.Int64)
	if count := open.Add(1); team.MaxConcurrent > 0 && count > int64(team.MaxConcurrent) {
		open.Add(-1)
		return nil, &outcome.Error{
			Code:   outcome.Overloaded,
			Run:    journal.NotRun,
			Object: "team",
			Name:   team.Name,
			Field:  "max_concurrent",
			Reason: "the team has as many requests open as it may",
		}
	}
	return open, nil
}

// queueOf returns the queue of the pool and sets its limit to what the current
// endpoints allow.
func (s *Slots) queueOf(declared declaration.Pool) *poolQueue {
	limit := s.limit(declared)
	stored, ok := s.pools.Load(declared.Name)
	if !ok {
		config := fairqueue.Config{Limit: int(limit), MaxWaiting: MaxWaiting, MaxWaitingPerKey: MaxWaitingPerTeam}
		created := &poolQueue{queue: fairqueue.New[string](config, s.clock)}
		created.limit.Store(limit)
		stored, _ = s.pools.LoadOrStore(declared.Name, created)
	}
	existing := stored.(*poolQueue)
	if existing.limit.Swap(limit) != limit {
		existing.queue.SetLimit(int(limit))
	}
	return existing
}

// limit returns how many requests the endpoints of the pool may have open together. A
// pool without endpoints has the limit of a single endpoint, so that its requests are
// refused for the missing endpoint and not held in the queue.
func (s *Slots) limit(declared declaration.Pool) int64 {
	perEndpoint := declared.MaxInFlight
	if perEndpoint == 0 {
		perEndpoint = DefaultMaxInFlight
	}
	limit := 0
	for _, state := range s.endpoints.View().InPool(declared.Name) {
		limit += state.Limit(perEndpoint)
	}
	if limit == 0 {
		limit = perEndpoint
	}
	return int64(limit)
}
