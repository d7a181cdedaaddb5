package frontend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/current"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/idempotency"
	"jacinthpaddle.example/fleet/request/intake"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/request/retry"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/snapshot"
	"jacinthpaddle.example/router/connection/forwardserver"
	"jacinthpaddle.example/router/request/frontend"
)

const teamKey = "sk-clerks"

var fleetSecret = secret.Key("fleet secret")

// testFleet has two routers that share a store, a balance and an endpoint.
type testFleet struct {
	handlers [2]*frontend.Handler
	routers  [2]*httptest.Server
	peers    [2]*httptest.Server
	objects  *memory.Store
	balance  *quota.Balance
	runs     atomic.Int64
	stopping atomic.Bool
}

// Reserve implements serve.CreditReserver.
func (f *testFleet) Reserve(_ context.Context, _ string, amount int64) (*quota.Balance, bool) {
	return f.balance, f.balance.Reserve(amount)
}

// Open implements serve.Recorder.
func (*testFleet) Open(context.Context, journal.Entry) error { return nil }

// Close implements serve.Recorder.
func (*testFleet) Close(context.Context, journal.Entry) error { return nil }

// Locate implements frontend.Locator.
func (*testFleet) Locate(declaration.Team, string, int) frontend.LocateResponse {
	return frontend.LocateResponse{}
}

// CountRequest implements frontend.Locator.
func (*testFleet) CountRequest(string) {}

