package fairqueue_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/request/fairqueue"
)

const (
	slotCount       = 10
	meanServiceTime = 200 * time.Millisecond
	requestTimeout  = 2 * time.Second
	testLength      = 5 * time.Minute
)

// completion is the time at which an admitted request releases its slot.
type completion struct {
	at     time.Time
	waiter *waiter
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadTest drives a scheduler with Poisson arrivals and exponential service times.
// Key 0 is a large team with four fifths of the requests; keys 1 to 4 are small teams.
type loadTest struct {
	random    *rand.Rand
	scheduler *scheduler
	running   completionHeap
	shedding  bool
	offered   [5]int
	inTime    [5]int
}

func (l *loadTest) run(loadFactor float64) {
	gap := float64(meanServiceTime) / slotCount / loadFactor
	end := start.Add(testLength)
	for now := start; now.Before(end); {
		now = now.Add(time.Duration(l.random.ExpFloat64() * gap))
		for len(l.running) > 0 && !l.running[0].at.After(now) {
			done := heap.Pop(&l.running).(completion)
			l.finish(done)
		}
		l.apply(l.scheduler.Offer(l.arrival(now), now), now)
	}
}

// arrival returns the next request. Its payload holds the deadline too, in nanoseconds
// after start, so that goodput can be measured without load shedding.
func (l *loadTest) arrival(now time.Time) *waiter {
	arrived := &waiter{Key: max(0, l.random.IntN(20)-15), Weight: 1}
	deadline := now.Add(requestTimeout)
	arrived.Payload = int(deadline.Sub(start))
	if l.shedding {
		arrived.Deadline = deadline
	}
	l.offered[arrived.Key]++
	return arrived
}

func (l *loadTest) finish(done completion) {
	if done.at.Sub(start) <= time.Duration(done.waiter.Payload) {
		l.inTime[done.waiter.Key]++
	}
	l.apply(l.scheduler.Release(done.waiter, done.at), done.at)
}

func (l *loadTest) apply(decided decisions, now time.Time) {
	for _, decision := range decided {
		if decision.Result == fairqueue.Admitted {
			at := now.Add(time.Duration(l.random.ExpFloat64() * float64(meanServiceTime)))
			heap.Push(&l.running, completion{at, decision.Waiter})
		}
	}
}

// goodput returns the requests a second that complete before their deadline, of all
// teams and of the small ones, and the share of the small teams' requests that do. The
// load factor is the ratio of the request rate to the capacity. Without load shedding
// the queue has no bounds and its requests no deadlines.
func goodput(loadFactor float64, shedding bool) (all, smallTeams, smallShare float64) {
	config := fairqueue.Config{Limit: slotCount, MaxWaiting: 200, MaxWaitingPerKey: 100}
	if !shedding {
		config.MaxWaiting, config.MaxWaitingPerKey = 1<<30, 1<<30
	}
	l := &loadTest{
		random:    rand.New(rand.NewPCG(1, 2)),
		scheduler: fairqueue.NewScheduler[int, int](config),
		shedding:  shedding,
	}
	l.run(loadFactor)
	var inTime, offered int
	for key := 1; key < len(l.inTime); key++ {
		inTime += l.inTime[key]
		offered += l.offered[key]
	}
	seconds := testLength.Seconds()
	return float64(inTime+l.inTime[0]) / seconds, float64(inTime) / seconds, float64(inTime) / float64(offered)
}

// TestGoodputUnderOverload offers up to five times the capacity of 50 requests a
// second, with a timeout of two seconds. Without load shedding the queue would fill
// with requests that miss their deadline.
func TestGoodputUnderOverload(t *testing.T) {
	var peak float64
	measured := make(map[float64]float64)
	for _, loadFactor := range []float64{0.5, 1, 2, 5} {
		all, small, share := goodput(loadFactor, true)
		measured[loadFactor] = all
		peak = max(peak, all)
		t.Logf("load %.1f: goodput %.2f requests a second, small teams %.2f (%.3f of theirs)", loadFactor, all, small, share)
	}
	for _, loadFactor := range []float64{1, 2, 5} {
		if got := measured[loadFactor]; got < 0.9*peak {
			t.Errorf("goodput at load %.1f: got %.2f, want at least 0.9 of %.2f", loadFactor, got, peak)
		}
	}
}

// TestSmallTeamsAreNotStarved offers twice the capacity, most of it by the large team.
func TestSmallTeamsAreNotStarved(t *testing.T) {
	_, _, share := goodput(2, true)
	if share < 0.95 {
		t.Errorf("share of small teams' requests before their deadline at load 2: got %.3f, want at least 0.95", share)
	}
}
