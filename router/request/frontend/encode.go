package frontend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
)

// errorResponse is the JSON body of an error: the fields of the OpenAI API and those
// that this API adds.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string            `json:"message"`
	Type    string            `json:"type"`
	Param   string            `json:"param,omitempty"`
	Code    outcome.Code      `json:"code"`
	Run     journal.RunStatus `json:"run"`
	Object  string            `json:"object,omitempty"`
	Name    string            `json:"name,omitempty"`
}

func encodeError(err *outcome.Error) []byte {
	kind := "server_error"
	if err.Status() < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	encoded, _ := json.Marshal(errorResponse{Error: errorBody{
		Message: err.Reason,
		Type:    kind,
		Param:   err.Field,
		Code:    err.Code,
		Run:     err.Run,
		Object:  err.Object,
		Name:    err.Name,
	}})
	return encoded
}

// writeError responds with the error. One that is not an *outcome.Error is reported as a
// failure of the router.
func (h *Handler) writeError(writer http.ResponseWriter, err error) {
	reported := toOutcomeError(err)
	h.Metrics.Refusals.Add(context.Background(), 1, meter.Code(string(reported.Code)))
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(endpoint.RunHeader, string(reported.Run))
	if reported.Code == outcome.Overloaded {
		header.Set("Retry-After", "1")
	}
	writer.WriteHeader(reported.Status())
	_, _ = writer.Write(encodeError(reported))
}

func toOutcomeError(err error) *outcome.Error {
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &outcome.Error{Code: outcome.EndpointFailed, Run: journal.Unknown, Object: "router", Reason: "the request failed", Cause: err}
}

// droppedHeaders lists the headers of an endpoint's response that callers do not receive.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Te",
	"Proxy-Authenticate", endpoint.AttemptHeader, endpoint.StateHeader,
}

// bufferedSink writes a response that is not streamed, as a whole.
type bufferedSink struct {
	writer        http.ResponseWriter
	headerWritten bool
}

// Begin implements serve.Sink. The header is written by End.
func (s *bufferedSink) Begin(int, http.Header) error {
	return nil
}

// Part implements serve.Sink. A response that is not streamed has no parts.
func (s *bufferedSink) Part([]byte) error {
	return nil
}

// End implements serve.Sink.
func (s *bufferedSink) End(result serve.Response) error {
	s.headerWritten = true
	header := s.writer.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	header.Set(endpoint.RunHeader, string(journal.Ran))
	header.Set(endpoint.RequestHeader, string(result.Request))
	s.writer.WriteHeader(result.Status)
	_, err := s.writer.Write(result.Body)
	return err
}

// streamSink writes a chat completion as server-sent events.
type streamSink struct {
	bufferedSink
	flusher *http.ResponseController
	request string
}

// Part implements serve.Sink.
func (s *streamSink) Part(part []byte) error {
	s.writeHeader()
	return s.writeEvent(part)
}

// End implements serve.Sink. A result with a body was not streamed by the endpoint and is
// written unchanged.
func (s *streamSink) End(result serve.Response) error {
	if len(result.Body) > 0 {
		return s.bufferedSink.End(result)
	}
	s.writeHeader()
	return s.writeEvent([]byte("[DONE]"))
}

// abort ends a stream that has begun with the error instead of the [DONE] event.
func (s *streamSink) abort(err error) {
	_ = s.writeEvent(encodeError(toOutcomeError(err)))
}

func (s *streamSink) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(endpoint.RequestHeader, s.request)
	s.writer.WriteHeader(http.StatusOK)
}

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
)

func (s *streamSink) writeEvent(content []byte) error {
	event := make([]byte, 0, len(eventPrefix)+len(content)+len(eventEnd))
	event = append(event, eventPrefix...)
	event = append(event, content...)
	event = append(event, eventEnd...)
	if _, err := s.writer.Write(event); err != nil {
		return err
	}
	return s.flusher.Flush()
}