// ServeHTTP is the endpoint: a plain service and a model with streamed completions.
func (f *testFleet) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	run := f.runs.Add(1)
	if request.URL.Path != frontend.ChatPath {
		_, _ = fmt.Fprintf(writer, "redeemed %d", run)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for _, choices := range []string{`[{"delta":{"content":"ale"}}]`, `[{"finish_reason":"stop"}]`} {
		_, _ = fmt.Fprintf(writer, "data: {\"id\":\"c%d\",\"choices\":%s}\n\n", run, choices)
	}
	usage := `{"prompt_tokens":1,"completion_tokens":1}`
	_, _ = fmt.Fprintf(writer, "data: {\"id\":\"c%d\",\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", run, usage)
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	fleet := &testFleet{objects: memory.New(clock.New()), balance: &quota.Balance{}}
	fleet.balance.Add(1000)
	engine := httptest.NewServer(fleet)
	t.Cleanup(engine.Close)
	_, port, _ := net.SplitHostPort(engine.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	config := snapshot.New(1, declaration.Set{
		Teams:    []declaration.Team{{Name: "clerks", Budget: "festival", KeyDigests: []string{snapshot.KeyDigest(teamKey)}}},
		Models:   []declaration.Model{{Name: "small", Pool: "desks", OutputPrice: 1, DefaultOutput: 10, MaxOutput: 10, Timeout: time.Minute, StallTimeout: time.Minute}},
		Services: []declaration.Service{{Name: "desk", Pool: "desks", Price: 7, Timeout: time.Minute}},
		Routes: []declaration.Route{
			{Name: "desk", Kind: declaration.ServiceRoute, Target: "desk"},
			{Name: "bound", Kind: declaration.ServiceRoute, Target: "desk", Regions: []string{region}},
			{Name: "small", Kind: declaration.ModelRoute, Target: "small"},
		},
		Pools: []declaration.Pool{{Name: "desks", Kind: declaration.EndpointPool, Port: number, MaxInFlight: 8}},
	})
	for index := range fleet.routers {
		fleet.start(t, index, config)
	}
	return fleet
}

// start starts router r0 or r1 with servers of its own.
func (f *testFleet) start(t *testing.T, index int, config *snapshot.Snapshot) {
	t.Helper()
	self := ident.Incarnation(fmt.Sprintf("r%d", index))
	metrics, err := meter.New()
	if err != nil {
		t.Fatal(err)
	}
	log := event.NewLog(io.Discard, logrus.ErrorLevel)
	active := current.New(func(held, offered *snapshot.Snapshot) bool { return offered.Generation > held.Generation })
	active.Store(config)
	clk := clock.New()
	table := endpoint.NewTable(endpoint.Defaults(vm.Locality{}, self), clk)
	table.Update([]vm.VM{{Name: "e", Address: "127.0.0.1", Pool: "desks", Locality: vm.Locality{Region: region}, State: vm.Live}}, config.Set.Pools)
	limits := idempotency.DefaultLimits()
	bodies := &intake.Reader{Clock: clk, MaxBytes: 1 << 20}
	handler := frontend.New(frontend.Deps{
		Self:           self,
		ActiveSnapshot: active,
		Runner: &serve.Runner{
			Clock: clk, Random: random.New(), Log: log, Metrics: metrics, Credits: f, Recorder: f,
			Endpoints: table, Slots: serve.NewSlots(clk, table, time.Minute), Picker: balancer.New(balancer.Defaults(vm.Locality{}), random.New()),
			RetryPolicy: retry.Defaults(), RetryBudgets: retry.NewBudgets(retry.BudgetDefaults(), clk),
			Limits: serve.Limits{Reserve: time.Minute, Open: time.Minute, Final: time.Minute},
		},
		Executor: idempotency.New(idempotency.Deps{
			Self: self, Clock: clk, Log: log, Claims: claim.NewClient(clk, f.objects),
			Tickets: idempotency.SecretVerifier{Secret: fleetSecret}, Limits: limits, Stopping: f.stopping.Load,
		}),
		Locator: f,
		Forwarder: forward.NewClient(forward.Settings{
			Secret: fleetSecret, Clock: clk, Address: f.address, OwnRegion: region,
			Region: func(ident.Incarnation) string { return region },
		}),
		Log:      log,
		Metrics:  metrics,
		Limits:   frontend.Limits{MaxResponseBytes: 1 << 20, MaxConcurrent: 8},
		Bodies:   bodies,
		Stopping: f.stopping.Load,
	})
	f.handlers[index] = handler
	f.routers[index] = httptest.NewServer(handler)
	f.peers[index] = httptest.NewServer(&forwardserver.Handler{
		Self: self, Secret: fleetSecret, Clock: clk, Bodies: bodies, Next: handler.ForwardedHandler(),
	})
	t.Cleanup(f.routers[index].Close)
	t.Cleanup(f.peers[index].Close)
}

func (f *testFleet) address(holder ident.Incarnation) (string, bool) {
	for index, server := range f.peers {
		if holder == ident.Incarnation(fmt.Sprintf("r%d", index)) {
			return strings.TrimPrefix(server.URL, "http://"), true
		}
	}
	return "", false
}

// call is one request to a router with the expected result.
type call struct {
	router int
	path   string
	key    string
	body   string
	// twice sends the header with the key two times.
	twice  bool
	before func(fleet *testFleet)
	status int
	run    journal.RunStatus
	// want is a part of the response body.
	want string
	// runs is the number of runs at the endpoint so far.
	runs int64
}

const (
	// region is that of the routers and the endpoint.
	region = "western"
	order  = "/services/desk/redeem"
	stream = `{"model":"small","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
)

func TestIdempotencyKeys(t *testing.T) {
	ticket, unused := locate.IssueTicket("r0", "clerks").Encode(fleetSecret), locate.IssueTicket("r0", "clerks").Encode(fleetSecret)
	large := strings.Repeat("k", idempotency.MaxKeyBytes+1)
	down := func(fleet *testFleet) { fleet.objects.SetFaults(memory.Faults{Down: true}) }
	disconnect := func(fleet *testFleet) { fleet.peers[0].Close() }
	stop := func(fleet *testFleet) { fleet.stopping.Store(true) }
	busy := func(fleet *testFleet) { fleet.handlers[0].Limits.MaxConcurrent = 0 }
	tests := []struct {
		name  string
		calls []call
		spent int64
	}{
		{"without a key", []call{{path: order, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1}, {path: order, status: 200, run: journal.Ran, want: "redeemed 2", runs: 2}}, 14},
		{"key chosen by the caller", []call{
			{path: order, key: "a", status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: "a", status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: "a", router: 1, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: "a", body: "two", router: 1, status: 409, run: journal.NotRun, want: "conflict", runs: 1},
			{path: order + "/2", key: "a", status: 409, run: journal.NotRun, want: "conflict", runs: 1},
		}, 7},
		{"ticket", []call{
			{path: order, key: ticket, router: 1, before: down, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: ticket, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: ticket, router: 1, body: "two", status: 409, run: journal.NotRun, want: "conflict", runs: 1},
			{path: order, key: ticket, router: 1, before: disconnect, status: 502, run: journal.Unknown, want: "lost", runs: 1},
		}, 7},
		{"the router is stopping", []call{
			{path: order, key: ticket, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: ticket, before: stop, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: ticket, router: 1, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: unused, router: 1, status: 429, run: journal.NotRun, want: "overloaded", runs: 1},
			{path: order, key: "a", status: 502, run: journal.Unknown, want: "lost", runs: 1},
			{path: order, status: 429, run: journal.NotRun, want: "stopping", runs: 1},
		}, 7},
		{"refused before the key is checked", []call{
			{path: "/services/other", key: "a", status: 404, run: journal.Unknown, want: "not_found"},
			{path: "/services/other", status: 404, run: journal.NotRun, want: "not_found"},
			{path: frontend.ChatPath, key: "a", body: "{", status: 400, run: journal.NotRun, want: "bad_request"},
		}, 0},
		{"overload", []call{
			{path: order, key: ticket, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, key: ticket, before: busy, status: 429, run: journal.Unknown, want: "overloaded", runs: 1},
			{path: order, key: ticket, router: 1, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1},
			{path: order, status: 429, run: journal.NotRun, want: "overloaded", runs: 1},
		}, 7},
		{"streamed chat", []call{
			{path: frontend.ChatPath, key: "a", body: stream, status: 200, want: "[DONE]", runs: 1},
			{path: frontend.ChatPath, key: "a", body: stream, status: 200, want: `"id":"c1"`, runs: 1},
			{path: frontend.ChatPath, key: "a", body: stream, router: 1, status: 200, want: "[DONE]", runs: 1},
		}, 1},
		{"bad keys", []call{
			{path: order, key: "a", twice: true, status: 400, run: journal.NotRun, want: "bad_request"},
			{path: order, key: large, status: 400, run: journal.NotRun, want: "bad_request"},
			{path: order, key: ticket + "x", status: 400, run: journal.NotRun, want: "bad_request"},
		}, 0},
		{"store unavailable", []call{{path: order, key: "a", before: down, status: 503, run: journal.Unknown, want: "no_record"}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fleet := newTestFleet(t)
			bodies := make(map[string]string)
			for step, each := range test.calls {
				body := fleet.check(t, step, each)
				if each.key == "" || each.status != 200 {
					continue
				}
				if first, ok := bodies[each.path]; ok && body != first {
					t.Errorf("call %d: got %q, want the first response %q", step, body, first)
				}
				bodies[each.path] = body
			}
			if got := fleet.balance.Level(); got.Spent != test.spent || got.Reserved != 0 {
				t.Errorf("balance: got %+v, want %d spent", got, test.spent)
			}
		})
	}
}

// check makes one call, checks the result and returns the body of the response.
func (f *testFleet) check(t *testing.T, step int, want call) string {
	t.Helper()
	if want.before != nil {
		want.before(f)
	}
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, f.routers[want.router].URL+want.path, strings.NewReader(want.body))
	request.Header.Set("Authorization", "Bearer "+teamKey)
	if want.key != "" {
		request.Header.Set(idempotency.KeyHeader, want.key)
	}
	if want.twice {
		request.Header.Add(idempotency.KeyHeader, want.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	run := journal.RunStatus(response.Header.Get(endpoint.RunHeader))
	if err != nil || response.StatusCode != want.status || run != want.run || !strings.Contains(string(body), want.want) {
		t.Errorf("call %d: got %d %q %q, %v, want %d %q %q", step, response.StatusCode, run, body, err, want.status, want.run, want.want)
	}
	if got := f.runs.Load(); got != want.runs {
		t.Errorf("call %d: runs: got %d, want %d", step, got, want.runs)
	}
	return string(body)
}
