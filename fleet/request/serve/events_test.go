package serve_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
)

// numbered returns an event with the id.
func numbered(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
}

// script is a handler that sends one scripted response per attempt.
type script struct {
	mu        sync.Mutex
	responses []scriptedResponse
	// lastEventIDs holds the Last-Event-Id header of each attempt.
	lastEventIDs []string
}

// scriptedResponse is the response to one attempt. The connection is closed after the content
// unless the response is complete.
type scriptedResponse struct {
	status   int
	content  string
	complete bool
}

func (s *script) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	response := s.responses[len(s.lastEventIDs)]
	s.lastEventIDs = append(s.lastEventIDs, request.Header.Get(serve.LastEventHeader))
	s.mu.Unlock()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(response.status)
	_, _ = writer.Write([]byte(response.content))
	if !response.complete {
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
}

// newEventHarness returns a harness with two endpoints that share the script.
func newEventHarness(t *testing.T, responses ...scriptedResponse) (*harness, *script) {
	t.Helper()
	script := &script{responses: responses}
	made := newHarness(t, script.ServeHTTP)
	made.plan.TokensPerEvent = 4
	made.plan.Floor = 10
	made.plan.Streamed = true
	made.plan.Resumable = true
	made.plan.MaxStarted = 2
	second := httptest.NewServer(script)
	t.Cleanup(second.Close)
	first := listed("runner-1", second)
	first.Port = made.plan.Pool.Port
	list := []vm.VM{first, listed("runner-2", second)}
	table := endpoint.NewTable(endpoint.Defaults(vm.Locality{}, "self"), clock.New())
	table.Update(list, []declaration.Pool{made.plan.Pool})
	made.runner.Endpoints = table
	made.runner.Slots = serve.NewSlots(clock.New(), table, time.Minute)
	return made, script
}

func TestEventStreamContinuesAtAnotherEndpoint(t *testing.T) {
	made, script := newEventHarness(t,
		scriptedResponse{http.StatusOK, numbered(1) + numbered(2) + "id: 3\ndata: pie", false},
		scriptedResponse{http.StatusOK, numbered(2) + numbered(3) + numbered(4), true},
	)
	if err := made.run(&serve.EventStream{MaxBytes: 1 << 20}); err != nil {
		t.Fatalf("run: got %v, want no error", err)
	}
	want := numbered(1) + numbered(2) + numbered(3) + numbered(4)
	if got := strings.Join(made.sink.parts, ""); got != want {
		t.Errorf("stream: got %q, want %q", got, want)
	}
	if got, want := script.lastEventIDs[1], "2"; got != want {
		t.Errorf("Last-Event-Id at the second endpoint: got %q, want %q", got, want)
	}
	if got, want := made.bill(t).Charge, int64(10+4*4); got != want {
		t.Errorf("charge: got %d, want %d", got, want)
	}
}

func TestEventStreamThatCannotContinueFails(t *testing.T) {
	made, script := newEventHarness(t, scriptedResponse{http.StatusOK, numbered(1), false})
	made.plan.Resumable = false
	made.plan.Idempotent = false
	err := made.run(&serve.EventStream{MaxBytes: 1 << 20})
	var typed *outcome.Error
	if !errors.As(err, &typed) || typed.Run != journal.Ran {
		t.Fatalf("run: got %v, want an error with run %s", err, journal.Ran)
	}
	if got, want := made.bill(t).Charge, int64(10+4); got != want {
		t.Errorf("charge for the prompt and one event: got %d, want %d", got, want)
	}
	if made.sink.ended {
		t.Error("interrupted stream: got a regular end, want none")
	}
	if got, want := len(script.lastEventIDs), 1; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}

func TestEventStreamRespectsMaximumAttempts(t *testing.T) {
	cut := scriptedResponse{http.StatusOK, "", false}
	made, script := newEventHarness(t, cut, cut, cut)
	made.runner.RetryPolicy.MaxAttempts = 3
	if err := made.run(&serve.EventStream{MaxBytes: 1 << 20}); err == nil {
		t.Error("run: got no error, want one")
	}
	if got, want := len(script.lastEventIDs), 2; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
	// Guards against charging prompts of streams that delivered no event, which used up
	// a sixth of some budgets, so that all later requests were refused (kowhai-remind
	// trouble-2).
	if got, want := made.bill(t).Charge, int64(0); got != want {
		t.Errorf("charge without an event: got %d, want %d", got, want)
	}
}

// A stream that was interrupted after its first event must be billed for what it
// delivered, also if a later attempt fails without a connection. Billing by the last
// attempt alone let a team receive 22,855 tokens beyond its budget (kowhai-remind-grown
// trouble-1).
func TestInterruptedStreamIsBilledAfterFailedAttempt(t *testing.T) {
	made, _ := newEventHarness(t,
		scriptedResponse{http.StatusOK, numbered(1) + numbered(2), false},
		scriptedResponse{http.StatusServiceUnavailable, "full", true},
	)
	if err := made.run(&serve.EventStream{MaxBytes: 1 << 20}); err == nil {
		t.Error("run: got no error, want one")
	}
	if got, want := made.bill(t).Charge, int64(10+2*4); got != want {
		t.Errorf("charge: got %d, want %d", got, want)
	}
}

