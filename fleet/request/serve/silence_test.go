package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/retry"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
)

// silentFleet has endpoints that send one event of a stream and are silent then, until they
// go on. They complete a stream that another endpoint began.
type silentFleet struct {
	harness *harness
	clock   *clock.Fake
	// goOn lets the silent endpoints go on.
	goOn chan struct{}
	// attempts is how many requests arrived.
	attempts int
}

// silenceStall is the stall timeout of the requests.
const silenceStall = 3 * time.Second

func newSilentFleet(t *testing.T, endpoints int) *silentFleet {
	t.Helper()
	f := &silentFleet{harness: newHarness(t, http.NotFound), clock: clock.NewFake(), goOn: make(chan struct{})}
	plan := &f.harness.plan
	plan.Streamed, plan.Resumable, plan.MaxStarted, plan.Timeout = true, true, 2, time.Minute
	var list []vm.VM
	for index := range endpoints {
		server := httptest.NewServer(http.HandlerFunc(f.serve))
		t.Cleanup(server.Close)
		list = append(list, listed(fmt.Sprint("runner-", index), server))
	}
	table := endpoint.NewTable(endpoint.Defaults(vm.Locality{}, "self"), f.clock)
	table.Update(list, []declaration.Pool{plan.Pool})
	runner := f.harness.runner
	runner.Clock, runner.Endpoints = f.clock, table
	runner.Slots = serve.NewSlots(f.clock, table, time.Minute)
	runner.RetryPolicy = retry.Policy{MaxAttempts: 3}
	runner.RetryBudgets = retry.NewBudgets(retry.BudgetDefaults(), f.clock)
	return f
}

func (f *silentFleet) serve(writer http.ResponseWriter, request *http.Request) {
	f.attempts++
	writer.Header().Set("Content-Type", "text/event-stream")
	if request.Header.Get(serve.LastEventHeader) == "" {
		_, _ = writer.Write([]byte(numbered(1)))
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-f.goOn:
		case <-request.Context().Done():
			return
		}
	}
	_, _ = writer.Write([]byte(numbered(2)))
}

// run runs a stream in the background and returns its sink once the first event arrived.
func (f *silentFleet) run(t *testing.T) (*sink, <-chan error) {
	t.Helper()
	delivered, ended := &sink{}, make(chan error, 1)
	job := serve.Job{
		Request: "self-1", Plan: f.harness.plan, Relay: &serve.EventStream{MaxBytes: 1 << 20},
		Call: endpoint.Call{Method: http.MethodPost, Path: "/", Header: http.Header{}, Limits: endpoint.Limits{Stall: silenceStall}},
	}
	begun := &begunSink{sink: delivered, begun: make(chan struct{})}
	go func() { ended <- f.harness.runner.Run(t.Context(), job, begun) }()
	<-begun.begun
	return delivered, ended
}

// begunSink closes begun at the first delivery.
type begunSink struct {
	*sink
	begun chan struct{}
}

func (s *begunSink) Part(part []byte) error {
	if len(s.parts) == 0 {
		defer close(s.begun)
	}
	return s.sink.Part(part)
}

// pass lets the stall timeout pass once the stream waits for its next event.
func (f *silentFleet) pass(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := f.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatalf("stream: got it ended, want it to wait (%v)", err)
	}
	f.clock.Advance(silenceStall)
}

// TestSilentStreamIsNotCut guards against a stream that is cut in the middle because its
// endpoint pauses, although no other endpoint may continue it: 21 of 40 streams of runners
// that had preempted them were cut (review/9).
func TestSilentStreamIsNotCut(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
		prepare   func(f *silentFleet)
		// moved reports whether another endpoint continues the stream.
		moved bool
	}{
		{"another endpoint may continue it", 2, func(*silentFleet) {}, true},
		{"no other endpoint", 1, func(*silentFleet) {}, false},
		{"retry budget empty", 2, func(f *silentFleet) {
			f.harness.runner.RetryBudgets.SetConfig(retry.BudgetConfig{Burst: 0.5})
		}, false},
		{"no further attempt", 2, func(f *silentFleet) { f.harness.plan.MaxStarted = 1 }, false},
		{"not resumable", 2, func(f *silentFleet) { f.harness.plan.Resumable = false }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newSilentFleet(t, test.endpoints)
			test.prepare(f)
			delivered, ended := f.run(t)
			f.pass(t)
			if !test.moved {
				f.pass(t)
				close(f.goOn)
			}
			if err := <-ended; err != nil {
				t.Errorf("error: got %v, want none", err)
			}
			if got, want := strings.Join(delivered.parts, ""), numbered(1)+numbered(2); got != want {
				t.Errorf("stream: got %q, want %q", got, want)
			}
			if want := map[bool]int{true: 2, false: 1}[test.moved]; f.attempts != want {
				t.Errorf("attempts: got %d, want %d", f.attempts, want)
			}
		})
	}
}

// TestStreamOfAnEndpointThatIsGoneEnds guards against a silent stream that outlives the timeout
// of its request, and against an endpoint that stays in use although it is silent.
func TestStreamOfAnEndpointThatIsGoneEnds(t *testing.T) {
	f := newSilentFleet(t, 1)
	f.harness.plan.Timeout = 300 * time.Millisecond
	f.harness.plan.Resumable = false
	_, ended := f.run(t)
	f.pass(t)
	err := <-ended
	var failed *outcome.Error
	if !errors.As(err, &failed) || failed.Code != outcome.TimedOut {
		t.Errorf("error: got %v, want timed out", err)
	}
	state := f.harness.runner.Endpoints.View().InPool("runners")[0]
	if got := state.ConsecutiveFailures.Load(); got != 1 {
		t.Errorf("failures of the endpoint: got %d, want 1", got)
	}
}
