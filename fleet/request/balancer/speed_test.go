package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/balancer"
)

const (
	speedRouters = 12
	// speedStep is the time between two requests of a router.
	speedStep   = 25 * time.Millisecond
	usualWork   = 300 * time.Millisecond
	speedRun    = 20 * time.Second
	speedPrompt = 2_000
	noPrompt    = 0
)

// unevenEngine is an engine or a plain endpoint that works at a speed of its own.
type unevenEngine struct {
	// factor returns how long work takes at the time, relative to usual.
	factor func(at time.Duration) float64
	// reported returns what the engine reports, if that differs from factor.
	reported func(at time.Duration) float64
	// silent engines report no speed.
	silent bool
}

func constant(value float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return value }
}

// unevenRequest is a request in progress.
type unevenRequest struct {
	router, engine int
	until          time.Duration
	started        func()
}

// unevenRun is the result of serving with uneven engines.
type unevenRun struct {
	// served has the number of requests of each engine.
	served []int
	// meanWork is the mean duration of a request.
	meanWork time.Duration
}

// serveUneven has 12 routers send a request each 25 ms, and report to the router that sent
// it the speed of the engine at the end of each. A prompt size of zero makes the engines
// plain endpoints.
func serveUneven(engines []unevenEngine, promptTokens int64) unevenRun {
	var pickers []*balancer.Picker
	var states [][]*endpoint.State
	for index := range speedRouters {
		pickers = append(pickers, balancer.New(balancer.Defaults(hall), rand.New(rand.NewPCG(9, uint64(index)))))
		var own []*endpoint.State
		for number := range engines {
			own = append(own, &endpoint.State{VM: vm.VM{Name: fmt.Sprint("engine-", number), Locality: hall}})
		}
		states = append(states, own)
	}
	run := unevenRun{served: make([]int, len(engines))}
	var open []unevenRequest
	var work time.Duration
	total := 0
	for at := time.Duration(0); at < speedRun; at += speedStep {
		var remaining []unevenRequest
		for _, request := range open {
			if at < request.until {
				remaining = append(remaining, request)
				continue
			}
			state := states[request.router][request.engine]
			request.started()
			pickers[request.router].Done(states[request.router], state, balancer.Success, start.Add(at))
			if engine := engines[request.engine]; !engine.silent {
				state.Speed.Observe(engine.report(at), start.Add(at))
			}
		}
		open = remaining
		for router := range speedRouters {
			state, ok := pickers[router].Pick(states[router], balancer.Request{Now: start.Add(at), PromptTokens: promptTokens})
			if !ok {
				continue
			}
			engine := indexOf(states[router], state)
			duration := time.Duration(float64(usualWork) * engines[engine].factor(at))
			open = append(open, unevenRequest{router, engine, at + duration, state.TrackPending(promptTokens)})
			run.served[engine]++
			work += duration
			total++
		}
	}
	run.meanWork = work / time.Duration(total)
	return run
}

func (e unevenEngine) report(at time.Duration) float64 {
	if e.reported != nil {
		return e.reported(at)
	}
	return e.factor(at)
}

func indexOf(states []*endpoint.State, wanted *endpoint.State) int {
	for index, state := range states {
		if state == wanted {
			return index
		}
	}
	return -1
}

// silenced returns the engines without their reports of speed.
func silenced(engines []unevenEngine) []unevenEngine {
	var silent []unevenEngine
	for _, engine := range engines {
		engine.silent = true
		silent = append(silent, engine)
	}
	return silent
}

var promptSizes = map[string]int64{"engines": speedPrompt, "plain endpoints": noPrompt}