// An endpoint's error response reaches the caller unchanged once no attempt is left.
func TestErrorResponseIsForwarded(t *testing.T) {
	failure := scriptedResponse{http.StatusInternalServerError, "broken", true}
	made, _ := newEventHarness(t, failure, failure)
	call := endpoint.Call{Method: http.MethodGet, Path: "/", Header: http.Header{}}
	job := serve.Job{Request: "self-1", Plan: made.plan, Call: call, Relay: serve.Verbatim{MaxBytes: 100}, ForwardErrorResponses: true}
	if err := made.runner.Run(t.Context(), job, made.sink); err != nil {
		t.Fatalf("run: got %v, want no error", err)
	}
	if got, want := made.sink.result.Status, http.StatusInternalServerError; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := string(made.sink.result.Body), "broken"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
}

// A response that carries the id of another attempt is not the endpoint's error response
// and must not be forwarded as one (scenario
// deploy/days/runners-that-spoil.toml, seed 81009153088).
func TestResponseToAnotherAttemptIsNotForwarded(t *testing.T) {
	made := newHarness(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(endpoint.AttemptHeader, "another")
		_, _ = writer.Write([]byte("of another"))
	})
	made.plan.Idempotent = false
	call := endpoint.Call{Method: http.MethodGet, Path: "/", Header: http.Header{}}
	job := serve.Job{Request: "self-1", Plan: made.plan, Call: call, Relay: serve.Verbatim{MaxBytes: 100}, ForwardErrorResponses: true}
	var typed *outcome.Error
	if err := made.runner.Run(t.Context(), job, made.sink); !errors.As(err, &typed) {
		t.Errorf("run: got %v, want an outcome error", err)
	}
	if made.sink.ended {
		t.Errorf("response: got %q, want none", made.sink.result.Body)
	}
}

func TestVerbatimResponseIsCompleteOrFails(t *testing.T) {
	tests := []struct {
		name     string
		response scriptedResponse
		want     string
	}{
		{"complete", scriptedResponse{http.StatusOK, "hello", true}, "hello"},
		{"truncated", scriptedResponse{http.StatusOK, "hel", false}, ""},
		{"too large", scriptedResponse{http.StatusOK, strings.Repeat("x", 101), true}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			made, _ := newEventHarness(t, test.response)
			made.plan.Idempotent = false
			err := made.run(serve.Verbatim{MaxBytes: 100})
			if got := string(made.sink.result.Body); got != test.want {
				t.Errorf("body: got %q, want %q", got, test.want)
			}
			if (err == nil) != (test.want != "") {
				t.Errorf("error: got %v", err)
			}
		})
	}
}

// undelimited is a handler that sends a response without a length or chunks, which ends
// with its connection.
func undelimited(contents ...string) http.HandlerFunc {
	var attempts atomic.Int64
	return func(writer http.ResponseWriter, _ *http.Request) {
		content := contents[attempts.Add(1)-1]
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + content)
		_ = buffered.Flush()
		_ = conn.Close()
	}
}

// A stream that ends with its connection looked complete when the runner had crashed
// before its first event.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	tests := []struct {
		name     string
		contents []string
		want     string
		complete bool
	}{
		{"after an event", []string{numbered(1) + numbered(2)}, numbered(1) + numbered(2), true},
		{"inside an event", []string{numbered(1) + "id: 2\nda", numbered(2)}, numbered(1) + numbered(2), true},
		{"before the first event", []string{"", numbered(1)}, numbered(1), true},
		{"never an event", []string{"", ""}, "", false},
		{"broken off, then no event", []string{numbered(1) + "id: 2\nda", ""}, numbered(1), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			made := newHarness(t, undelimited(test.contents...))
			made.plan.Streamed, made.plan.Resumable, made.plan.MaxStarted = true, true, 2
			err := made.run(&serve.EventStream{MaxBytes: 1 << 20})
			if (err == nil) != test.complete {
				t.Errorf("run: got %v, want complete %t", err, test.complete)
			}
			if got := strings.Join(made.sink.parts, ""); got != test.want {
				t.Errorf("stream: got %q, want %q", got, test.want)
			}
		})
	}
}

// A stream had begun and broken off, and the next endpoint responded with an error. Clients
// found its text in their stream, or the stream ended as if it were complete.
func TestErrorAfterABrokenStreamIsNotDelivered(t *testing.T) {
	begun := scriptedResponse{http.StatusOK, numbered(1), false}
	tests := []struct {
		name string
		next scriptedResponse
	}{
		{"server error", scriptedResponse{http.StatusInternalServerError, "engine failed", true}},
		{"server error that breaks off", scriptedResponse{http.StatusInternalServerError, "engine fai", false}},
		{"client error", scriptedResponse{http.StatusBadRequest, "unknown event", true}},
		{"no content", scriptedResponse{http.StatusNoContent, "", true}},
		{"stream that breaks off at once", scriptedResponse{http.StatusOK, "", false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			made, _ := newEventHarness(t, begun, test.next)
			job := serve.Job{
				Request: "self-1", Plan: made.plan, Relay: &serve.EventStream{MaxBytes: 1 << 20}, ForwardErrorResponses: true,
				Call: endpoint.Call{Method: http.MethodPost, Path: "/", Header: http.Header{}},
			}
			if err := made.runner.Run(t.Context(), job, made.sink); err == nil {
				t.Error("run: got no error, want the broken stream reported")
			}
			if got, want := strings.Join(made.sink.parts, ""), numbered(1); got != want {
				t.Errorf("stream: got %q, want %q", got, want)
			}
			if made.sink.ended {
				t.Error("end of the stream: got it delivered, want it not")
			}
		})
	}
}
