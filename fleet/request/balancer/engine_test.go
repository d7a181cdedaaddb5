package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/request/balancer"
)

// named gives the members names, by which a prefix finds its holder.
func named(states []*endpoint.State) []*endpoint.State {
	for index, state := range states {
		state.VM.Name = "engine-" + strconv.Itoa(index)
	}
	return states
}

var prompt = balancer.Request{Now: begin, Prefix: 42, PromptTokens: 12_000, PrefixTokens: 5_000}

func TestRoutersAgreeOnTheHolderOfAPrefix(t *testing.T) {
	states := named(members(hall, hall, depot, depot, hall))
	first, _ := newPicker().Pick(states, prompt)
	second, _ := balancer.New(balancer.Defaults(depot), nil).Pick(states, prompt)
	if first != second {
		t.Errorf("holder: got %s and %s, want the same", first.VM.Name, second.VM.Name)
	}
}

// A zone that sends most of the prompts must not overload its own engines: each
// prompt takes a quarter of a second to read.
func TestPromptsSpreadBeforeTheyQueue(t *testing.T) {
	states := named(members(hall, depot, depot))
	picker := newPicker()
	for index := range 30 {
		request := balancer.Request{Now: begin, Prefix: uint64(index + 1), PromptTokens: 12_000}
		picked, ok := picker.Pick(states, request)
		if !ok {
			t.Fatal("no engine was picked")
		}
		picked.TrackPending(request.PromptTokens)
	}
	for _, state := range states {
		if got, want := state.PendingPromptTokens.Load(), int64(14*12_000); got > want {
			t.Errorf("%s: got %d unread tokens, want at most %d", state.VM.Name, got, want)
		}
	}
}

func TestWaitingRequestsOfOtherRoutersCount(t *testing.T) {
	states := named(members(hall, hall))
	holder, _ := newPicker().Pick(states, prompt)
	holder.Report.Store(&endpoint.Report{Waiting: 20, Slots: 64, ReceivedAt: begin})
	if got, _ := newPicker().Pick(states, prompt); got == holder {
		t.Error("an engine with 20 requests waiting was picked for a prefix")
	}
	late := prompt
	late.Now = begin.Add(time.Minute)
	if got, _ := newPicker().Pick(states, late); got != holder {
		t.Error("a report from a minute ago kept a request from its holder")
	}
}

func TestSendCountsUntilTheAnswerBegins(t *testing.T) {
	state := members(hall)[0]
	begun := state.TrackPending(100)
	begun()
	begun()
	if got := state.PendingPromptTokens.Load(); got != 0 {
		t.Errorf("unread: got %d, want 0", got)
	}
}
