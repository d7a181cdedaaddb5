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
	begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	hall  = vm.Locality{Region: "western", AvailabilityZone: "colombo-hall"}
	depot = vm.Locality{Region: "central", AvailabilityZone: "kandy-depot"}
)

func newPicker() *balancer.Picker {
	return balancer.New(balancer.Defaults(hall), rand.New(rand.NewPCG(1, 2)))
}

func members(places ...vm.Locality) []*endpoint.State {
	var states []*endpoint.State
	for _, place := range places {
		states = append(states, &endpoint.State{VM: vm.VM{Locality: place}})
	}
	return states
}

// shares picks many times and returns how often each member was picked.
func shares(picker *balancer.Picker, states []*endpoint.State, request balancer.Request) []int {
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

func TestPickLeavesOut(t *testing.T) {
	tests := []struct {
		name   string
		change func(*endpoint.State, *balancer.Request)
	}{
		{"leaving", func(state *endpoint.State, _ *balancer.Request) { state.MarkLeaving(endpoint.ByResponse, begin) }},
		{"ejected", func(state *endpoint.State, _ *balancer.Request) {
			state.EjectedUntil.Store(begin.Add(time.Second))
		}},
		{"misses polls", func(state *endpoint.State, _ *balancer.Request) { state.MissedPolls.Store(3) }},
		{"to avoid", func(state *endpoint.State, request *balancer.Request) {
			request.Avoid = []*endpoint.State{state}
		}},
		{"full", func(state *endpoint.State, request *balancer.Request) {
			request.MaxInFlight = 4
			state.InFlight.Store(4)
		}},
		{"another region", func(state *endpoint.State, _ *balancer.Request) { state.VM.Locality = depot }},
		{"reported load", func(state *endpoint.State, _ *balancer.Request) {
			state.Report.Store(&endpoint.Report{InFlight: 8, Slots: 8, ReceivedAt: begin})
		}},
		{"own load", func(state *endpoint.State, _ *balancer.Request) { state.InFlight.Store(8) }},
		{"just added", func(state *endpoint.State, _ *balancer.Request) { state.SlowStartSince.Store(begin) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			states := members(hall, hall)
			request := balancer.Request{Now: begin}
			test.change(states[0], &request)
			if got := shares(newPicker(), states, request); got[0] != 0 || got[1] != 1000 {
				t.Errorf("picks: got %v, want all of the second", got)
			}
		})
	}
}

func TestReportedSlotsBoundOpenRequests(t *testing.T) {
	tests := []struct {
		name     string
		declared int
		slots    int
		want     int
	}{
		{"no report", 5, 0, 5},
		{"few slots", 64, 2, 2 * endpoint.OpenPerSlot},
		{"many slots", 5, 100, 5},
		{"nothing declared", 0, 2, 2 * endpoint.OpenPerSlot},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker, states := newPicker(), members(hall)
			states[0].Report.Store(&endpoint.Report{Slots: test.slots, ReceivedAt: begin})
			got := 0
			for range 20 {
				if _, ok := picker.Pick(states, balancer.Request{Now: begin, MaxInFlight: test.declared}); ok {
					got++
				}
			}
			if got != test.want {
				t.Errorf("open requests: got %d, want %d", got, test.want)
			}
		})
	}
}

func TestPickTakesLastResort(t *testing.T) {
	states := members(hall)
	states[0].MissedPolls.Store(3)
	request := balancer.Request{Now: begin, Avoid: states}
	if got, ok := newPicker().Pick(states, request); !ok || got != states[0] {
		t.Errorf("pick: got %v, %t, want the only member", got, ok)
	}
}

func TestPickGoesFartherUnderLoad(t *testing.T) {
	states := members(hall, depot)
	states[0].InFlight.Store(9)
	if got := shares(newPicker(), states, balancer.Request{Now: begin}); got[1] != 1000 {
		t.Errorf("picks: got %v, want all of the other region", got)
	}
}

func TestOwnRequestsOfReportCountOnce(t *testing.T) {
	states := members(hall, hall)
	states[0].InFlight.Store(6)
	states[0].ApplyReport(endpoint.Report{InFlight: 6, Slots: 8, ReceivedAt: begin})
	states[1].InFlight.Store(7)
	if got := shares(newPicker(), states, balancer.Request{Now: begin}); got[0] != 1000 {
		t.Errorf("picks: got %v, want all of the first", got)
	}
}

