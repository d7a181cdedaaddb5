package balancer_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/balancer"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	hall  = vm.Locality{Region: "western", AvailabilityZone: "colombo-hall"}
	depot = vm.Locality{Region: "central", AvailabilityZone: "kandy-depot"}
)

func newPicker() *balancer.Picker {
	return balancer.New(balancer.Defaults(hall), rand.New(rand.NewPCG(1, 2)))
}

func members(localities ...vm.Locality) []*endpoint.State {
	var states []*endpoint.State
	for _, locality := range localities {
		states = append(states, &endpoint.State{VM: vm.VM{Locality: locality}})
	}
	return states
}

// countPicks picks 1000 times and returns how often each member was picked.
func countPicks(picker *balancer.Picker, states []*endpoint.State, request balancer.Request) []int {
	counts := make([]int, len(states))
	for range 1000 {
		picked, ok := picker.Pick(states, request)
		if !ok {
			continue
		}
		for index, state := range states {
			if state == picked {
				counts[index]++
			}
		}
		picker.Done(states, picked, balancer.Neutral, request.Now)
	}
	return counts
}

func TestPickAvoidsEndpoint(t *testing.T) {
	tests := []struct {
		name   string
		change func(*endpoint.State, *balancer.Request)
	}{
		{"leaving", func(state *endpoint.State, _ *balancer.Request) { state.MarkLeaving(endpoint.ByResponse, start) }},
		{"ejected", func(state *endpoint.State, _ *balancer.Request) {
			state.EjectedUntil.Store(start.Add(time.Second))
		}},
		{"missed load polls", func(state *endpoint.State, _ *balancer.Request) { state.MissedPolls.Store(3) }},
		{"to avoid", func(state *endpoint.State, request *balancer.Request) {
			request.Avoid = []*endpoint.State{state}
		}},
		{"full", func(state *endpoint.State, request *balancer.Request) {
			request.MaxInFlight = 4
			state.InFlight.Store(4)
		}},
		{"another region", func(state *endpoint.State, _ *balancer.Request) { state.VM.Locality = depot }},
		{"reported load", func(state *endpoint.State, _ *balancer.Request) {
			state.Report.Store(&endpoint.Report{InFlight: 8, Slots: 8, ReceivedAt: start})
		}},
		{"own load", func(state *endpoint.State, _ *balancer.Request) { state.InFlight.Store(8) }},
		{"slow start", func(state *endpoint.State, _ *balancer.Request) { state.SlowStartSince.Store(start) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			states := members(hall, hall)
			request := balancer.Request{Now: start}
			test.change(states[0], &request)
			if got := countPicks(newPicker(), states, request); got[0] != 0 || got[1] != 1000 {
				t.Errorf("picks: got %v, want all of the second endpoint", got)
			}
		})
	}
}

func TestReportedSlotsBoundRequestsInFlight(t *testing.T) {
	tests := []struct {
		name        string
		maxInFlight int
		slots       int
		want        int
	}{
		{"no report", 5, 0, 5},
		{"few slots", 64, 2, 2 * endpoint.OpenPerSlot},
		{"many slots", 5, 100, 5},
		{"no bound of the pool", 0, 2, 2 * endpoint.OpenPerSlot},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker, states := newPicker(), members(hall)
			states[0].Report.Store(&endpoint.Report{Slots: test.slots, ReceivedAt: start})
			got := 0
			for range 20 {
				if _, ok := picker.Pick(states, balancer.Request{Now: start, MaxInFlight: test.maxInFlight}); ok {
					got++
				}
			}
			if got != test.want {
				t.Errorf("requests in flight: got %d, want %d", got, test.want)
			}
		})
	}
}

func TestPickFallsBackToLastResort(t *testing.T) {
	states := members(hall)
	states[0].MissedPolls.Store(3)
	request := balancer.Request{Now: start, Avoid: states}
	if got, ok := newPicker().Pick(states, request); !ok || got != states[0] {
		t.Errorf("pick: got %v, %t, want the only member", got, ok)
	}
}

func TestPickUsesAnotherRegionUnderLoad(t *testing.T) {
	states := members(hall, depot)
	states[0].InFlight.Store(9)
	if got := countPicks(newPicker(), states, balancer.Request{Now: start}); got[1] != 1000 {
		t.Errorf("picks: got %v, want all of the other region", got)
	}
}

func TestOwnRequestsInReportCountOnce(t *testing.T) {
	states := members(hall, hall)
	states[0].InFlight.Store(6)
	states[0].ApplyReport(endpoint.Report{InFlight: 6, Slots: 8, ReceivedAt: start})
	states[1].InFlight.Store(7)
	if got := countPicks(newPicker(), states, balancer.Request{Now: start}); got[0] != 1000 {
		t.Errorf("picks: got %v, want all of the first", got)
	}
}

