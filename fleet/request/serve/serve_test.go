package serve_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/retry"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
)

// fakeCredits is a CreditReserver with a fixed balance.
type fakeCredits struct{ balance *quota.Balance }

func (c fakeCredits) Reserve(_ context.Context, _ string, amount int64) (*quota.Balance, bool) {
	return c.balance, c.balance.Reserve(amount)
}

// recorder is a Recorder that keeps all entries, and returns an error for open ones if
// refuse is set.
type recorder struct {
	refuse  bool
	entries []journal.Entry
}

func (r *recorder) Open(_ context.Context, entry journal.Entry) error {
	r.entries = append(r.entries, entry)
	if r.refuse {
		return errors.New("no peers and no store")
	}
	return nil
}

func (r *recorder) Close(_ context.Context, entry journal.Entry) error {
	r.entries = append(r.entries, entry)
	return nil
}

// sink is a Sink that keeps what was delivered, and fails if the caller disconnected.
type sink struct {
	disconnected bool
	status       int
	parts        []string
	ended        bool
	result       serve.Response
}

func (s *sink) Begin(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *sink) Part(part []byte) error {
	if s.disconnected {
		return errors.New("broken pipe")
	}
	s.parts = append(s.parts, string(part))
	return nil
}

func (s *sink) End(result serve.Response) error {
	s.ended = true
	s.result = result
	return nil
}

// harness is a runner with one endpoint, which is served by a handler.
type harness struct {
	runner   *serve.Runner
	balance  *quota.Balance
	recorder *recorder
	sink     *sink
	plan     admission.Plan
}

const purchased = 1_000

// lockedSource is a seeded source for concurrent requests.
type lockedSource struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (l *lockedSource) IntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.IntN(n)
}

func (l *lockedSource) Float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Float64()
}

// listed returns the server as an endpoint on the list of VMs.
func listed(name string, server *httptest.Server) vm.VM {
	host, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	return vm.VM{Name: name, Address: host, Port: number, Pool: "runners", State: vm.Live}
}

func newHarness(t *testing.T, handler http.HandlerFunc) *harness {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	metrics, err := meter.New()
	if err != nil {
		t.Fatal(err)
	}
	runner := listed("runner-1", server)
	pool := declaration.Pool{Name: "runners", Kind: declaration.EndpointPool, Port: runner.Port}
	source := &lockedSource{source: rand.New(rand.NewPCG(1, 2))}
	table := endpoint.NewTable(endpoint.Defaults(vm.Locality{}, "self"), clock.New())
	table.Update([]vm.VM{runner}, []declaration.Pool{pool})
	made := &harness{balance: &quota.Balance{}, recorder: &recorder{}, sink: &sink{}}
	made.balance.Add(purchased)
	made.plan = admission.Plan{
		Team: declaration.Team{Name: "hall", Budget: "hall"}, Pool: pool, Idempotent: true,
		Reserve: 100, InputPrice: 1, OutputPrice: 4, MaxOutput: 3, Timeout: time.Minute,
	}
	made.runner = &serve.Runner{
		Clock:        clock.New(),
		Random:       source,
		Log:          event.NewLog(io.Discard, logrus.ErrorLevel),
		Metrics:      metrics,
		Credits:      fakeCredits{balance: made.balance},
		Recorder:     made.recorder,
		Endpoints:    table,
		Slots:        serve.NewSlots(clock.New(), table, time.Minute),
		Picker:       balancer.New(balancer.Defaults(vm.Locality{}), source),
		RetryPolicy:  retry.Policy{MaxAttempts: 2, BaseBackoff: time.Nanosecond, MaxBackoff: time.Nanosecond},
		RetryBudgets: retry.NewBudgets(retry.BudgetDefaults(), clock.New()),
		Limits:       serve.Limits{Reserve: time.Minute, Open: time.Minute, Final: time.Minute},
	}
	return made
}

func (h *harness) run(relay serve.Relay) error {
	call := endpoint.Call{Method: http.MethodPost, Path: "/", Header: http.Header{}}
	return h.runner.Run(context.Background(), serve.Job{Request: "self-1", Plan: h.plan, Call: call, Relay: relay}, h.sink)
}

func (h *harness) stream() serve.Relay {
	return serve.ChatStream{Log: h.runner.Log, Metrics: h.runner.Metrics}
}

// bill returns the last entry, and checks that the balance agrees with its charge.
func (h *harness) bill(t *testing.T) journal.Entry {
	t.Helper()
	last := h.recorder.entries[len(h.recorder.entries)-1]
	want := quota.Level{Available: purchased - last.Charge, Spent: last.Charge}
	if got := h.balance.Level(); got != want {
		t.Errorf("balance: got %+v, want %+v", got, want)
	}
	return last
}

func frame(id, text, finish string) string {
	reason := "null"
	if finish != "" {
		reason = strconv.Quote(finish)
	}
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", id, text, reason)
}

const (
	usage = "data: {\"id\":\"a\",\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\n\n"
	done  = "data: [DONE]\n\n"
)

