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

// failure is the OpenAI form of an error, with what this API adds to it.
type failure struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Message string            `json:"message"`
	Type    string            `json:"type"`
	Param   string            `json:"param,omitempty"`
	Code    outcome.Code      `json:"code"`
	Run     journal.RunStatus `json:"run"`
	Object  string            `json:"object,omitempty"`
	Name    string            `json:"name,omitempty"`
}

func encodeFailure(err *outcome.Error) []byte {
	kind := "server_error"
	if err.Status() < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	encoded, _ := json.Marshal(failure{Error: failureBody{
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

// fail answers with the error. An error without a type is one of ours.
func (f *Handler) fail(writer http.ResponseWriter, err error) {
	typed := typedFailure(err)
	f.Metrics.Refusals.Add(context.Background(), 1, meter.Code(string(typed.Code)))
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(endpoint.RunHeader, string(typed.Run))
	if typed.Code == outcome.Overloaded {
		header.Set("Retry-After", "1")
	}
	writer.WriteHeader(typed.Status())
	_, _ = writer.Write(encodeFailure(typed))
}

func typedFailure(err error) *outcome.Error {
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &outcome.Error{Code: outcome.EndpointFailed, Run: journal.Unknown, Object: "router", Reason: "the request failed", Cause: err}
}

// dropped lists headers of an endpoint's answer that are not passed on.
var dropped = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Te",
	"Proxy-Authenticate", endpoint.AttemptHeader, endpoint.StateHeader,
}

// plainSink passes on whole answers.
type plainSink struct {
	writer http.ResponseWriter
	sent   bool
}

// Begin implements serve.Sink. Whole answers have no parts to follow.
func (s *plainSink) Begin(int, http.Header) error {
	return nil
}

// Part implements serve.Sink. Whole answers have no parts.
func (s *plainSink) Part([]byte) error {
	return nil
}

// End implements serve.Sink.
func (s *plainSink) End(result serve.Response) error {
	s.sent = true
	header := s.writer.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	for _, name := range dropped {
		header.Del(name)
	}
	header.Set(endpoint.RunHeader, string(journal.Ran))
	header.Set(endpoint.RequestHeader, string(result.Request))
	s.writer.WriteHeader(result.Status)
	_, err := s.writer.Write(result.Body)
	return err
}

// streamSink passes on a streamed chat completion.
type streamSink struct {
	plainSink
	flusher *http.ResponseController
	request string
}

// Part implements serve.Sink.
func (s *streamSink) Part(part []byte) error {
	s.begin()
	return s.data(part)
}

// End implements serve.Sink.
func (s *streamSink) End(result serve.Response) error {
	if len(result.Body) > 0 {
		return s.plainSink.End(result)
	}
	s.begin()
	return s.data([]byte("[DONE]"))
}

// abort ends a stream that has begun with the error in place of its end.
func (s *streamSink) abort(err error) {
	_ = s.data(encodeFailure(typedFailure(err)))
}

func (s *streamSink) begin() {
	if s.sent {
		return
	}
	s.sent = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(endpoint.RequestHeader, s.request)
	s.writer.WriteHeader(http.StatusOK)
}

var (
	framePrefix = []byte("data: ")
	frameEnd    = []byte("\n\n")
)

func (s *streamSink) data(content []byte) error {
	frame := make([]byte, 0, len(framePrefix)+len(content)+len(frameEnd))
	frame = append(frame, framePrefix...)
	frame = append(frame, content...)
	frame = append(frame, frameEnd...)
	if _, err := s.writer.Write(frame); err != nil {
		return err
	}
	return s.flusher.Flush()
}