func TestPrefixAffinityEndsUnderLoad(t *testing.T) {
	tests := []struct {
		inFlight int64
		want     bool
	}{{0, true}, {1, true}, {2, false}}
	for _, test := range tests {
		picker := newPicker()
		states := members(hall, hall, hall, hall)
		request := balancer.Request{Now: start, Prefix: 7}
		first, _ := picker.Pick(states, request)
		picker.Done(states, first, balancer.Success, start)
		first.InFlight.Store(test.inFlight)
		second, _ := picker.Pick(states, request)
		if got := first == second; got != test.want {
			t.Errorf("same endpoint with %d in flight: got %t, want %t", test.inFlight, got, test.want)
		}
	}
}

func TestAffinityCacheIsBounded(t *testing.T) {
	cache := balancer.NewAffinityCache[int, int](2)
	cache.Put(1, 10)
	cache.Put(2, 20)
	cache.Get(1)
	cache.Put(3, 30)
	if _, ok := cache.Get(2); ok || cache.Len() != 2 {
		t.Errorf("least recently used: got it with %d keys, want it evicted and 2", cache.Len())
	}
	if got, ok := cache.Get(1); !ok || got != 10 {
		t.Errorf("recently used: got %d, %t, want 10", got, ok)
	}
}

// failRepeatedly records as many failures of the endpoint as eject it.
func failRepeatedly(picker *balancer.Picker, states []*endpoint.State, state *endpoint.State, now time.Time) {
	for range 3 {
		state.Acquire(0)
		picker.Done(states, state, balancer.Failure, now)
	}
}

func TestEjectionAndTrial(t *testing.T) {
	tests := []struct {
		name   string
		result balancer.Result
		until  time.Duration
	}{
		{"trial succeeds", balancer.Success, 0},
		{"trial fails", balancer.Failure, 6 * time.Second},
		{"trial result is neutral", balancer.Neutral, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker := newPicker()
			states := members(hall, hall)
			states[0].Acquire(0)
			failRepeatedly(picker, states, states[0], start)
			picker.Done(states, states[0], balancer.Failure, start)
			if got := states[0].EjectedUntil.Load(); !got.Equal(start.Add(2 * time.Second)) {
				t.Fatalf("ejected until: got %s, want 2 s on", got)
			}
			states[1].InFlight.Store(100)
			trial := start.Add(2 * time.Second)
			first, _ := picker.Pick(states, balancer.Request{Now: trial})
			second, _ := picker.Pick(states, balancer.Request{Now: trial})
			if first != states[0] || second != states[1] {
				t.Fatal("trial requests: got none or two, want one")
			}
			picker.Done(states, first, test.result, trial)
			var want time.Time
			if test.until != 0 {
				want = start.Add(test.until)
			}
			if got := states[0].EjectedUntil.Load(); !got.Equal(want) || states[0].TrialInFlight.Load() {
				t.Errorf("ejected until: got %s, want %s and no trial", got, want)
			}
		})
	}
}

func TestClassify(t *testing.T) {
	tests := []struct {
		name     string
		response *endpoint.Response
		err      error
		want     balancer.Result
	}{
		{"success", &endpoint.Response{Status: 200}, nil, balancer.Success},
		{"client error", &endpoint.Response{Status: 400}, nil, balancer.Success},
		{"server error", &endpoint.Response{Status: 500}, nil, balancer.Failure},
		{"refused", &endpoint.Response{Status: 503, ResponseInfo: endpoint.ResponseInfo{Run: journal.NotRun}}, nil, balancer.Neutral},
		{"leaving", &endpoint.Response{Status: 503, ResponseInfo: endpoint.ResponseInfo{Leaving: true}}, nil, balancer.Neutral},
		{"no response", nil, &endpoint.CallError{Inactive: true}, balancer.Failure},
		{"canceled by the caller", nil, &endpoint.CallError{Canceled: true}, balancer.Neutral},
	}
	for _, test := range tests {
		if got := balancer.Classify(test.response, test.err); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

func TestEjectedShareIsBounded(t *testing.T) {
	picker := newPicker()
	states := members(hall, hall, hall, hall, hall)
	ejected := 0
	for _, state := range states {
		failRepeatedly(picker, states, state, start)
		if !state.EjectedUntil.Load().IsZero() {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("ejected: got %d of 5, want 2", ejected)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 50} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			picker := newPicker()
			var localities []vm.Locality
			for index := range count {
				localities = append(localities, []vm.Locality{hall, depot}[index%2])
			}
			states := members(localities...)
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				state, _ := picker.Pick(states, balancer.Request{Now: start, Prefix: uint64(index%5000 + 1)})
				picker.Done(states, state, balancer.Success, start)
			}
		})
	}
}

// TestEjectionUsesMonotonicClock guards against ejections measured by the wall clock:
// after a clock step they would end too late by the size of the step.
func TestEjectionUsesMonotonicClock(t *testing.T) {
	picker := newPicker()
	states := members(hall, hall)
	failRepeatedly(picker, states, states[0], time.Now())
	if got := states[0].EjectedUntil.Load().String(); !strings.Contains(got, " m=") {
		t.Errorf("ejected until: got %s, want a monotonic clock reading", got)
	}
}
