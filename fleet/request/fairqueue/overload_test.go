package fairqueue_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/request/fairqueue"
)

const (
	slots    = 10
	hold     = 200 * time.Millisecond
	patience = 2 * time.Second
	length   = 5 * time.Minute
)

// ending is when an admitted request will be done.
type ending struct {
	at     time.Time
	waiter *waiter
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// load drives a scheduler with Poisson arrivals and exponential hold times.
// Key 0 is a large team with four fifths of the requests.
type load struct {
	random    *rand.Rand
	scheduler *scheduler
	running   endings
	shed      bool
	offered   [5]int
	useful    [5]int
}

func (l *load) run(offered float64) {
	gap := float64(hold) / slots / offered
	end := start.Add(length)
	for now := start; now.Before(end); {
		now = now.Add(time.Duration(l.random.ExpFloat64() * gap))
		for len(l.running) > 0 && !l.running[0].at.After(now) {
			ended := heap.Pop(&l.running).(ending)
			l.finish(ended)
		}
		l.apply(l.scheduler.Offer(l.arrival(now), now), now)
	}
}

// arrival keeps the deadline in the payload too, so that a trial without
// shedding can be judged by it.
func (l *load) arrival(now time.Time) *waiter {
	arrived := &waiter{Key: max(0, l.random.IntN(20)-15), Weight: 1}
	deadline := now.Add(patience)
	arrived.Payload = int(deadline.Sub(start))
	if l.shed {
		arrived.Deadline = deadline
	}
	l.offered[arrived.Key]++
	return arrived
}

func (l *load) finish(ended ending) {
	if ended.at.Sub(start) <= time.Duration(ended.waiter.Payload) {
		l.useful[ended.waiter.Key]++
	}
	l.apply(l.scheduler.Release(ended.waiter, ended.at), ended.at)
}

func (l *load) apply(said decisions, now time.Time) {
	for _, decision := range said {
		if decision.Result == fairqueue.Admitted {
			at := now.Add(time.Duration(l.random.ExpFloat64() * float64(hold)))
			heap.Push(&l.running, ending{at, decision.Waiter})
		}
	}
}

// goodput returns the answers in time a second, of all and of the small teams,
// and the share of the small teams' requests that was answered in time.
func goodput(offered float64, shed bool) (all, small, share float64) {
	config := fairqueue.Config{Limit: slots, MaxWaiting: 200, MaxWaitingPerKey: 100}
	if !shed {
		config.MaxWaiting, config.MaxWaitingPerKey = 1<<30, 1<<30
	}
	l := &load{
		random:    rand.New(rand.NewPCG(1, 2)),
		scheduler: fairqueue.NewScheduler[int, int](config),
		shed:      shed,
	}
	l.run(offered)
	var useful, asked int
	for key := 1; key < len(l.useful); key++ {
		useful += l.useful[key]
		asked += l.offered[key]
	}
	seconds := length.Seconds()
	return float64(useful+l.useful[0]) / seconds, float64(useful) / seconds, float64(useful) / float64(asked)
}

// TestGoodputUnderOverload offers up to five times the capacity of 50 requests
// a second, each of use for two seconds.
func TestGoodputUnderOverload(t *testing.T) {
	var peak float64
	measured := make(map[float64]float64)
	for _, offered := range []float64{0.5, 1, 2, 5} {
		all, small, share := goodput(offered, true)
		measured[offered] = all
		peak = max(peak, all)
		t.Logf("offered %.1f: goodput %.2f a second, small teams %.2f (%.3f of theirs)", offered, all, small, share)
	}
	for _, offered := range []float64{1, 2, 5} {
		if got := measured[offered]; got < 0.9*peak {
			t.Errorf("goodput at %.1f: got %.2f, want at least 0.9 of %.2f", offered, got, peak)
		}
	}
}

// TestSmallTeamsAreNotStarved compares what small teams get with what they ask.
func TestSmallTeamsAreNotStarved(t *testing.T) {
	_, _, share := goodput(2, true)
	if share < 0.95 {
		t.Errorf("share of small teams' requests in time at 2: got %.3f, want at least 0.95", share)
	}
}
