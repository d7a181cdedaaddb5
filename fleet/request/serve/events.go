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

	lastEventID string
	started     bool
	delivered   int64
}

// Resume implements Resumer.
func (e *EventStream) Resume(header http.Header) {
	if e.lastEventID != "" {
		header.Set(LastEventHeader, e.lastEventID)
	}
}

// Relay implements Relay.
func (e *EventStream) Relay(ctx context.Context, plan admission.Plan, response *endpoint.Response, sink Sink) RelayResult {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") || response.Status != http.StatusOK {
		if e.started {
			return RelayResult{Delivered: true, Charge: e.charge(plan), Err: ranError(outcome.EndpointFailed, "the stream was not resumed")}
		}
		return Verbatim{MaxBytes: e.MaxBytes}.Relay(ctx, plan, response, sink)
	}
	done := RelayResult{Response: Response{Status: response.Status, Header: response.Header}}
	done.Err = e.relayEvents(response, sink)
	done.Delivered = e.started
	done.Charge = e.charge(plan)
	done.Response.InputTokens = plan.Floor
	done.Response.OutputTokens = done.Charge - plan.Floor
	return done
}

// charge returns the cost of the prompt and of the events passed on. A stream that
// did not begin costs nothing.
func (e *EventStream) charge(plan admission.Plan) int64 {
	if !e.started {
		return 0
	}
	return min(plan.Reserve, plan.Floor+e.delivered*plan.TokensPerEvent)
}

// relayEvents passes on whole events until the end of the answer.
func (e *EventStream) relayEvents(response *endpoint.Response, sink Sink) error {
	var pending []byte
	buffer := make([]byte, eventReadBytes)
	for {
		count, err := response.Body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		complete := completeEventsSize(pending)
		if failed := e.deliver(response, pending[:complete], sink); failed != nil {
			return failed
		}
		pending = append(pending[:0], pending[complete:]...)
		switch {
		case err == io.EOF && len(pending) == 0:
			return nil
		case err == io.EOF:
			return e.interrupted(io.ErrUnexpectedEOF)
		case err != nil:
			return e.interrupted(err)
		case len(pending) > maxEventBytes:
			return ranError(outcome.TooLarge, "an event of the stream is too large")
		}
	}
}

// interrupted types the end of a stream that broke off. Before the first event it
// stays as it is, since it says how far the request had come.
func (e *EventStream) interrupted(err error) error {
	var call *endpoint.CallError
	if !e.started && errors.As(err, &call) {
		return err
	}
	code := outcome.EndpointFailed
	if errors.As(err, &call) && call.Inactive {
		code = outcome.TimedOut
	}
	return &outcome.Error{Code: code, Run: journal.Ran, Object: "endpoint", Reason: "the endpoint's stream broke off", Cause: err}
}

// deliver passes on whole events, but for those that the caller has.
func (e *EventStream) deliver(response *endpoint.Response, events []byte, sink Sink) error {
	events = e.dropDelivered(events)
	if len(events) == 0 {
		return nil
	}
	if !e.started {
		e.started = true
		if err := sink.Begin(response.Status, response.Header); err != nil {
			return &CallerDisconnectedError{Cause: err}
		}
	}
	if err := sink.Part(events); err != nil {
		return &CallerDisconnectedError{Cause: err}
	}
	return nil
}

// dropDelivered drops leading events that were passed on before, and notes the last one.
func (e *EventStream) dropDelivered(events []byte) []byte {
	kept := events
	for rest := events; len(rest) > 0; {
		size := firstEventSize(rest)
		id := eventID(rest[:size])
		rest = rest[size:]
		if id != "" && !follows(id, e.lastEventID) {
			kept = rest
			continue
		}
		if id != "" {
			e.lastEventID = id
		}
		e.delivered++
	}
	return kept
}

// follows reports whether an event comes follows the last one. Ids grow.
func follows(id, last string) bool {
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

// completeEventsSize returns the size of the whole events at the start of the content.
func completeEventsSize(content []byte) int {
	end := bytes.LastIndex(content, eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// firstEventSize returns the size of the first event of whole ones.
func firstEventSize(content []byte) int {
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
