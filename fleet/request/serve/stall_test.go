package serve_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
)

// discard is a sink that counts the delivered parts.
type discard struct{ parts int }

func (*discard) Begin(int, http.Header) error { return nil }

func (d *discard) Part([]byte) error {
	d.parts++
	return nil
}

func (*discard) End(serve.Response) error { return nil }

// relayPieces relays the response of an endpoint that sends the pieces one second apart
// on a fake clock, and returns the result with the number of pieces that were sent
// before it. The stall timeout is three seconds.
func relayPieces(t *testing.T, relay serve.Relay, piece func(second int) string, seconds int) (serve.RelayResult, int, *discard) {
	t.Helper()
	const stall = 3 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	pieces := make(chan string)
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer accepted.Close()
		_, _ = accepted.Read(make([]byte, 4096))
		_, _ = io.WriteString(accepted, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		for text := range pieces {
			_, _ = io.WriteString(accepted, text)
		}
	}()
	clk := readClock{Fake: clock.NewFake(), reads: make(chan bool, 1)}
	client := endpoint.NewClient(listener.Addr().String(), endpoint.Defaults(vm.Locality{}, "self"), clk)
	response, err := client.Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/", Limits: endpoint.Limits{Stall: stall}})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	sink := &discard{}
	relayed := make(chan serve.RelayResult, 1)
	go func() {
		relayed <- relay.Relay(t.Context(), admission.Plan{MaxOutput: 1000, Reserve: 1000, TokensPerEvent: 4}, response, sink)
	}()
	defer close(pieces)
	for second := 1; second <= seconds; second++ {
		select {
		case <-clk.reads:
		case result := <-relayed:
			return result, second - 1, sink
		}
		clk.Advance(time.Second)
		select {
		case pieces <- piece(second):
		case result := <-relayed:
			return result, second - 1, sink
		}
	}
	return serve.RelayResult{}, seconds, sink
}

// readClock is a fake clock that reports each read of a response, which starts a timer.
type readClock struct {
	*clock.Fake
	reads chan bool
}

func (c readClock) AfterFunc(delay time.Duration, call func()) clockwork.Timer {
	timer := c.Fake.AfterFunc(delay, call)
	c.reads <- true
	return timer
}

// TestStreamWithoutContentStalls has an endpoint send comments, empty events or single
// bytes without end, a second apart. Callers of such endpoints got neither a response
// nor an error for more than 25 s, since each byte restarted the stall timeout.
func TestStreamWithoutContentStalls(t *testing.T) {
	const seconds, maxSeconds = 30, 6
	relays := map[string]func() serve.Relay{
		"events": func() serve.Relay { return &serve.EventStream{MaxBytes: 1 << 20} },
		"chat":   func() serve.Relay { return serve.ChatStream{} },
	}
	pieces := map[string]func(int) string{
		"comments":     func(int) string { return ":\n\n" },
		"empty events": func(int) string { return "\n\n" },
		"single bytes": func(int) string { return "x" },
	}
	for relayName, relay := range relays {
		for pieceName, piece := range pieces {
			t.Run(relayName+" "+pieceName, func(t *testing.T) {
				result, got, sink := relayPieces(t, relay(), piece, seconds)
				if got > maxSeconds {
					t.Errorf("stalled after: got %d s, want at most %d s", got, maxSeconds)
				}
				var call *endpoint.CallError
				if !errors.As(result.Err, &call) || !call.Inactive {
					t.Errorf("error: got %v, want one that reports inactivity", result.Err)
				}
				if sink.parts != 0 || result.Charge != 0 {
					t.Errorf("got %d parts delivered for %d credits, want none", sink.parts, result.Charge)
				}
			})
		}
	}
}

// TestStreamStallsAfterAnEvent has an endpoint send one event and then comments only.
func TestStreamStallsAfterAnEvent(t *testing.T) {
	piece := func(second int) string {
		if second == 1 {
			return numbered(1)
		}
		return ":\n\n"
	}
	result, got, _ := relayPieces(t, &serve.EventStream{MaxBytes: 1 << 20}, piece, 30)
	if want := 7; got > want {
		t.Errorf("stalled after: got %d s, want at most %d s", got, want)
	}
	if got, want := result.Charge, int64(4); got != want {
		t.Errorf("charge for one event and comments: got %d, want %d", got, want)
	}
	var failed *outcome.Error
	if !errors.As(result.Err, &failed) || failed.Code != outcome.TimedOut {
		t.Errorf("error: got %v, want timed out", result.Err)
	}
}

// TestSlowStreamGoesOn has an endpoint send an event every two seconds, with a comment in
// between. It must not be cut by the stall timeout of three seconds.
func TestSlowStreamGoesOn(t *testing.T) {
	const seconds = 40
	piece := func(second int) string {
		if second%2 == 0 {
			return numbered(second)
		}
		return ": keep-alive\n\n"
	}
	result, got, _ := relayPieces(t, &serve.EventStream{MaxBytes: 1 << 20}, piece, seconds)
	if got != seconds || result.Err != nil {
		t.Errorf("slow stream: got cut after %d s (%v), want it to go on", got, result.Err)
	}
}
