package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/outcome"
)

// LastEventHeader names, by the standard of server-sent events, the last event
// that a client has.
const LastEventHeader = "Last-Event-Id"

// Bounds of a relayed event stream, in bytes.
const (
	eventReadBytes = 16 << 10
	maxEventBytes  = 1 << 20
)

// EventStream relays a stream of server-sent events as it is, whole events only, so
// that it can go on at another endpoint after the last one. It serves one
// request.
type EventStream struct {
	MaxBytes int64

	lastID string
	begun  bool
	count  int64
}

// Resume implements Resumer.
func (e *EventStream) Resume(header http.Header) {
	if e.lastID != "" {
		header.Set(LastEventHeader, e.lastID)
	}
}

// Relay implements Relay.
func (e *EventStream) Relay(ctx context.Context, plan admission.Plan, answer *endpoint.Response, sink Sink) RelayResult {
	if !strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") || answer.Status != http.StatusOK {
		if e.begun {
			return RelayResult{Delivered: true, Charge: e.charge(plan), Err: ran(outcome.EndpointFailed, "the stream was not resumed")}
		}
		return Verbatim{MaxBytes: e.MaxBytes}.Relay(ctx, plan, answer, sink)
	}
	done := RelayResult{Response: Response{Status: answer.Status, Header: answer.Header}}
	done.Err = e.copy(answer, sink)
	done.Delivered = e.begun
	done.Charge = e.charge(plan)
	done.Response.InputTokens = plan.Floor
	done.Response.OutputTokens = done.Charge - plan.Floor
	return done
}

// charge returns the cost of the prompt and of the events passed on. A stream that
// did not begin costs nothing.
func (e *EventStream) charge(plan admission.Plan) int64 {
	if !e.begun {
		return 0
	}
	return min(plan.Reserve, plan.Floor+e.count*plan.TokensPerEvent)
}

// copy passes on whole events until the end of the answer.
func (e *EventStream) copy(answer *endpoint.Response, sink Sink) error {
	var held []byte
	buffer := make([]byte, eventReadBytes)
	for {
		count, err := answer.Body.Read(buffer)
		held = append(held, buffer[:count]...)
		whole := wholeEvents(held)
		if failed := e.pass(answer, held[:whole], sink); failed != nil {
			return failed
		}
		held = append(held[:0], held[whole:]...)
		switch {
		case err == io.EOF && len(held) == 0:
			return nil
		case err == io.EOF:
			return e.broken(io.ErrUnexpectedEOF)
		case err != nil:
			return e.broken(err)
		case len(held) > maxEventBytes:
			return ran(outcome.TooLarge, "an event of the stream is too large")
		}
	}
}

// broken types the end of a stream that broke off. Before the first event it
// stays as it is, since it says how far the request had come.
func (e *EventStream) broken(err error) error {
	var call *endpoint.CallError
	if !e.begun && errors.As(err, &call) {
		return err
	}
	code := outcome.EndpointFailed
	if errors.As(err, &call) && call.Inactive {
		code = outcome.TimedOut
	}
	return &outcome.Error{Code: code, Run: journal.Ran, Object: "endpoint", Reason: "the endpoint's stream broke off", Cause: err}
}

// pass passes on whole events, but for those that the caller has.
func (e *EventStream) pass(answer *endpoint.Response, events []byte, sink Sink) error {
	events = e.fresh(events)
	if len(events) == 0 {
		return nil
	}
	if !e.begun {
		e.begun = true
		if err := sink.Begin(answer.Status, answer.Header); err != nil {
			return &CallerDisconnectedError{Cause: err}
		}
	}
	if err := sink.Part(events); err != nil {
		return &CallerDisconnectedError{Cause: err}
	}
	return nil
}

// fresh drops leading events that were passed on before, and notes the last one.
func (e *EventStream) fresh(events []byte) []byte {
	kept := events
	for rest := events; len(rest) > 0; {
		size := firstEvent(rest)
		id := eventID(rest[:size])
		rest = rest[size:]
		if id != "" && !after(id, e.lastID) {
			kept = rest
			continue
		}
		if id != "" {
			e.lastID = id
		}
		e.count++
	}
	return kept
}

// after reports whether an event comes after the last one. Ids grow.
func after(id, last string) bool {
	if last == "" {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	before, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > before
}

var eventEnd = []byte("\n\n")

// wholeEvents returns the size of the whole events at the start of the content.
func wholeEvents(content []byte) int {
	end := bytes.LastIndex(content, eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// firstEvent returns the size of the first event of whole ones.
func firstEvent(content []byte) int {
	return bytes.Index(content, eventEnd) + len(eventEnd)
}

// eventID returns the id of an event, or nothing.
func eventID(content []byte) string {
	for line := range bytes.Lines(content) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
