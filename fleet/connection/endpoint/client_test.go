package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
)

// listen serves each accepted connection with the script of the same index and counts
// the received requests.
func listen(t *testing.T, scripts ...func(net.Conn, *http.Request)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var requests atomic.Int64
	go func() {
		for _, script := range scripts {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(accepted, script, &requests)
		}
	}()
	return listener.Addr().String(), &requests
}

func serve(accepted net.Conn, script func(net.Conn, *http.Request), requests *atomic.Int64) {
	defer accepted.Close()
	reader := bufio.NewReader(accepted)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		script(accepted, request)
	}
}

func respond(text string) func(net.Conn, *http.Request) {
	return func(accepted net.Conn, _ *http.Request) {
		_, _ = io.WriteString(accepted, text)
	}
}

func closeConnection(accepted net.Conn, _ *http.Request) {
	accepted.Close()
}

// noResponse sends no response and signals each received request.
func noResponse(arrived chan<- struct{}) func(net.Conn, *http.Request) {
	return func(net.Conn, *http.Request) {
		arrived <- struct{}{}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newClient(address string) (*endpoint.Client, *clock.Fake) {
	clk := clock.NewFake()
	return endpoint.NewClient(address, endpoint.Defaults(hall, "a"), clk), clk
}

func fetch(client *endpoint.Client, call endpoint.Call) (string, error) {
	response, err := client.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

func TestPhaseOfFailure(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := closed.Addr().String()
	closed.Close()
	closedAfterRequest, _ := listen(t, closeConnection)
	closedAfterHeaders, _ := listen(t, func(accepted net.Conn, _ *http.Request) {
		_, _ = io.WriteString(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
		accepted.Close()
	})
	closedInBody, _ := listen(t, func(accepted net.Conn, _ *http.Request) {
		_, _ = io.WriteString(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
		accepted.Close()
	})
	tests := []struct {
		name    string
		address string
		want    endpoint.Phase
	}{
		{"refused", refused, endpoint.BeforeConnect},
		{"closed after request", closedAfterRequest, endpoint.AfterRequestBytes},
		{"closed after headers", closedAfterHeaders, endpoint.AfterHeaders},
		{"closed in body", closedInBody, endpoint.MidStream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, _ := newClient(test.address)
			_, err := fetch(client, endpoint.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
			var failure *endpoint.CallError
			if !errors.As(err, &failure) {
				t.Fatalf("error: got %v, want a CallError", err)
			}
			if failure.Phase != test.want {
				t.Errorf("phase: got %s, want %s", failure.Phase, test.want)
			}
		})
	}
}

// net/http repeats a request whose reused connection fails if it can rewind the body or
// considers the request idempotent. The endpoint must receive each request only once.
func TestNeverRepeatsOnReusedConnection(t *testing.T) {
	key := http.Header{"Idempotency-Key": {"k"}}
	other := http.Header{"X-Idempotency-Key": {"k"}}
	tests := []struct {
		name string
		call endpoint.Call
	}{
		{"post with body", endpoint.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")}},
		{"post with key, no body", endpoint.Call{Method: http.MethodPost, Path: "/", Header: key}},
		{"post without key or body", endpoint.Call{Method: http.MethodPost, Path: "/"}},
		{"delete with other key", endpoint.Call{Method: http.MethodDelete, Path: "/", Header: other}},
		{"get", endpoint.Call{Method: http.MethodGet, Path: "/"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first := true
			once := func(accepted net.Conn, request *http.Request) {
				if !first {
					closeConnection(accepted, request)
					return
				}
				first = false
				respond(okResponse)(accepted, request)
			}
			address, requests := listen(t, once, respond(okResponse))
			client, _ := newClient(address)
			if _, err := fetch(client, test.call); err != nil {
				t.Fatal(err)
			}
			_, err := fetch(client, test.call)
			var failure *endpoint.CallError
			if !errors.As(err, &failure) {
				t.Fatalf("error: got %v, want a CallError", err)
			}
			if got := requests.Load(); got != 2 {
				t.Errorf("requests at endpoint: got %d, want 2", got)
			}
		})
	}
}

func TestEmptyPostIsSentWithLengthAndKey(t *testing.T) {
	received := make(chan *http.Request, 1)
	address, _ := listen(t, func(accepted net.Conn, request *http.Request) {
		received <- request
		respond(okResponse)(accepted, request)
	})
	client, _ := newClient(address)
	header := http.Header{"Idempotency-Key": {"k"}}
	if _, err := fetch(client, endpoint.Call{Method: http.MethodPost, Path: "/a?b=c", Header: header}); err != nil {
		t.Fatal(err)
	}
	got := <-received
	if got.ContentLength != 0 || len(got.TransferEncoding) > 0 {
		t.Errorf("length: got %d and %v, want 0", got.ContentLength, got.TransferEncoding)
	}
	if key := got.Header.Get("Idempotency-Key"); key != "k" || got.URL.String() != "/a?b=c" {
		t.Errorf("request: got key %q and %s, want k and /a?b=c", key, got.URL)
	}
}

func TestInactiveConnectionIsReplaced(t *testing.T) {
	arrived := make(chan struct{}, 1)
	script := respond(okResponse)
	address, _ := listen(t, func(accepted net.Conn, request *http.Request) {
		script(accepted, request)
		script = noResponse(arrived)
	}, respond(okResponse))
	client, clk := newClient(address)
	call := endpoint.Call{Method: http.MethodPost, Path: "/", Limits: endpoint.Limits{Header: time.Second}}
	if _, err := fetch(client, call); err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	go func() {
		_, err := fetch(client, call)
		failed <- err
	}()
	<-arrived
	clk.Advance(time.Second)
	var failure *endpoint.CallError
	if err := <-failed; !errors.As(err, &failure) || !failure.Inactive {
		t.Fatalf("error: got %v, want a CallError after inactivity", err)
	}
	got, err := fetch(client, call)
	if err != nil || got != "ok" {
		t.Errorf("next request: got %q, %v, want ok", got, err)
	}
}

// Two idle connections are dead for the same reason. The first request that times out on
// one of them must not leave the other one to the next request.
func TestInactivityClosesIdleConnections(t *testing.T) {
	arrived := make(chan struct{}, 2)
	both := make(chan struct{})
	once := func() func(net.Conn, *http.Request) {
		first := true
		return func(accepted net.Conn, request *http.Request) {
			arrived <- struct{}{}
			if first {
				first = false
				<-both
				respond(okResponse)(accepted, request)
			}
		}
	}
	address, _ := listen(t, once(), once(), respond(okResponse))
	client, clk := newClient(address)
	call := endpoint.Call{Method: http.MethodPost, Path: "/", Limits: endpoint.Limits{Header: time.Second}}
	failed := make(chan error, 2)
	run := func() {
		_, err := fetch(client, call)
		failed <- err
	}
	go run()
	go run()
	<-arrived
	<-arrived
	close(both)
	if err := errors.Join(<-failed, <-failed); err != nil {
		t.Fatal(err)
	}
	go run()
	<-arrived
	clk.Advance(time.Second)
	if err := <-failed; err == nil {
		t.Fatal("inactive request: got no error, want one")
	}
	go run()
	select {
	case err := <-failed:
		if err != nil {
			t.Errorf("next request: got %v, want none", err)
		}
	case <-arrived:
		t.Error("next request: got an old connection, want a new one")
	}
}

func TestWriteOnClosedConnectionSendsNothing(t *testing.T) {
	address, requests := listen(t, respond(okResponse))
	client, _ := newClient(address)
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.Close() },
	})
	_, err := client.Do(ctx, endpoint.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	var failure *endpoint.CallError
	if !errors.As(err, &failure) || failure.Phase != endpoint.AfterConnect {
		t.Errorf("error: got %v, want one with phase after_connect", err)
	}
	if got := requests.Load(); got != 0 {
		t.Errorf("requests at endpoint: got %d, want 0", got)
	}
}

func TestCanceledRequest(t *testing.T) {
	arrived := make(chan struct{}, 1)
	address, _ := listen(t, noResponse(arrived))
	client, _ := newClient(address)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Do(ctx, endpoint.Call{Method: http.MethodGet, Path: "/"})
	var failure *endpoint.CallError
	if !errors.As(err, &failure) || !failure.Canceled || failure.Inactive || failure.Phase != endpoint.AfterRequestBytes {
		t.Errorf("error: got %+v, want canceled with phase after_request_bytes", err)
	}
}

func TestInactiveBodyFails(t *testing.T) {
	address, _ := listen(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Run: ran\r\n\r\n"))
	client, clk := newClient(address)
	response, err := client.Do(t.Context(), endpoint.Call{Method: http.MethodGet, Path: "/", Limits: endpoint.Limits{Stall: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.Run != journal.Ran || !response.Delimited {
		t.Errorf("response: got run %q delimited %t, want ran and delimited", response.Run, response.Delimited)
	}
	failed := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(response.Body)
		failed <- err
	}()
	if err := clk.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clk.Advance(time.Second)
	var failure *endpoint.CallError
	if err := <-failed; !errors.As(err, &failure) || !failure.Inactive || failure.Phase != endpoint.AfterHeaders {
		t.Errorf("error: got %v, want inactive with phase after_headers", err)
	}
}

func pollerFor(address string) (*endpoint.Poller, *endpoint.State, *clock.Fake) {
	clk := clock.NewFake()
	config := endpoint.Defaults(hall, "a")
	table := endpoint.NewTable(config, clk)
	target, _ := net.ResolveTCPAddr("tcp", address)
	pool := declaration.Pool{Name: "large", Kind: declaration.EndpointPool, Port: target.Port}
	table.Update([]vm.VM{machine("m1", hall, vm.Live)}, []declaration.Pool{pool})
	return endpoint.NewPoller(config, clk, table), find(table, "m1"), clk
}

func TestPollReadsReport(t *testing.T) {
	address, _ := listen(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 58\r\n\r\n"+
		`{"in_flight":3,"waiting":1,"slots":8,"state":"leaving"}   `))
	poller, state, _ := pollerFor(address)
	poller.Poll(t.Context())
	got := state.Report.Load()
	if got == nil || got.InFlight != 3 || got.Waiting != 1 || got.Slots != 8 {
		t.Fatalf("report: got %+v, want 3 in flight, 1 waiting, 8 slots", got)
	}
	if state.Usable() {
		t.Error("usable: got true, want false")
	}
}

func TestInactivePollOpensNewConnection(t *testing.T) {
	arrived := make(chan struct{}, 1)
	address, _ := listen(t, noResponse(arrived), respond("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"+
		`{"slots":8,"state":"live"}    `))
	poller, state, clk := pollerFor(address)
	done := make(chan struct{})
	go func() {
		poller.Poll(context.Background())
		close(done)
	}()
	<-arrived
	clk.Advance(time.Second)
	<-done
	if got := state.MissedPolls.Load(); got != 1 {
		t.Errorf("missed: got %d, want 1", got)
	}
	poller.Poll(t.Context())
	if got := state.MissedPolls.Load(); got != 0 || state.Report.Load() == nil {
		t.Errorf("missed: got %d, want 0 and a report", got)
	}
}

// listen gets one script for each poll: the fake clock may advance past the timeout of a
// poll that is in progress, so that the next one opens another connection.
func TestPollerPollsEachInterval(t *testing.T) {
	arrived := make(chan struct{}, 8)
	report := func(accepted net.Conn, request *http.Request) {
		respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")(accepted, request)
		arrived <- struct{}{}
	}
	address, _ := listen(t, report, report, report, report)
	poller, _, clk := pollerFor(address)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		poller.Run(ctx)
		close(done)
	}()
	for range 3 {
		<-arrived
		clk.Advance(time.Second)
	}
	<-arrived
	cancel()
	<-done
}
