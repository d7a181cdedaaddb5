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
	traceLength     = 2 * time.Minute
	meanServiceTime = time.Second
	regionDelay     = 40 * time.Millisecond
	requestBytes    = 20_000
	prefixCount     = 120
	cachedPrefixes  = 24
	engineSlots     = 8
	outageStart     = 30 * time.Second
	outageEnd       = time.Minute
)

// arrival is one request of a trace.
type arrival struct {
	at          time.Duration
	router      int
	serviceTime time.Duration
	prefix      uint64
}

// generateTrace returns a trace of three routers with Poisson arrivals, exponential
// service times and prefixes by a Zipf distribution.
func generateTrace(seed uint64, meanGap time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(random, 1.2, 1, prefixCount-1)
	var trace []arrival
	for router := range regions {
		for at := time.Duration(0); at < traceLength; {
			at += time.Duration(random.ExpFloat64() * float64(meanGap))
			serviceTime := time.Duration(random.ExpFloat64() * float64(meanServiceTime))
			trace = append(trace, arrival{at, router, serviceTime, zipf.Uint64() + 1})
		}
	}
	slices.SortStableFunc(trace, func(a, b arrival) int { return int(a.at - b.at) })
	return trace
}

// event is a call at a point in simulated time.
type event struct {
	at  time.Duration
	run func()
}

// events is a heap of events by time.
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

// engine simulates a model engine with slots, a queue and an LRU prefix cache. A cached
// prefix halves the service time of a request.
type engine struct {
	locality vm.Locality
	slowdown float64
	outage   bool
	running  int
	queue    []func()
	cache    []uint64
}

// touchPrefix marks the prefix as most recently used and reports whether it was
// cached.
func (e *engine) touchPrefix(prefix uint64) bool {
	index := slices.Index(e.cache, prefix)
	if index >= 0 {
		e.cache = slices.Delete(e.cache, index, index+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
	return index >= 0
}

// router simulates one router process, with its own picker and its own states of the
// engines.
type router struct {
	locality vm.Locality
	picker   *balancer.Picker
	states   []*endpoint.State
}

// simulation is a discrete-event simulation of routers and engines on one trace.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	events    events
	engines   []*engine
	routers   []*router
	latencies []time.Duration
	failed    int
	bytes     int // sent between regions
}

// schedule runs the call after a wait in simulated time.
func (s *simulation) schedule(wait time.Duration, call func()) {
	heap.Push(&s.events, event{s.now + wait, call})
}

func (s *simulation) clockTime() time.Time {
	return start.Add(s.now)
}

func (s *simulation) run(trace []arrival) {
	for _, request := range trace {
		heap.Push(&s.events, event{request.at, func() { s.attempt(request, nil) }})
	}
	s.schedule(0, s.reportLoads)
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// reportLoads sends the load of each engine to each router with a random delay, once
// a second.
func (s *simulation) reportLoads() {
	for index, engine := range s.engines {
		load := endpoint.Report{InFlight: engine.running, Waiting: len(engine.queue), Slots: engineSlots, State: vm.Live}
		for _, router := range s.routers {
			lag := 500*time.Millisecond + time.Duration(s.random.Float64()*float64(1500*time.Millisecond))
			s.schedule(lag, func() {
				load.ReceivedAt = s.clockTime()
				router.states[index].ApplyReport(load)
			})
		}
	}
	if s.now < traceLength {
		s.schedule(time.Second, s.reportLoads)
	}
}

// attempt sends the request to an endpoint, and once more to another one if it fails.
func (s *simulation) attempt(request arrival, avoid []*endpoint.State) {
	router := s.routers[request.router]
	state, ok := router.picker.Pick(router.states, balancer.Request{Now: s.clockTime(), Prefix: request.prefix, Avoid: avoid})
	if !ok {
		s.failed++
		return
	}
	engine := s.engines[slices.Index(router.states, state)]
	delay := time.Millisecond
	if engine.locality != router.locality {
		delay = regionDelay
		s.bytes += requestBytes
	}
	s.schedule(delay, func() {
		s.serve(engine, request, func(ok bool) {
			s.schedule(delay, func() { s.finish(request, state, avoid, ok) })
		})
	})
}

// serve runs the request at the engine or queues it there. It calls done at the end of
// the request, with false if the engine has its outage.
func (s *simulation) serve(engine *engine, request arrival, done func(ok bool)) {
	if engine.outage && s.now >= outageStart && s.now < outageEnd {
		s.schedule(50*time.Millisecond, func() { done(false) })
		return
	}
	start := func() {
		engine.running++
		work := time.Duration(float64(request.serviceTime) * engine.slowdown)
		if engine.touchPrefix(request.prefix) {
			work /= 2
		}
		s.schedule(work, func() { s.finishService(engine, done) })
	}
	if engine.running < engineSlots {
		start()
		return
	}
	engine.queue = append(engine.queue, start)
}

// finishService frees the slot of a request and starts the next one in the queue.
func (s *simulation) finishService(engine *engine, done func(ok bool)) {
	engine.running--
	if len(engine.queue) > 0 {
		next := engine.queue[0]
		engine.queue = engine.queue[1:]
		next()
	}
	done(true)
}

// finish records the result of an attempt and retries the request once.
func (s *simulation) finish(request arrival, state *endpoint.State, avoid []*endpoint.State, ok bool) {
	router := s.routers[request.router]
	if !ok {
		router.picker.Done(router.states, state, balancer.Failure, s.clockTime())
		if len(avoid) > 0 {
			s.failed++
			return
		}
		s.attempt(request, []*endpoint.State{state})
		return
	}
	router.picker.Done(router.states, state, balancer.Success, s.clockTime())
	s.latencies = append(s.latencies, s.now-request.at)
}

// newSimulation returns ten engines in three regions with a router in each. The
// second engine is slow, and the sixth fails from outageStart to outageEnd.
func newSimulation(makeRouter routerFactory) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(3, 4))}
	for index := range 10 {
		locality := vm.Locality{Region: regions[index%3], AvailabilityZone: regions[index%3]}
		s.engines = append(s.engines, &engine{locality: locality, slowdown: 1, outage: index == 5})
	}
	s.engines[1].slowdown = 3
	for index, region := range regions {
		locality := vm.Locality{Region: region, AvailabilityZone: region}
		newRouter := makeRouter(locality, rand.New(rand.NewPCG(5, uint64(index))))
		newRouter.locality = locality
		for _, engine := range s.engines {
			newRouter.states = append(newRouter.states, &endpoint.State{VM: vm.VM{Locality: engine.locality}})
		}
		s.routers = append(s.routers, newRouter)
	}
	return s
}

