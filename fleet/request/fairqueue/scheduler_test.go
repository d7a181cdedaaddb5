package fairqueue_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthpaddle.example/fleet/request/fairqueue"
)

type (
	scheduler = fairqueue.Scheduler[int, int]
	waiter    = fairqueue.Waiter[int, int]
	decisions = []fairqueue.Decision[int, int]
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model tracks the admitted and the waiting requests from the decisions of a scheduler,
// and checks the limit and the scheduler's counts against them.
type model struct {
	scheduler *scheduler
	limit     int
	now       time.Time
	admitted  []*waiter
	waiting   []*waiter
}

func (m *model) apply(t *rapid.T, decided decisions) {
	for _, decision := range decided {
		m.remove(t, decision.Waiter)
		if decision.Result == fairqueue.Admitted {
			m.admitted = append(m.admitted, decision.Waiter)
			if len(m.admitted) > m.limit {
				t.Fatalf("admitted: got %d, want at most %d", len(m.admitted), m.limit)
			}
		}
	}
	if got, want := m.scheduler.InUse(), len(m.admitted); got != want {
		t.Fatalf("slots in use: got %d, want %d", got, want)
	}
	if got, want := m.scheduler.Waiting(), len(m.waiting); got != want {
		t.Fatalf("waiting: got %d, want %d", got, want)
	}
	if len(m.waiting) > 0 && len(m.admitted) < m.limit {
		t.Fatalf("admitted: got %d with %d waiting, want %d", len(m.admitted), len(m.waiting), m.limit)
	}
}

// remove removes the waiter from the waiting ones. It fails the test if the waiter is
// not among them, as there was a decision on it before.
func (m *model) remove(t *rapid.T, decided *waiter) {
	for i, candidate := range m.waiting {
		if candidate == decided {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
	t.Fatalf("decisions on %+v: got a second one, want one", decided)
}

func (m *model) offer(t *rapid.T) {
	offered := &waiter{
		Key:    rapid.IntRange(0, 4).Draw(t, "key"),
		Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
	}
	if rapid.Bool().Draw(t, "bounded") {
		offered.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
	}
	m.waiting = append(m.waiting, offered)
	m.apply(t, m.scheduler.Offer(offered, m.now))
}

func (m *model) release(t *rapid.T) {
	if len(m.admitted) == 0 {
		t.Skip("no request is admitted")
	}
	index := rapid.IntRange(0, len(m.admitted)-1).Draw(t, "index")
	released := m.admitted[index]
	m.admitted = append(m.admitted[:index], m.admitted[index+1:]...)
	m.apply(t, m.scheduler.Release(released, m.now))
}

func (m *model) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("no request is waiting")
	}
	canceled := m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "index")]
	if !m.scheduler.Cancel(canceled) {
		t.Fatalf("cancel %+v: got false, want true", canceled)
	}
	m.remove(t, canceled)
}

func (m *model) resize(t *rapid.T) {
	m.limit = rapid.IntRange(1, 5).Draw(t, "limit")
	m.apply(t, m.scheduler.SetLimit(m.limit, m.now))
}

func TestSchedulerDecidesEachWaiterOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := fairqueue.Config{Limit: 2, MaxWaiting: 8, MaxWaitingPerKey: 4}
		m := &model{scheduler: fairqueue.NewScheduler[int, int](config), limit: 2, now: start}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"done":   m.release,
			"cancel": m.cancel,
			"resize": m.resize,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for len(m.admitted) > 0 {
			released := m.admitted[0]
			m.admitted = m.admitted[1:]
			m.apply(t, m.scheduler.Release(released, m.now))
		}
		if len(m.waiting) > 0 || m.scheduler.Keys() > 0 {
			t.Fatalf("at the end: got %d waiting and %d keys, want none", len(m.waiting), m.scheduler.Keys())
		}
	})
}

// TestSchedulerSharesByWeight checks that keys with a constant backlog get slots in
// proportion to their weights. Counted in requests for each unit of weight, any two
// keys differ at most by one request of each.
func TestSchedulerSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const backlog, turns, serviceTime = 200, 100, 100 * time.Millisecond
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(t, "weights")
		config := fairqueue.Config{Limit: 1, MaxWaiting: 1000, MaxWaitingPerKey: 1000}
		s := fairqueue.NewScheduler[int, int](config)
		now := start
		serving := &waiter{Key: -1}
		s.Offer(serving, now)
		for key, weight := range weights {
			for range backlog {
				s.Offer(&waiter{Key: key, Weight: weight}, now)
			}
		}
		served := make([]float64, len(weights))
		for range turns {
			now = now.Add(serviceTime)
			serving = s.Release(serving, now)[0].Waiter
			served[serving.Key] += 1 / float64(weights[serving.Key])
			wantSharesByWeight(t, weights, served)
		}
	})
}

func wantSharesByWeight(t *rapid.T, weights []int, served []float64) {
	for i := range served {
		for j := range i {
			bound := 1/float64(weights[i]) + 1/float64(weights[j])
			if got := served[i] - served[j]; got > bound+1e-9 || got < -bound-1e-9 {
				t.Fatalf("lead of key %d over key %d: got %.3f, want within %.3f", i, j, got, bound)
			}
		}
	}
}

func TestFullQueueDisplacesLongestBacklog(t *testing.T) {
	s := fairqueue.NewScheduler[int, int](fairqueue.Config{Limit: 1, MaxWaiting: 2, MaxWaitingPerKey: 2})
	for range 3 {
		s.Offer(&waiter{Key: 0}, start)
	}
	got := s.Offer(&waiter{Key: 1}, start)
	if len(got) != 1 || got[0].Waiter.Key != 0 || got[0].Result != fairqueue.QueueFull {
		t.Fatalf("small team: got %+v, want one waiter of the large team displaced", got)
	}
	got = s.Offer(&waiter{Key: 0}, start)
	if len(got) != 1 || got[0].Waiter.Key != 0 || got[0].Result != fairqueue.QueueFull {
		t.Errorf("large team again: got %+v, want it refused", got)
	}
}

// TestIdleKeyGetsNoMoreThanItsWeight guards against deleting the used time of a key
// while it is idle between its requests, which would give it more than its weight: of
// 40 slots, 4 are due to weight 1 next to a backlogged key of weight 9.
func TestIdleKeyGetsNoMoreThanItsWeight(t *testing.T) {
	s := fairqueue.NewScheduler[int, int](fairqueue.Config{Limit: 1, MaxWaiting: 100, MaxWaitingPerKey: 100})
	now := start
	serving := &waiter{Key: 0, Weight: 1}
	s.Offer(serving, now)
	for range 50 {
		s.Offer(&waiter{Key: 1, Weight: 9}, now)
	}
	var served [2]int
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		again := serving.Key == 0
		serving = s.Release(serving, now)[0].Waiter
		served[serving.Key]++
		if again {
			s.Offer(&waiter{Key: 0, Weight: 1}, now)
		}
	}
	if served[0] < 3 || served[0] > 5 {
		t.Errorf("slots of the key with idle times: got %d of 40, want 3 to 5", served[0])
	}
}