func TestStreamsAreCompleteOrFailWithTheRightCharge(t *testing.T) {
	one, last := frame("a", "one", ""), frame("a", "two", "stop")
	tests := []struct {
		name     string
		response string
		code     outcome.Code
		run      journal.RunStatus
		charge   int64
		parts    int
	}{
		{"complete", one + last + usage + done, "", journal.Ran, 13, 2},
		{"frame of another completion", one + frame("b", "other", "") + last + usage + done, "", journal.Ran, 13, 2},
		{"ended before the done frame", one + last + usage, outcome.Truncated, journal.Ran, 13, 2},
		{"ended after one frame", one, outcome.Truncated, journal.Ran, 4, 1},
		{"no finish reason", one + usage + done, outcome.Truncated, journal.Ran, 13, 1},
		{"no usage", one + last + done, outcome.EndpointFailed, journal.Ran, 8, 2},
		{"more than was reserved", strings.Repeat(one, 5) + last + usage + done, outcome.Truncated, journal.Ran, 12, 3},
		{"error frame", one + "data: {\"error\":{\"message\":\"engine\"}}\n\n", outcome.EndpointFailed, journal.Ran, 4, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, test.response)
			})
			err := harness.run(harness.stream())
			var typed *outcome.Error
			if errors.As(err, &typed) != (test.code != "") || typed != nil && (typed.Code != test.code || typed.Run != test.run) {
				t.Errorf("error: got %v, want code %q and run %q", err, test.code, test.run)
			}
			got := harness.bill(t)
			if got.Charge != test.charge || got.Run != test.run || got.State != journal.Final {
				t.Errorf("bill: got %+v, want a final charge of %d and run %q", got, test.charge, test.run)
			}
			if len(harness.sink.parts) != test.parts || harness.sink.ended != (test.code == "") {
				t.Errorf("delivered: got %d parts, ended %t, want %d parts", len(harness.sink.parts), harness.sink.ended, test.parts)
			}
		})
	}
}

func TestEndpointRefusalReturnsOutcomeError(t *testing.T) {
	tests := []struct {
		name   string
		status int
		code   outcome.Code
	}{
		{"no capacity", http.StatusTooManyRequests, outcome.Overloaded},
		{"leaving", http.StatusServiceUnavailable, outcome.EndpointFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(endpoint.RunHeader, string(journal.NotRun))
				writer.WriteHeader(test.status)
			})
			err := harness.run(harness.stream())
			var typed *outcome.Error
			if !errors.As(err, &typed) || typed.Code != test.code || typed.Run != journal.NotRun {
				t.Errorf("error: got %v, want code %q and run not_run", err, test.code)
			}
			if got := harness.bill(t); got.Charge != 0 {
				t.Errorf("charge: got %d, want 0", got.Charge)
			}
		})
	}
}

func TestNonIdempotentRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	tests := []struct {
		name   string
		handle http.HandlerFunc
		calls  int64
		run    journal.RunStatus
		charge int64
	}{
		{"connection closed without a response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, journal.Unknown, 100},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 1, journal.Unknown, 100},
		{"refused before it ran", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.RunHeader, string(journal.NotRun))
			w.WriteHeader(503)
		}, 2, journal.NotRun, 0},
		{"response to another attempt", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.AttemptHeader, "another")
			_, _ = io.WriteString(w, "response of another request")
		}, 1, journal.Unknown, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int64
			harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
				calls.Add(1)
				test.handle(writer, request)
			})
			harness.plan.Idempotent = false
			harness.plan.InputPrice, harness.plan.OutputPrice = 0, 0
			err := harness.run(serve.Buffered{MaxBytes: 1 << 10})
			var typed *outcome.Error
			if !errors.As(err, &typed) || typed.Run != test.run {
				t.Errorf("error: got %v, want run %q", err, test.run)
			}
			if typed != nil && strings.Contains(typed.Reason, "127.0.0.1") {
				t.Errorf("reason: got %q, want no address", typed.Reason)
			}
			if got := calls.Load(); got != test.calls {
				t.Errorf("calls: got %d, want %d", got, test.calls)
			}
			if got := harness.bill(t).Charge; got != test.charge {
				t.Errorf("charge: got %d, want %d", got, test.charge)
			}
		})
	}
}

func TestNothingIsSentWithoutADurableRecord(t *testing.T) {
	var calls atomic.Int64
	harness := newHarness(t, func(http.ResponseWriter, *http.Request) { calls.Add(1) })
	harness.recorder.refuse = true
	err := harness.run(serve.Buffered{MaxBytes: 1 << 10})
	var typed *outcome.Error
	if !errors.As(err, &typed) || typed.Code != outcome.NoRecord || typed.Run != journal.NotRun {
		t.Errorf("error: got %v, want code no_record and run not_run", err)
	}
	if got := calls.Load(); got != 0 {
		t.Errorf("calls: got %d, want 0", got)
	}
	if got := harness.bill(t); got.Charge != 0 || got.Run != journal.NotRun {
		t.Errorf("bill: got %+v, want no charge", got)
	}
}

func TestDisconnectedCallersDoNotCountAsEndpointFailures(t *testing.T) {
	response := frame("a", "one", "") + frame("a", "two", "stop") + usage + done
	harness := newHarness(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, response)
	})
	harness.sink.disconnected = true
	for range 5 {
		if err := harness.run(harness.stream()); err == nil {
			t.Error("run for a disconnected caller: got nil, want an error")
		}
	}
	state := harness.runner.Endpoints.View().InPool("runners")[0]
	if got := state.ConsecutiveFailures.Load(); got != 0 {
		t.Errorf("failures: got %d, want 0", got)
	}
}