// measurements are the results of one simulation.
type measurements struct {
	Mean, P95 time.Duration
	Megabytes float64 // sent between regions
	Failed    int
}

func measure(trace []arrival, makeRouter routerFactory) measurements {
	s := newSimulation(makeRouter)
	s.run(trace)
	var sum time.Duration
	for _, latency := range s.latencies {
		sum += latency
	}
	slices.Sort(s.latencies)
	count := len(s.latencies)
	return measurements{
		Mean:      (sum / time.Duration(count)).Round(time.Millisecond),
		P95:       s.latencies[count*95/100].Round(time.Millisecond),
		Megabytes: float64(s.bytes) / 1e6,
		Failed:    s.failed,
	}
}

type routerFactory func(vm.Locality, *rand.Rand) *router

func powerOfTwoRouter(maxPrefixCostRatio float64) routerFactory {
	return func(locality vm.Locality, random *rand.Rand) *router {
		config := balancer.Defaults(locality)
		config.MaxPrefixCostRatio = maxPrefixCostRatio
		return &router{picker: balancer.New(config, random)}
	}
}

func roundRobinRouter(maxPrefixCostRatio float64) routerFactory {
	return func(locality vm.Locality, _ *rand.Rand) *router {
		config := balancer.Defaults(locality)
		config.MaxPrefixCostRatio = maxPrefixCostRatio
		return &router{picker: balancer.NewWith(config, &balancer.RoundRobin[*endpoint.State]{})}
	}
}

// TestPoliciesOnTraces simulates the same traces at three request rates with each
// policy, with and without prefix affinity. Power of two choices must be no worse than
// round robin, and affinity no worse than none, in the mean and the 95th percentile of
// the latency and in the traffic between regions.
func TestPoliciesOnTraces(t *testing.T) {
	maxPrefixCostRatio := balancer.Defaults(hall).MaxPrefixCostRatio
	tests := []struct {
		name          string
		better, worse routerFactory
	}{
		{"power of two vs round robin", powerOfTwoRouter(maxPrefixCostRatio), roundRobinRouter(maxPrefixCostRatio)},
		{"power of two vs round robin, without affinity", powerOfTwoRouter(0), roundRobinRouter(0)},
		{"power of two with vs without affinity", powerOfTwoRouter(maxPrefixCostRatio), powerOfTwoRouter(0)},
	}
	for _, gap := range []time.Duration{60 * time.Millisecond, 38 * time.Millisecond, 30 * time.Millisecond} {
		trace := generateTrace(1, gap)
		for _, test := range tests {
			got, other := measure(trace, test.better), measure(trace, test.worse)
			t.Logf("%d requests, %s: %+v, %+v", len(trace), test.name, got, other)
			if got.Mean > other.Mean || got.P95 > other.P95 || got.Megabytes > other.Megabytes {
				t.Errorf("%s: got %+v, want no more than %+v", test.name, got, other)
			}
			if got.Failed > 0 {
				t.Errorf("%s, failed requests: got %d, want 0", test.name, got.Failed)
			}
		}
	}
}
