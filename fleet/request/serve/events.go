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

// LastEventHeader is the header of the server-sent events standard in which a client
// sends the id of the last event that it received.
const LastEventHeader = "Last-Event-Id"

// Limits of a relayed event stream, in bytes.
const (
	eventReadBytes = 16 << 10
	maxEventBytes  = 1 << 20
	// progressBytes is the part of an unfinished event that counts as progress.
	progressBytes = 4 << 10
)

// EventStream relays a stream of server-sent events unchanged. It delivers complete
// events only, so that another endpoint can continue the stream after the last one. A
// value serves one request.
type EventStream struct {
	// MaxBytes bounds the body of a response that is not an event stream.
	MaxBytes int64

	// lastEventID is the id of the last delivered event, or empty.
	lastEventID string
	// started is true once the head of the response was delivered.
	started bool
	// delivered is the number of delivered events.
	delivered int64
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
	result := RelayResult{Response: Response{Status: response.Status, Header: response.Header}}
	result.Err = e.relayEvents(response, sink)
	result.Delivered = e.started
	result.Charge = e.charge(plan)
	result.Response.InputTokens = plan.Floor
	result.Response.OutputTokens = max(0, result.Charge-plan.Floor)
	return result
}

// charge returns plan.Floor for the prompt and plan.TokensPerEvent for each delivered
// event, at most the reservation. A stream of which nothing was delivered is free.
func (e *EventStream) charge(plan admission.Plan) int64 {
	if !e.started {
		return 0
	}
	return min(plan.Reserve, plan.Floor+e.delivered*plan.TokensPerEvent)
}

// relayEvents delivers complete events until the end of the response. Comments before
// the first event are delivered with it, since another endpoint can still take over as
// long as nothing was delivered.
//
// Only content counts as progress: an event, or progressBytes more of one. An endpoint
// that sends nothing but comments or single bytes has stalled. A response without a length
// ends with its connection, and counts as broken off if it has no event.
func (e *EventStream) relayEvents(response *endpoint.Response, sink Sink) error {
	var pending []byte
	buffer := make([]byte, eventReadBytes)
	response.MeasureProgress()
	progressAt := progressBytes
	begun := false
	for {
		count, err := response.Body.Read(buffer)
		// Ends of events in what was pending were found before.
		searched := max(0, len(pending)-len(eventEnd)+1)
		pending = append(pending, buffer[:count]...)
		if full := response.Buffer.Resize(int64(cap(pending))); full != nil {
			return noMemory(full)
		}
		complete := completeEventsSize(pending[searched:])
		if complete > 0 {
			complete += searched
		}
		hasContent := containsEvent(pending[:complete])
		begun = begun || hasContent
		if hasContent || len(pending) >= progressAt {
			response.Progressed()
			progressAt = len(pending) + progressBytes
		}
		if !hasContent && !e.started {
			complete = 0
		}
		if complete > 0 {
			progressAt = progressBytes
		}
		if failed := e.deliver(response, pending[:complete], sink); failed != nil {
			return failed
		}
		pending = append(pending[:0], pending[complete:]...)
		switch {
		case err == io.EOF && len(pending) == 0 && (begun || response.Delimited):
			return nil
		case err == io.EOF:
			return e.interrupted(io.ErrUnexpectedEOF)
		case err != nil:
			return e.interrupted(err)
		case len(pending) > maxEventBytes:
			return ranError(outcome.EndpointFailed, "an event of the stream is too large")
		}
	}
}

// interrupted returns the error for a stream that ended early. Before the first event
// it returns a CallError unchanged, because its phase decides whether the request may
// be retried.
func (e *EventStream) interrupted(err error) error {
	var call *endpoint.CallError
	if !e.started && errors.As(err, &call) {
		return err
	}
	return &outcome.Error{Code: outcomeCode(err), Run: journal.Ran, Object: "endpoint", Reason: "the endpoint's stream broke off", Cause: err}
}

// deliver sends complete events to the caller, except for those that it already has.
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

// dropDelivered removes the leading events that were delivered by an earlier attempt,
// records the last id and counts the remaining events, without comments.
func (e *EventStream) dropDelivered(events []byte) []byte {
	kept := events
	for rest := events; len(rest) > 0; {
		size := firstEventSize(rest)
		event := rest[:size]
		id := eventID(event)
		rest = rest[size:]
		if id != "" && !follows(id, e.lastEventID) {
			kept = rest
			continue
		}
		if id != "" {
			e.lastEventID = id
		}
		if containsEvent(event) {
			e.delivered++
		}
	}
	return kept
}

// follows reports whether an event comes after the last delivered one. Numeric ids
// increase; any other id only has to differ.
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

// completeEventsSize returns the size in bytes of the complete events at the start of
// the content.
func completeEventsSize(content []byte) int {
	end := bytes.LastIndex(content, eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// containsEvent reports whether complete events have a line that is not a comment.
func containsEvent(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// firstEventSize returns the size in bytes of the first event. The content must start
// with a complete event.
func firstEventSize(content []byte) int {
	return bytes.Index(content, eventEnd) + len(eventEnd)
}

// eventID returns the id of an event, or the empty string if it has none.
func eventID(content []byte) string {
	for line := range bytes.Lines(content) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
