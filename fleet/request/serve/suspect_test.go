package serve_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quarantine"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/retry"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
)

// deadlyPart is the part of prompts under which the endpoints of a crashFleet crash.
const deadlyPart = quarantine.Part("deadly")

// crashFleet has routers in front of endpoints that crash, with a clock that the test
// advances. The routers know at once what each of them observes.
type crashFleet struct {
	harness *harness
	clock   *clock.Fake
	table   *endpoint.Table
	tracker *quarantine.Tracker
	routers []*serve.Runner
	servers []*httptest.Server
	// faulty is the index of an endpoint that crashes on every request, or -1.
	faulty int
	// crashesAfter is what an endpoint sends before it crashes.
	crashesAfter string
	// renamed gives an endpoint a new name when it starts again.
	renamed bool

	mu       sync.Mutex
	crashes  []int
	requests int
}

// newCrashFleet returns routers and endpoints whose requests start at most maxStarted times.
func newCrashFleet(t *testing.T, routers, endpoints, maxStarted int) *crashFleet {
	t.Helper()
	f := &crashFleet{
		harness: newHarness(t, http.NotFound),
		clock:   clock.NewFake(),
		tracker: quarantine.New(quarantine.Defaults()),
		faulty:  -1,
		crashes: make([]int, endpoints),
	}
	f.harness.plan.Streamed, f.harness.plan.Resumable, f.harness.plan.MaxStarted = true, maxStarted > 1, maxStarted
	f.table = endpoint.NewTable(endpoint.Defaults(vm.Locality{}, "self"), f.clock)
	for index := range endpoints {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { f.serve(index, writer, request) }))
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
	}
	for range routers {
		router := *f.harness.runner
		router.Clock, router.Endpoints, router.Prompts = f.clock, f.table, f
		router.Picker = balancer.New(balancer.Defaults(vm.Locality{}), rand.New(rand.NewPCG(1, 2)))
		router.Slots = serve.NewSlots(f.clock, f.table, time.Minute)
		router.RetryPolicy = retry.Policy{MaxAttempts: maxStarted}
		router.RetryBudgets = retry.NewBudgets(retry.BudgetDefaults(), f.clock)
		f.routers = append(f.routers, &router)
	}
	return f
}

// serve answers a request at the endpoint with the index, or crashes the endpoint.
func (f *crashFleet) serve(index int, writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	if request.Header.Get("Deadly") == "" && index != f.faulty {
		_, _ = writer.Write([]byte(numbered(1)))
		return
	}
	f.mu.Lock()
	f.crashes[index]++
	f.mu.Unlock()
	if f.crashesAfter != "" {
		_, _ = writer.Write([]byte(f.crashesAfter))
		_ = http.NewResponseController(writer).Flush()
	}
	panic(http.ErrAbortHandler)
}

// total returns the number of crashes.
func (f *crashFleet) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, count := range f.crashes {
		total += count
	}
	return total
}

// absence is how long an endpoint is gone after a crash.
const absence = 2 * time.Second

// advance advances the clock by the pause, in which endpoints that crashed start again.
func (f *crashFleet) advance(pause time.Duration) {
	f.clock.Advance(absence)
	f.restart()
	f.clock.Advance(pause - absence)
	f.tracker.Expire(f.clock.Now())
}

// restart lists all endpoints, those that crashed as new incarnations.
func (f *crashFleet) restart() {
	var list []vm.VM
	for index, server := range f.servers {
		started := listed(fmt.Sprint("runner-", index), server)
		f.mu.Lock()
		started.Incarnation = fmt.Sprint(f.crashes[index])
		f.mu.Unlock()
		if f.renamed {
			started.Name += "-" + started.Incarnation
		}
		list = append(list, started)
	}
	f.table.Update(list, []declaration.Pool{f.harness.plan.Pool})
}

// send sends a prompt with the parts through the routers in turn.
func (f *crashFleet) send(t *testing.T, parts ...quarantine.Part) error {
	t.Helper()
	f.requests++
	header := http.Header{}
	for _, part := range parts {
		if part == deadlyPart {
			header.Set("Deadly", "1")
		}
	}
	router := f.routers[f.requests%len(f.routers)]
	f.harness.balance.Add(f.harness.plan.Reserve)
	return router.Run(t.Context(), serve.Job{
		Request: ident.Request(fmt.Sprint("self-", f.requests)), Plan: f.harness.plan,
		Call:  endpoint.Call{Method: http.MethodPost, Path: "/", Header: header},
		Relay: &serve.EventStream{MaxBytes: 1 << 20}, Parts: parts,
		PrefixHash: 7, PromptTokens: 6_000, PrefixTokens: 5_000,
	}, &sink{})
}

