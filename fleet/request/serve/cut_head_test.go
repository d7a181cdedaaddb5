package serve_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
)

// framings are the ways in which a head announces the end of its body.
var framings = map[string]string{
	"length":     "Content-Length: 13\r\n",
	"chunks":     "Transfer-Encoding: chunked\r\n",
	"connection": "Connection: close\r\n",
}

// brokenResponse returns a successful response that ends early: its head, and where the head
// announces the end of the body also the first byte of that.
func brokenResponse(contentType, framing string) string {
	head := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
		"HTTP/1.1 200 OK\r\n" + framing + "Content-Type: " + contentType + "\r\n\r\n"
	if framing == framings["connection"] {
		return head[:len(head)-1]
	}
	return head + "1"
}

// TestHeadThatEndsEarlyIsNoResponse guards against an endpoint that stops inside the head of
// its response and closes the connection: callers got a 200 with an empty or short body,
// framed as whole. The response is cut at each byte of its head and just after it.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	relays := []struct {
		name, contentType string
		relay             func(h *harness) serve.Relay
	}{
		{"verbatim", "application/json", func(*harness) serve.Relay { return serve.Verbatim{MaxBytes: 1 << 20} }},
		{"buffered", "application/json", func(*harness) serve.Relay { return serve.Buffered{MaxBytes: 1 << 20} }},
		{"event stream", "text/event-stream", func(*harness) serve.Relay { return &serve.EventStream{MaxBytes: 1 << 20} }},
		{"event stream, no events", "application/json", func(*harness) serve.Relay { return &serve.EventStream{MaxBytes: 1 << 20} }},
		{"chat stream", "text/event-stream", (*harness).stream},
	}
	for _, test := range relays {
		for framing, header := range framings {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept %t", test.name, framing, kept), func(t *testing.T) {
					checkCutHeads(t, brokenResponse(test.contentType, header), kept, test.relay)
				})
			}
		}
	}
}

// checkCutHeads runs a request for each byte at which the response may end, each on a new
// connection or on one that has carried a whole response.
func checkCutHeads(t *testing.T, broken string, kept bool, newRelay func(*harness) serve.Relay) {
	t.Helper()
	var sent atomic.Value
	var lastConnection string
	made := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		previous := lastConnection
		lastConnection = request.RemoteAddr
		if request.URL.Path == "/whole" {
			_, _ = io.WriteString(writer, "{}")
			return
		}
		if reused := previous == lastConnection; reused != kept {
			t.Errorf("connection: got reused %t, want %t", reused, kept)
		}
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(connection, sent.Load().(string))
		_ = connection.Close()
	})
	made.plan.Idempotent = false
	made.plan.Reserve = 0
	run := func(path string, relay serve.Relay, into serve.Sink) error {
		call := endpoint.Call{Method: http.MethodPost, Path: path, Header: http.Header{}}
		return made.runner.Run(context.Background(), serve.Job{Request: "self-1", Plan: made.plan, Call: call, Relay: relay}, into)
	}
	for cut := range len(broken) + 1 {
		if kept {
			if err := run("/whole", serve.Verbatim{MaxBytes: 1 << 20}, &sink{}); err != nil {
				t.Fatalf("whole response: got %v", err)
			}
		}
		sent.Store(broken[:cut])
		caller := &sink{}
		err := run("/cut", newRelay(made), caller)
		var failure *outcome.Error
		if !errors.As(err, &failure) {
			t.Errorf("response that ends after %q: got %v, want an outcome", broken[:cut], err)
		}
		if caller.status != 0 || caller.ended || len(caller.parts) > 0 {
			t.Errorf("response that ends after %q: got %+v delivered, want nothing", broken[:cut], caller)
		}
	}
}
