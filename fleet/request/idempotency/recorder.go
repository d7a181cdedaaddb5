package idempotency

import (
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/request/outcome"
)

// Recorder records the response of a run.
type Recorder interface {
	// Part appends a part of a streamed response.
	Part(part []byte)
	// End sets the end of a streamed response, or the whole response if it is not
	// streamed.
	End(final response.Response)
}

// runRecorder adds parts to a recording at once, and holds the end back until the run
// has returned, since an error of the run replaces the response.
type runRecorder struct {
	recording *response.Recording
	final     *response.Response
}

// Part implements Recorder.
func (r *runRecorder) Part(part []byte) {
	r.recording.Add(part)
}

// End implements Recorder.
func (r *runRecorder) End(final response.Response) {
	r.final = &final
}

// result returns the response of a run that returned err.
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

// encodeFailure returns the storable form of an error. Unless the error is an
// *outcome.Error, it is unknown whether the request ran.
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

// decodeFailure returns the error that encodeFailure was given, without its cause.
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

// refusalError returns the error of a key that is refused before its request is
// dispatched.
func refusalError(code outcome.Code, reason string) error {
	return &outcome.Error{Code: code, Run: journal.NotRun, Object: "key", Field: KeyHeader, Reason: reason}
}

// lostError returns the error of a request whose response is not available. run is the
// run status of the request.
func lostError(run journal.RunStatus, reason string) error {
	return &outcome.Error{Code: outcome.Lost, Run: run, Object: "key", Field: KeyHeader, Reason: reason}
}
