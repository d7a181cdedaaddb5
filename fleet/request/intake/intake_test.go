package intake_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/request/intake"
	"jacinthpaddle.example/fleet/request/outcome"
)

const maxBytes = 1 << 20

// fixture is a server that responds with the length of the body that it read.
type fixture struct {
	address  string
	receiver *buffer.Receiver
	// errors has the error of each read.
	errors chan error
}

func newFixture(t *testing.T, reader *intake.Reader, capacity int64) *fixture {
	t.Helper()
	f := &fixture{
		receiver: &buffer.Receiver{Pool: &buffer.Pool{Capacity: capacity}, Capacity: capacity, Clock: clock.New()},
		errors:   make(chan error, 16),
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := reader.Read(writer, request)
		f.errors <- err
		if err != nil {
			writer.WriteHeader(intake.Refusal(err).Status())
			return
		}
		_, _ = fmt.Fprint(writer, len(body), bytes.Count(body, []byte("x")))
	}))
	server.Config.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return buffer.WithIntake(ctx, f.receiver.Open("caller", func() { _ = connection.SetReadDeadline(time.Unix(0, 1)) }))
	}
	server.Start()
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

func newReader() *intake.Reader {
	return &intake.Reader{Clock: clock.New(), MaxBytes: maxBytes, StallTimeout: time.Minute, Timeout: time.Hour}
}

// post sends a body, without its length if it is chunked.
func (f *fixture) post(t *testing.T, size int, chunked bool) (status int, body string) {
	t.Helper()
	var content io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		content = io.MultiReader(content)
	}
	response, err := http.Post("http://"+f.address, "text/plain", content)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(read)
}

func TestBodiesAreReadWhole(t *testing.T) {
	f := newFixture(t, newReader(), 4<<20)
	for _, size := range []int{1, 100, 16 << 10, 16<<10 + 1, 100_000, maxBytes} {
		for _, chunked := range []bool{false, true} {
			status, got := f.post(t, size, chunked)
			if want := fmt.Sprint(size, size); status != http.StatusOK || got != want {
				t.Errorf("%d bytes, chunked %t: got %d %q, want %q", size, chunked, status, got, want)
			}
		}
	}
}

func TestLargeBodiesAreRefused(t *testing.T) {
	f := newFixture(t, newReader(), 4<<20)
	for _, chunked := range []bool{false, true} {
		if got, _ := f.post(t, maxBytes+1, chunked); got != http.StatusRequestEntityTooLarge {
			t.Errorf("chunked %t: got %d, want 413", chunked, got)
		}
	}
}

// TestBodyWithoutRoomIsRefused has a body that does not fit into the memory of all.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	f := newFixture(t, newReader(), 256<<10)
	if got, _ := f.post(t, maxBytes, false); got != http.StatusTooManyRequests {
		t.Errorf("large body: got %d, want 429", got)
	}
	var full *buffer.FullError
	if err := <-f.errors; !errors.As(err, &full) {
		t.Errorf("error: got %v, want a FullError", err)
	}
	if got, _ := f.post(t, 1000, false); got != http.StatusOK {
		t.Errorf("small body after it: got %d, want 200", got)
	}
}

// send sends text on a connection of its own and returns the response.
func (f *fixture) send(t *testing.T, text string) *http.Response {
	t.Helper()
	connection, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response
}

// TestStalledBodyEnds has a clock whose deadlines have passed, so that the body stalls at
// once.
func TestStalledBodyEnds(t *testing.T) {
	reader := &intake.Reader{Clock: clock.NewFake(), MaxBytes: maxBytes, StallTimeout: time.Second}
	f := newFixture(t, reader, 4<<20)
	response := f.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")
	if response.StatusCode != http.StatusRequestTimeout || !response.Close {
		t.Errorf("got %d, close %t, want 408 and the connection closed", response.StatusCode, response.Close)
	}
	err := <-f.errors
	var stalled *intake.StalledError
	if !errors.As(err, &stalled) || stalled.Announced != 100_000 {
		t.Errorf("error: got %v, want a StalledError", err)
	}
	if got := intake.Refusal(err); got.Code != outcome.Stalled || got.Run != "not_run" {
		t.Errorf("refusal: got %+v, want stalled and not_run", got)
	}
	if got := f.receiver.Used(); got != 0 {
		t.Errorf("memory after it: got %d, want 0", got)
	}
}
