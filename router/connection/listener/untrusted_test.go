package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/router/connection/listener"
)

// fixture is a listener with limits and a clock that stands still.
type fixture struct {
	*listener.Listener
	clock   *clock.Fake
	refused chan listener.Reason
	memory  *buffer.Receiver
}

func open(t *testing.T, limits listener.Limits) *fixture {
	t.Helper()
	f := &fixture{clock: clock.NewFake(), refused: make(chan listener.Reason, 64)}
	f.memory = &buffer.Receiver{Pool: &buffer.Pool{Capacity: 1 << 20}, Capacity: 1 << 20, Clock: f.clock}
	limits.Memory = f.memory
	limits.Refused = func(reason listener.Reason) { f.refused <- reason }
	opened, err := listener.Open("127.0.0.1:0", limits, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		_, _ = fmt.Fprint(writer, len(body))
	}))
	if err != nil {
		t.Fatal(err)
	}
	f.Listener = opened
	go func() { _ = opened.Serve() }()
	t.Cleanup(func() { _ = opened.Close() })
	return f
}

// caller is one connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *caller {
	t.Helper()
	connection, err := net.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{Conn: connection, reader: bufio.NewReader(connection)}
}

// exchange sends text and returns the status of the response and its body, or zero if the
// connection ends without one.
func (c *caller) exchange(text string) (status int, body string) {
	if _, err := io.WriteString(c, text); err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func lines(count int) string {
	var text strings.Builder
	for number := range count {
		_, _ = fmt.Fprintf(&text, "a%d:\r\n", number)
	}
	return text.String()
}

func TestHeadsWithTooManyLinesAreRefused(t *testing.T) {
	f := open(t, listener.Limits{MaxHeaderLines: 100})
	if got, _ := f.dial(t).exchange("GET / HTTP/1.1\r\nHost: a\r\n" + lines(97) + "\r\n"); got != http.StatusOK {
		t.Errorf("100 lines: got %d, want 200", got)
	}
	if got, _ := f.dial(t).exchange("GET / HTTP/1.1\r\nHost: a\r\n" + lines(98) + "\r\n"); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("101 lines: got %d, want 431", got)
	}
	if got := <-f.refused; got != listener.HeaderLines {
		t.Errorf("reason: got %q, want %q", got, listener.HeaderLines)
	}
}

// TestBodiesAreNoHeads sends requests on one connection, whose bodies have more lines than
// a head may have, and two requests at once.
func TestBodiesAreNoHeads(t *testing.T) {
	f := open(t, listener.Limits{MaxHeaderLines: 10})
	kept := f.dial(t)
	body := strings.Repeat("\n", 6000)
	post := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for range 3 {
		if status, got := kept.exchange(post); status != http.StatusOK || got != "6000" {
			t.Fatalf("got %d %q, want 200 and 6000", status, got)
		}
	}
	for index, text := range []string{post + getRequest, "", getRequest} {
		if status, _ := kept.exchange(text); status != http.StatusOK {
			t.Errorf("response %d of requests at once: got %d, want 200", index, status)
		}
	}
}

// TestHeadWithoutMemoryIsRefused has heads that stay open take the memory.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	f := open(t, listener.Limits{MaxHeaderBytes: 1 << 20})
	holder := f.memory.Open("other", func() {})
	if err := holder.Grow(700 << 10); err != nil {
		t.Fatal(err)
	}
	large := "GET / HTTP/1.1\r\nHost: a\r\n" + lines(2000) + "\r\n"
	if got, _ := f.dial(t).exchange(large); got != http.StatusServiceUnavailable {
		t.Errorf("large head: got %d, want 503", got)
	}
	if got, _ := f.dial(t).exchange(getRequest); got != http.StatusOK {
		t.Errorf("small head beside it: got %d, want 200", got)
	}
	holder.Reset()
	if got, _ := f.dial(t).exchange(large); got != http.StatusOK {
		t.Errorf("large head after it: got %d, want 200", got)
	}
}

func TestIdleConnectionsYieldFirst(t *testing.T) {
	f := open(t, listener.Limits{Connections: &listener.Gate{Max: 4}})
	idle := f.dial(t)
	if got, _ := idle.exchange(getRequest); got != http.StatusOK {
		t.Fatalf("got %d, want 200", got)
	}
	var silent []*caller
	for range 3 {
		silent = append(silent, f.dial(t))
		if _, err := io.WriteString(silent[len(silent)-1], "GET / HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	fresh := f.dial(t)
	if got, _ := fresh.exchange(getRequest); got != http.StatusOK {
		t.Errorf("new connection: got %d, want 200", got)
	}
	if got := <-f.refused; got != listener.Replaced {
		t.Errorf("reason: got %q, want %q", got, listener.Replaced)
	}
	if _, err := idle.reader.ReadByte(); err == nil {
		t.Error("idle connection: got a byte, want it closed")
	}
	for index, connection := range silent {
		if got, _ := connection.exchange("Host: a\r\n\r\n"); got != http.StatusOK {
			t.Errorf("connection %d whose request arrives: got %d, want 200", index, got)
		}
	}
}

// TestStalledConnectionsYield has all connections taken by heads that do not end, first
// within the grace of a request that arrives, then after it.
func TestStalledConnectionsYield(t *testing.T) {
	gate := &listener.Gate{Max: 2}
	f := open(t, listener.Limits{Connections: gate})
	stalled := []*caller{f.dial(t), f.dial(t)}
	for gate.Open() < 2 {
		runtime.Gosched()
	}
	if got, _ := f.dial(t).exchange(getRequest); got != 0 {
		t.Errorf("within the grace: got %d, want the connection closed", got)
	}
	if got := <-f.refused; got != listener.NoConnection {
		t.Errorf("reason: got %q, want %q", got, listener.NoConnection)
	}
	f.clock.Advance(buffer.StallGrace)
	if got, _ := f.dial(t).exchange(getRequest); got != http.StatusOK {
		t.Errorf("after the grace: got %d, want 200", got)
	}
	ended := 0
	for _, connection := range stalled {
		if got, _ := connection.exchange(getRequest); got == 0 {
			ended++
		}
	}
	if ended != 1 {
		t.Errorf("stalled connections that ended: got %d, want 1", ended)
	}
}
