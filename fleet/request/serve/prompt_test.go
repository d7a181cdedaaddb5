package serve_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/quarantine"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
)

// prompts is a PromptMonitor that applies reports at once and keeps them.
type prompts struct {
	tracker  *quarantine.Tracker
	failures []quarantine.Failure
	whole    []quarantine.Part
}

func (p *prompts) View() *quarantine.View { return p.tracker.View() }

func (p *prompts) ReportFailure(failure quarantine.Failure) {
	p.failures = append(p.failures, failure)
	p.tracker.Add(failure, time.Unix(0, 0))
}

func (p *prompts) ReportWhole(parts []quarantine.Part) {
	p.whole = append(p.whole, parts...)
	for _, part := range parts {
		p.tracker.Clear(quarantine.Whole{Part: part}, time.Unix(0, 0))
	}
}

// newPromptHarness returns a harness whose monitor knows failures of other requests with
// the part "topic" at the given endpoints.
func newPromptHarness(t *testing.T, failedAt []string, responses ...scriptedResponse) (*harness, *script, *prompts) {
	t.Helper()
	made, script := newEventHarness(t, responses...)
	monitor := &prompts{tracker: quarantine.New(quarantine.Defaults())}
	for _, name := range failedAt {
		failure := quarantine.Failure{Request: ident.Request("other-" + name), Endpoint: name, Parts: []quarantine.Part{"topic"}}
		monitor.tracker.Add(failure, time.Unix(0, 0))
	}
	made.runner.Prompts = monitor
	return made, script, monitor
}

func (h *harness) runPrompt(t *testing.T) error {
	t.Helper()
	call := endpoint.Call{Method: http.MethodPost, Path: "/", Header: http.Header{}}
	job := serve.Job{
		Request: "self-1", Plan: h.plan, Call: call,
		Relay: &serve.EventStream{MaxBytes: 1 << 20}, Parts: []quarantine.Part{"shared", "topic"},
	}
	return h.runner.Run(t.Context(), job, h.sink)
}

func TestQuarantinedPromptsAreRefused(t *testing.T) {
	made, script, _ := newPromptHarness(t, []string{"a", "b", "c"})
	err := made.runPrompt(t)
	var typed *outcome.Error
	if !errors.As(err, &typed) || typed.Code != outcome.Quarantined || typed.Run != journal.NotRun || typed.Name != "topic" {
		t.Errorf("error: got %v, want code quarantined, run not_run and the part", err)
	}
	if got := len(script.lastEventIDs); got != 0 {
		t.Errorf("attempts: got %d, want 0", got)
	}
	if got := made.balance.Level().Available; got != purchased {
		t.Errorf("available credits: got %d, want %d", got, purchased)
	}
}

// TestFailuresBeforeTheEndAreReported guards against parts under which endpoints crash after
// the first event: such a stream was no failure, cleared its parts, and was resumed at the
// next endpoint. Only a whole response shows that its parts are sound.
func TestFailuresBeforeTheEndAreReported(t *testing.T) {
	head := scriptedResponse{status: http.StatusOK}
	whole := scriptedResponse{http.StatusOK, numbered(1), true}
	broken := scriptedResponse{http.StatusOK, numbered(1), false}
	resumed := scriptedResponse{http.StatusOK, numbered(2), true}
	all := []quarantine.Part{"shared", "topic"}
	tests := []struct {
		name      string
		failedAt  []string
		responses []scriptedResponse
		attempts  int
		failures  int
		whole     []quarantine.Part
	}{
		{"crash, then a response", nil, []scriptedResponse{head, whole}, 2, 1, all},
		{"inside the first event", nil, []scriptedResponse{{http.StatusOK, "id: 1\nda", false}, whole}, 2, 1, all},
		{"two crashes", nil, []scriptedResponse{head, head}, 2, 2, nil},
		// Each request with a part that crashes endpoints brought down two of them.
		{"crash of a suspect", []string{"runner-9"}, []scriptedResponse{head, head}, 1, 1, nil},
		{"response with a suspect", []string{"runner-9"}, []scriptedResponse{whole}, 1, 0, all},
		{"response without suspects", nil, []scriptedResponse{whole}, 1, 0, all},
		{"server error", nil, []scriptedResponse{{500, "", true}, {500, "", true}}, 2, 0, nil},
		{"after an event", nil, []scriptedResponse{broken, resumed}, 2, 1, all},
		{"inside the second event", nil, []scriptedResponse{{http.StatusOK, numbered(1) + "id: 2\nda", false}, resumed}, 2, 1, all},
		{"after an event at both endpoints", nil, []scriptedResponse{broken, {http.StatusOK, numbered(2), false}}, 2, 2, nil},
		{"after an event, crash elsewhere before", []string{"runner-9"}, []scriptedResponse{broken, resumed}, 2, 1, all},
		{"after an event, crashes at two others before", []string{"runner-8", "runner-9"}, []scriptedResponse{broken, resumed}, 1, 1, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			made, script, monitor := newPromptHarness(t, test.failedAt, test.responses...)
			_ = made.runPrompt(t)
			if got := len(script.lastEventIDs); got != test.attempts {
				t.Errorf("attempts: got %d, want %d", got, test.attempts)
			}
			if got := len(monitor.failures); got != test.failures {
				t.Errorf("failures: got %d, want %d: %+v", got, test.failures, monitor.failures)
			}
			if !slices.Equal(monitor.whole, test.whole) {
				t.Errorf("parts of whole responses: got %v, want %v", monitor.whole, test.whole)
			}
		})
	}
}

// TestStreamThatEndsWithItsConnectionClearsNothing guards against a crash between two events
// of a response without a length, which cannot be distinguished from its end.
func TestStreamThatEndsWithItsConnectionClearsNothing(t *testing.T) {
	made := newHarness(t, func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = connection.Close() }()
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + numbered(1)))
	})
	made.plan.Streamed = true
	monitor := &prompts{tracker: quarantine.New(quarantine.Defaults())}
	made.runner.Prompts = monitor
	if err := made.runPrompt(t); err != nil {
		t.Errorf("error: got %v, want none", err)
	}
	if len(monitor.whole)+len(monitor.failures) != 0 {
		t.Errorf("reports: got whole %v and failures %v, want none", monitor.whole, monitor.failures)
	}
}
