package balancer_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/balancer"
)

var regions = []string{"western", "central", "southern"}

const (
	traceLength  = 2 * time.Minute
	serviceMean  = time.Second
	regionDelay  = 40 * time.Millisecond
	requestBytes = 20_000
	prefixCount  = 120
	cacheSize    = 24
	engineSlots  = 8
	failFrom     = 30 * time.Second
	failUntil    = time.Minute
)

// arrival is one recorded request.
type arrival struct {
	at     time.Duration
	router int
	work   time.Duration
	prefix uint64
}

// record makes a trace: three routers with Poisson arrivals, exponential work
// and skewed prefixes.
func record(seed uint64, gap time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(random, 1.2, 1, prefixCount-1)
	var trace []arrival
	for router := range regions {
		for at := time.Duration(0); at < traceLength; {
			at += time.Duration(random.ExpFloat64() * float64(gap))
			work := time.Duration(random.ExpFloat64() * float64(serviceMean))
			trace = append(trace, arrival{at, router, work, zipf.Uint64() + 1})
		}
	}
	slices.SortStableFunc(trace, func(a, b arrival) int { return int(a.at - b.at) })
	return trace
}

type event struct {
	at   time.Duration
	call func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// engine is a model engine with slots, a queue and a prefix cache.
type engine struct {
	place   vm.Locality
	factor  float64
	fails   bool
	running int
	queue   []func()
	cache   []uint64
}

func (e *engine) hit(prefix uint64) bool {
	index := slices.Index(e.cache, prefix)
	if index >= 0 {
		e.cache = slices.Delete(e.cache, index, index+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	return index >= 0
}

// router is one process with its own picker and its own view of the engines.
type router struct {
	place  vm.Locality
	picker *balancer.Picker
	states []*endpoint.State
}

// replay drives routers and engines by one trace.
type replay struct {
	random    *rand.Rand
	now       time.Duration
	events    events
	engines   []*engine
	routers   []*router
	latencies []time.Duration
	failed    int
	bytes     int
}

func (r *replay) after(wait time.Duration, call func()) {
	heap.Push(&r.events, event{r.now + wait, call})
}

func (r *replay) time() time.Time {
	return begin.Add(r.now)
}

func (r *replay) run(trace []arrival) {
	for _, request := range trace {
		heap.Push(&r.events, event{request.at, func() { r.attempt(request, nil) }})
	}
	r.after(0, r.report)
	for r.events.Len() > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.call()
	}
}

// report sends each engine's load to each router with a lag.
func (r *replay) report() {
	for index, engine := range r.engines {
		load := endpoint.Report{InFlight: engine.running, Waiting: len(engine.queue), Slots: engineSlots, State: vm.Live}
		for _, router := range r.routers {
			lag := 500*time.Millisecond + time.Duration(r.random.Float64()*float64(1500*time.Millisecond))
			r.after(lag, func() {
				load.ReceivedAt = r.time()
				router.states[index].ApplyReport(load)
			})
		}
	}
	if r.now < traceLength {
		r.after(time.Second, r.report)
	}
}

// attempt sends the request, and once more elsewhere if it fails.
func (r *replay) attempt(request arrival, avoid []*endpoint.State) {
	router := r.routers[request.router]
	state, ok := router.picker.Pick(router.states, balancer.Request{Now: r.time(), Prefix: request.prefix, Avoid: avoid})
	if !ok {
		r.failed++
		return
	}
	engine := r.engines[slices.Index(router.states, state)]
	delay := time.Millisecond
	if engine.place != router.place {
		delay = regionDelay
		r.bytes += requestBytes
	}
	r.after(delay, func() {
		r.serve(engine, request, func(fine bool) {
			r.after(delay, func() { r.finish(request, state, avoid, fine) })
		})
	})
}

func (r *replay) serve(engine *engine, request arrival, done func(fine bool)) {
	if engine.fails && r.now >= failFrom && r.now < failUntil {
		r.after(50*time.Millisecond, func() { done(false) })
		return
	}
	start := func() {
		engine.running++
		work := time.Duration(float64(request.work) * engine.factor)
		if engine.hit(request.prefix) {
			work /= 2
		}
		r.after(work, func() { r.end(engine, done) })
	}
	if engine.running < engineSlots {
		start()
		return
	}
	engine.queue = append(engine.queue, start)
}

func (r *replay) end(engine *engine, done func(fine bool)) {
	engine.running--
	if len(engine.queue) > 0 {
		next := engine.queue[0]
		engine.queue = engine.queue[1:]
		next()
	}
	done(true)
}

func (r *replay) finish(request arrival, state *endpoint.State, avoid []*endpoint.State, fine bool) {
	router := r.routers[request.router]
	if !fine {
		router.picker.Done(router.states, state, balancer.Failure, r.time())
		if len(avoid) > 0 {
			r.failed++
			return
		}
		r.attempt(request, []*endpoint.State{state})
		return
	}
	router.picker.Done(router.states, state, balancer.Success, r.time())
	r.latencies = append(r.latencies, r.now-request.at)
}

// build sets ten engines in three regions, the second slow, the sixth failing
// for a while.
func build(makeRouter newRouter) *replay {
	r := &replay{random: rand.New(rand.NewPCG(3, 4))}
	for index := range 10 {
		place := vm.Locality{Region: regions[index%3], AvailabilityZone: regions[index%3]}
		r.engines = append(r.engines, &engine{place: place, factor: 1, fails: index == 5})
	}
	r.engines[1].factor = 3
	for index, region := range regions {
		place := vm.Locality{Region: region, AvailabilityZone: region}
		made := makeRouter(place, rand.New(rand.NewPCG(5, uint64(index))))
		made.place = place
		for _, engine := range r.engines {
			made.states = append(made.states, &endpoint.State{VM: vm.VM{Locality: engine.place}})
		}
		r.routers = append(r.routers, made)
	}
	return r
}

// figures are the results of one replay. Bytes are those between regions.
type figures struct {
	Mean, P95 time.Duration
	Megabytes float64
	Failed    int
}

func measure(trace []arrival, makeRouter newRouter) figures {
	r := build(makeRouter)
	r.run(trace)
	var sum time.Duration
	for _, latency := range r.latencies {
		sum += latency
	}
	slices.Sort(r.latencies)
	count := len(r.latencies)
	return figures{
		Mean:      (sum / time.Duration(count)).Round(time.Millisecond),
		P95:       r.latencies[count*95/100].Round(time.Millisecond),
		Megabytes: float64(r.bytes) / 1e6,
		Failed:    r.failed,
	}
}

type newRouter func(vm.Locality, *rand.Rand) *router

func byPowerOfTwo(yield float64) newRouter {
	return func(place vm.Locality, random *rand.Rand) *router {
		config := balancer.Defaults(place)
		config.MaxPrefixCostRatio = yield
		return &router{picker: balancer.New(config, random)}
	}
}

func byRoundRobin(yield float64) newRouter {
	return func(place vm.Locality, _ *rand.Rand) *router {
		config := balancer.Defaults(place)
		config.MaxPrefixCostRatio = yield
		return &router{picker: balancer.NewWith(config, &balancer.RoundRobin[*endpoint.State]{})}
	}
}

// TestPoliciesOnTraces replays the same traces with each policy at three rates,
// with prefix affinity and without.
func TestPoliciesOnTraces(t *testing.T) {
	affinity := balancer.Defaults(hall).MaxPrefixCostRatio
	tests := []struct {
		name          string
		better, worse newRouter
	}{
		{"power of two, round robin", byPowerOfTwo(affinity), byRoundRobin(affinity)},
		{"the same without affinity", byPowerOfTwo(0), byRoundRobin(0)},
		{"power of two, and without affinity", byPowerOfTwo(affinity), byPowerOfTwo(0)},
	}
	for _, gap := range []time.Duration{60 * time.Millisecond, 38 * time.Millisecond, 30 * time.Millisecond} {
		trace := record(1, gap)
		for _, test := range tests {
			got, other := measure(trace, test.better), measure(trace, test.worse)
			t.Logf("%d requests, %s: %+v, %+v", len(trace), test.name, got, other)
			if got.Mean > other.Mean || got.P95 > other.P95 || got.Megabytes > other.Megabytes {
				t.Errorf("%s: got %+v, want no more than %+v", test.name, got, other)
			}
			if got.Failed > 0 {
				t.Errorf("%s, failed: got %d, want 0", test.name, got.Failed)
			}
		}
	}
}
