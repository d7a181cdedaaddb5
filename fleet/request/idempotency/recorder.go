package idempotency

import (
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/request/outcome"
)

// Recorder takes the answer of a run.
type Recorder interface {
	// Part adds a part of a streamed answer.
	Part(part []byte)
	// End takes the end of a streamed answer, or the whole of another.
	End(final response.Response)
}

// runRecorder keeps the end back until the run has returned.
type runRecorder struct {
	recording *response.Recording
	final     *response.Response
}

// Part implements Record.
func (r *runRecorder) Part(part []byte) {
	r.recording.Add(part)
}

// End implements Record.
func (r *runRecorder) End(final response.Response) {
	r.final = &final
}

// result returns the answer of a run that returned the error.
func (r *runRecorder) result(request ident.Request, err error) response.Response {
	switch {
	case err != nil:
		return response.Response{Request: request, Failure: encodeFailure(err)}
	case r.final == nil:
		missing := &outcome.Error{Code: outcome.EndpointFailed, Run: journal.Unknown, Object: "request", Reason: "ended without an answer"}
		return response.Response{Request: request, Failure: encodeFailure(missing)}
	}
	final := *r.final
	final.Request = request
	return final
}

// encodeFailure returns the kept form of an error. Nobody can tell whether a
// request with an error of another type ran.
func encodeFailure(err error) *response.Failure {
	var typed *outcome.Error
	if !errors.As(err, &typed) {
		typed = &outcome.Error{Code: outcome.EndpointFailed, Run: journal.Unknown, Object: "request", Reason: "the request failed", Cause: err}
	}
	return &response.Failure{
		Code:   string(typed.Code),
		Run:    typed.Run,
		Object: typed.Object,
		Name:   typed.Name,
		Field:  typed.Field,
		Reason: typed.Reason,
	}
}

func decodeFailure(failure *response.Failure) error {
	return &outcome.Error{
		Code:   outcome.Code(failure.Code),
		Run:    failure.Run,
		Object: failure.Object,
		Name:   failure.Name,
		Field:  failure.Field,
		Reason: failure.Reason,
	}
}

func refuse(code outcome.Code, reason string) error {
	return &outcome.Error{Code: code, Run: journal.NotRun, Object: "key", Field: KeyHeader, Reason: reason}
}

func lost(run journal.Run, reason string) error {
	return &outcome.Error{Code: outcome.Lost, Run: run, Object: "key", Field: KeyHeader, Reason: reason}
}