// View implements serve.PromptMonitor.
func (f *crashFleet) View() *quarantine.View { return f.tracker.View() }

// ReportFailure implements serve.PromptMonitor.
func (f *crashFleet) ReportFailure(failure quarantine.Failure) { f.tracker.Add(failure, f.clock.Now()) }

// ReportWhole implements serve.PromptMonitor.
func (f *crashFleet) ReportWhole(parts []quarantine.Part) {
	for _, part := range parts {
		f.tracker.Clear(quarantine.Whole{Part: part}, f.clock.Now())
	}
}

// TestRarePromptsThatCrashEndpointsAreStopped guards against a part that crashes the same
// endpoint without end: requests with it are so rare that the endpoint is back before the
// next one, which the prefix affinity sends there again.
func TestRarePromptsThatCrashEndpointsAreStopped(t *testing.T) {
	const allowed = 5
	tests := []struct {
		name                           string
		routers, endpoints, maxStarted int
		pause                          time.Duration
		after                          string
		renamed                        bool
	}{
		{"every 5 s", 1, 9, 1, 5 * time.Second, "", false},
		{"every 7.5 s at three routers", 3, 9, 1, 7500 * time.Millisecond, "", false},
		{"every 20 s", 3, 9, 1, 20 * time.Second, "", false},
		{"after the first event", 3, 9, 1, 7500 * time.Millisecond, numbered(1), false},
		{"with two attempts", 3, 9, 2, 7500 * time.Millisecond, "", false},
		{"after the first event, with two attempts", 3, 9, 2, 7500 * time.Millisecond, numbered(1), false},
		{"at endpoints with a new name after each crash", 3, 9, 1, 7500 * time.Millisecond, "", true},
		{"at two endpoints", 3, 2, 1, 7500 * time.Millisecond, "", false},
		{"at one endpoint", 3, 1, 1, 7500 * time.Millisecond, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newCrashFleet(t, test.routers, test.endpoints, test.maxStarted)
			f.crashesAfter, f.renamed = test.after, test.renamed
			for sent := time.Duration(0); sent < quarantine.DefaultMemory; sent += test.pause {
				f.advance(test.pause)
				if err := f.send(t, "shared", deadlyPart); err == nil {
					t.Fatal("prompt with the part: got a whole response, want an error")
				}
				if err := f.send(t, "shared", "sound"); err != nil {
					t.Errorf("sound prompt: got %v, want no error", err)
				}
			}
			if got := f.total(); got > allowed {
				t.Errorf("crashes: got %d, want at most %d", got, allowed)
			}
		})
	}
}

// TestLongSeriesOfPromptsThatCrashEndpoints guards against a quarantine that ends again and
// again while requests with the part keep coming, and lets three of them crash endpoints each
// time. Three are allowed after the fifth crash.
func TestLongSeriesOfPromptsThatCrashEndpoints(t *testing.T) {
	for _, endpoints := range []int{1, 2, 9} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			f := newCrashFleet(t, 3, endpoints, 1)
			const pause, length = 20 * time.Second, time.Hour
			for sent := time.Duration(0); sent < length; sent += pause {
				f.advance(pause)
				if err := f.send(t, "shared", deadlyPart); err == nil {
					t.Fatal("prompt with the part: got a whole response, want an error")
				}
				if err := f.send(t, "shared", "sound"); err != nil {
					t.Errorf("sound prompt: got %v, want no error", err)
				}
			}
			if got, want := f.total(), 5+3; got > want {
				t.Errorf("crashes in %v: got %d, want at most %d", length, got, want)
			}
		})
	}
}

// TestSoundPromptsAtAFaultyEndpoint guards against sound parts that are quarantined, or sent
// to a faulty endpoint again and again, because of the crashes of that endpoint alone.
func TestSoundPromptsAtAFaultyEndpoint(t *testing.T) {
	for _, endpoints := range []int{2, 3, 9} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			f := newCrashFleet(t, 3, endpoints, 1)
			const topics, rounds = 4, 10
			served := 0
			for faulty := range endpoints {
				f.faulty = faulty
				for number := range topics * rounds {
					f.advance(5 * time.Second)
					err := f.send(t, "shared", quarantine.Part(fmt.Sprint("topic-", faulty, "-", number%topics)))
					var refused *outcome.Error
					if errors.As(err, &refused) && refused.Code == outcome.Quarantined {
						t.Errorf("sound prompt %d: got %v, want it served or failed", number, err)
					}
					if err == nil {
						served++
					}
				}
			}
			if want := endpoints * topics * rounds * 3 / 4; served < want {
				t.Errorf("served prompts: got %d, want at least %d", served, want)
			}
		})
	}
}