// One endpoint works at the usual speed and five at a third of it.
func TestOneFastAndFiveSlowEndpoints(t *testing.T) {
	engines := []unevenEngine{{factor: constant(1)}}
	for range 5 {
		engines = append(engines, unevenEngine{factor: constant(3)})
	}
	for name, promptTokens := range promptSizes {
		t.Run(name, func(t *testing.T) {
			got, without := serveUneven(engines, promptTokens), serveUneven(silenced(engines), promptTokens)
			if got.meanWork >= without.meanWork {
				t.Errorf("mean duration: got %s, want less than %s without reports of speed", got.meanWork, without.meanWork)
			}
			for index, served := range got.served[1:] {
				if served == 0 {
					t.Errorf("slow endpoint %d: got no requests, want some, which show when it is fast again", index+1)
				}
			}
		})
	}
}

// Every endpoint is slow in 15 of 100 intervals of 100 ms, and a report is several of them
// old when it is used.
func TestSpeedThatChangesTenTimesASecond(t *testing.T) {
	var engines []unevenEngine
	for index := range 12 {
		random := rand.New(rand.NewPCG(3, uint64(index)))
		var factors []float64
		for range speedRun/(100*time.Millisecond) + 1 {
			factor := 1.0
			if random.Float64() < 0.15 {
				factor = 2.5
			}
			factors = append(factors, factor)
		}
		engines = append(engines, unevenEngine{factor: func(at time.Duration) float64 { return factors[at/(100*time.Millisecond)] }})
	}
	for name, promptTokens := range promptSizes {
		t.Run(name, func(t *testing.T) {
			got, without := serveUneven(engines, promptTokens), serveUneven(silenced(engines), promptTokens)
			if limit := without.meanWork * 103 / 100; got.meanWork > limit {
				t.Errorf("mean duration: got %s, want at most 3%% more than %s without reports of speed", got.meanWork, without.meanWork)
			}
			least, most := got.served[0], got.served[0]
			for _, served := range got.served {
				least, most = min(least, served), max(most, served)
			}
			if most > 2*least {
				t.Errorf("requests of equal endpoints: got from %d to %d, want at most twice as many", least, most)
			}
		})
	}
}

// All routers hold the same report, five seconds old, that one of 90 endpoints is fast.
func TestAllRoutersHoldTheSameOldReport(t *testing.T) {
	for name, promptTokens := range promptSizes {
		t.Run(name, func(t *testing.T) {
			const endpoints, routers = 90, 60
			toFast := 0
			for router := range routers {
				picker := balancer.New(balancer.Defaults(hall), rand.New(rand.NewPCG(4, uint64(router))))
				var states []*endpoint.State
				for index := range endpoints {
					state := &endpoint.State{VM: vm.VM{Name: fmt.Sprint("engine-", index), Locality: hall}}
					state.Speed.Observe(1, start)
					states = append(states, state)
				}
				// An endpoint in the middle, since all routers pick the first of equal ones.
				for range 10 {
					states[endpoints/2].Speed.Observe(0.5, start)
				}
				state, ok := picker.Pick(states, balancer.Request{Now: start.Add(5 * time.Second), PromptTokens: promptTokens})
				if ok && state == states[endpoints/2] {
					toFast++
				}
			}
			if limit := routers / 10; toFast > limit {
				t.Errorf("requests of %d routers to the fast endpoint at once: got %d, want at most %d", routers, toFast, limit)
			}
		})
	}
}

// An endpoint reports that it is a hundred times as fast as usual, but takes three times as
// long.
func TestEndpointThatLiesAboutItsSpeed(t *testing.T) {
	engines := []unevenEngine{{factor: constant(3), reported: constant(0.01)}}
	for range 11 {
		engines = append(engines, unevenEngine{factor: constant(1)})
	}
	for name, promptTokens := range promptSizes {
		t.Run(name, func(t *testing.T) {
			got := serveUneven(engines, promptTokens)
			total := 0
			for _, served := range got.served {
				total += served
			}
			if mean := total / len(engines); got.served[0] > 2*mean {
				t.Errorf("requests of the endpoint: got %d, want at most twice the mean of %d", got.served[0], mean)
			}
		})
	}
}