func TestPrefixStaysUnlessLoaded(t *testing.T) {
	tests := []struct {
		open int64
		want bool
	}{{0, true}, {1, true}, {2, false}}
	for _, test := range tests {
		picker := newPicker()
		states := members(hall, hall, hall, hall)
		request := balancer.Request{Now: begin, Prefix: 7}
		first, _ := picker.Pick(states, request)
		picker.Done(states, first, balancer.Success, begin)
		first.InFlight.Store(test.open)
		second, _ := picker.Pick(states, request)
		if got := first == second; got != test.want {
			t.Errorf("same endpoint with %d open: got %t, want %t", test.open, got, test.want)
		}
	}
}

func TestAffinityIsBounded(t *testing.T) {
	memory := balancer.NewAffinity[int, int](2)
	memory.Put(1, 10)
	memory.Put(2, 20)
	memory.Get(1)
	memory.Put(3, 30)
	if _, ok := memory.Get(2); ok || memory.Len() != 2 {
		t.Errorf("least recently used: got it with %d keys, want it forgotten and 2", memory.Len())
	}
	if got, ok := memory.Get(1); !ok || got != 10 {
		t.Errorf("recently used: got %d, %t, want 10", got, ok)
	}
}

// fail lets the endpoint fail as often as it takes to eject it.
func fail(picker *balancer.Picker, states []*endpoint.State, state *endpoint.State, now time.Time) {
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
		{"trial tells nothing", balancer.Neutral, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker := newPicker()
			states := members(hall, hall)
			states[0].Acquire(0)
			fail(picker, states, states[0], begin)
			picker.Done(states, states[0], balancer.Failure, begin)
			if got := states[0].EjectedUntil.Load(); !got.Equal(begin.Add(2 * time.Second)) {
				t.Fatalf("ejected until: got %s, want 2 s on", got)
			}
			states[1].InFlight.Store(100)
			trial := begin.Add(2 * time.Second)
			first, _ := picker.Pick(states, balancer.Request{Now: trial})
			second, _ := picker.Pick(states, balancer.Request{Now: trial})
			if first != states[0] || second != states[1] {
				t.Fatal("trial: got none or a second one, want one")
			}
			picker.Done(states, first, test.result, trial)
			var want time.Time
			if test.until != 0 {
				want = begin.Add(test.until)
			}
			if got := states[0].EjectedUntil.Load(); !got.Equal(want) || states[0].Trial.Load() {
				t.Errorf("ejected until: got %s, want %s and no trial", got, want)
			}
		})
	}
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		answer *endpoint.Response
		err    error
		want   balancer.Result
	}{
		{"answered", &endpoint.Response{Status: 200}, nil, balancer.Success},
		{"caller's mistake", &endpoint.Response{Status: 400}, nil, balancer.Success},
		{"error", &endpoint.Response{Status: 500}, nil, balancer.Failure},
		{"refused", &endpoint.Response{Status: 503, ResponseInfo: endpoint.ResponseInfo{Run: journal.NotRun}}, nil, balancer.Neutral},
		{"leaving", &endpoint.Response{Status: 503, ResponseInfo: endpoint.ResponseInfo{Leaving: true}}, nil, balancer.Neutral},
		{"silent", nil, &endpoint.CallError{Inactive: true}, balancer.Failure},
		{"caller gave up", nil, &endpoint.CallError{Canceled: true}, balancer.Neutral},
	}
	for _, test := range tests {
		if got := balancer.Classify(test.answer, test.err); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

func TestEjectedShareIsBounded(t *testing.T) {
	picker := newPicker()
	states := members(hall, hall, hall, hall, hall)
	ejected := 0
	for _, state := range states {
		fail(picker, states, state, begin)
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
			var places []vm.Locality
			for index := range count {
				places = append(places, []vm.Locality{hall, depot}[index%2])
			}
			states := members(places...)
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				state, _ := picker.Pick(states, balancer.Request{Now: begin, Prefix: uint64(index%5000 + 1)})
				picker.Done(states, state, balancer.Success, begin)
			}
		})
	}
}

// Waits are measured by the steady clock: after a jump of the time of day an
// ejection would else last as long as the jump.
func TestEjectionKeepsTheSteadyClock(t *testing.T) {
	picker := newPicker()
	states := members(hall, hall)
	fail(picker, states, states[0], time.Now())
	if got := states[0].EjectedUntil.Load().String(); !strings.Contains(got, " m=") {
		t.Errorf("ejected until: got %s, want a reading of the steady clock", got)
	}
}
