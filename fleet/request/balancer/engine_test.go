package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/request/balancer"
)

// withNames names the members, because rendezvous hashing ranks endpoints by name.
func withNames(states []*endpoint.State) []*endpoint.State {
	for index, state := range states {
		state.VM.Name = "engine-" + strconv.Itoa(index)
	}
	return states
}

var promptRequest = balancer.Request{Now: start, Prefix: 42, PromptTokens: 12_000, PrefixTokens: 5_000}

func TestRoutersAgreeOnEngineForPrefix(t *testing.T) {
	states := withNames(members(hall, hall, depot, depot, hall))
	first, _ := newPicker().Pick(states, promptRequest)
	second, _ := balancer.New(balancer.Defaults(depot), nil).Pick(states, promptRequest)
	if first != second {
		t.Errorf("engine for the prefix: got %s and %s, want the same", first.VM.Name, second.VM.Name)
	}
}

// TestLongPromptsSpreadOverEngines guards against overloading the engines of the
// availability zone that sends most prompts. Each prompt takes about a quarter of a
// second of prefill, so that queueing costs more than the delay to another region.
func TestLongPromptsSpreadOverEngines(t *testing.T) {
	states := withNames(members(hall, depot, depot))
	picker := newPicker()
	for index := range 30 {
		request := balancer.Request{Now: start, Prefix: uint64(index + 1), PromptTokens: 12_000}
		picked, ok := picker.Pick(states, request)
		if !ok {
			t.Fatal("no engine was picked")
		}
		picked.TrackPending(request.PromptTokens)
	}
	for _, state := range states {
		if got, want := state.PendingPromptTokens.Load(), int64(14*12_000); got > want {
			t.Errorf("%s: got %d pending prompt tokens, want at most %d", state.VM.Name, got, want)
		}
	}
}

func TestWaitingRequestsOfOtherRoutersAddLoad(t *testing.T) {
	states := withNames(members(hall, hall))
	prefixEngine, _ := newPicker().Pick(states, promptRequest)
	prefixEngine.Report.Store(&endpoint.Report{Waiting: 20, Slots: 64, ReceivedAt: start})
	if got, _ := newPicker().Pick(states, promptRequest); got == prefixEngine {
		t.Error("the engine for the prefix was picked with 20 requests waiting there")
	}
	later := promptRequest
	later.Now = start.Add(time.Minute)
	if got, _ := newPicker().Pick(states, later); got != prefixEngine {
		t.Error("a load report from a minute ago kept a request from the engine for its prefix")
	}
}

func TestTrackPendingCountsPromptTokensUntilResponseBegins(t *testing.T) {
	state := members(hall)[0]
	markResponseBegun := state.TrackPending(100)
	markResponseBegun()
	markResponseBegun()
	if got := state.PendingPromptTokens.Load(); got != 0 {
		t.Errorf("pending prompt tokens: got %d, want 0", got)
	}
}
