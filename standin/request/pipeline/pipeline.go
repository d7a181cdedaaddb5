// Package pipeline runs a request through the stages that all operations of a
// simulated endpoint share: arrival, validation, admission and execution, with
// the injected faults.
//
// # Usage
//
//	handler := pipeline.Handler(ep, pipeline.Operation[preparedRequest]{Prepare: prepare, Execute: execute})
package pipeline

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/standin/connection/faultwriter"
	"jacinthpaddle.example/standin/process/endpoint"
)

// Header names of requests and responses.
const (
	RequestIDHeader = "X-Request-Id"
	AttemptIDHeader = "X-Attempt-Id"
	StateHeader     = "X-Endpoint-State"
	RunHeader       = "X-Run"
)

// NotRun is the value of RunHeader when the request was refused and not run.
const NotRun = "not_run"

// wrongAttemptPrefix is prepended to the attempt ID of a response by the
// fault WrongAttempt.
const wrongAttemptPrefix = "wrong-"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// Input holds the parts of an HTTP request that operations use, and the faults
// that apply to it.
type Input struct {
	Path      string
	RequestID string
	Body      []byte
	Faults    endpoint.Faults
}

// Run is one execution of a request.
type Run struct {
	Context  context.Context
	Endpoint *endpoint.Endpoint
	Input    Input
	// Number counts the runs of the same request ID from 1.
	Number int
	Writer http.ResponseWriter
}

// Operation holds the steps in which a kind of request differs. P is the result
// of the validation.
type Operation[P any] struct {
	// Prepare validates the input and returns the number of prompt tokens. Nothing
	// has run if it returns an error.
	Prepare func(input Input) (prepared P, promptTokens int64, err error)
	// Execute runs the operation and writes the response.
	Execute func(run *Run, prepared P) error
}

// Handler returns an HTTP handler for one operation. Every refusal has the X-Run
// header with the value NotRun. If a run fails or has the fault RunThenDrop, the
// handler closes the connection without the rest of the response.
func Handler[P any](ep *endpoint.Endpoint, operation Operation[P]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		input := Input{
			Path:      r.URL.Path,
			RequestID: r.Header.Get(RequestIDHeader),
			Body:      body,
			Faults:    ep.Faults.Next(),
		}
		ep.Requests.AddAttempt(input.RequestID, input.Path)
		writeHeaders(w, r, ep.State(), input.Faults)
		if err != nil {
			refuse(w, http.StatusRequestEntityTooLarge, err)
			return
		}
		serveOperation(w, r, ep, operation, input)
	})
}

func writeHeaders(w http.ResponseWriter, r *http.Request, state endpoint.State, faults endpoint.Faults) {
	attempt := r.Header.Get(AttemptIDHeader)
	if faults.WrongAttempt {
		attempt = wrongAttemptPrefix + attempt
	}
	w.Header().Set(AttemptIDHeader, attempt)
	w.Header().Set(StateHeader, string(state))
}

func serveOperation[P any](w http.ResponseWriter, r *http.Request, ep *endpoint.Endpoint, operation Operation[P], input Input) {
	if input.Faults.RefuseAll {
		refuse(w, http.StatusServiceUnavailable, errRefused)
		return
	}
	prepared, promptTokens, err := operation.Prepare(input)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	ctx := r.Context()
	release, err := ep.Admit(ctx)
	if err != nil {
		refuseAdmission(w, err)
		return
	}
	defer release()
	run := &Run{Context: ctx, Endpoint: ep, Input: input, Writer: responseWriter(ctx, ep, w, input.Faults)}
	run.Number = ep.Requests.StartRun(input.RequestID, promptTokens)
	err = operation.Execute(run, prepared)
	if err != nil || input.Faults.RunThenDrop {
		panic(http.ErrAbortHandler)
	}
}

// responseWriter returns the writer for the response, which injects the faults.
func responseWriter(ctx context.Context, ep *endpoint.Endpoint, w http.ResponseWriter, faults endpoint.Faults) http.ResponseWriter {
	if faults.RunThenDrop {
		return faultwriter.Discard()
	}
	return faultwriter.New(ctx, ep.Clock, w, faultwriter.Config{
		FirstByteDelay:  time.Duration(faults.FirstByteDelayMS) * time.Millisecond,
		CutAfterBytes:   faults.CutAfterBytes,
		StallAfterBytes: faults.StallAfterBytes,
	})
}

func refuseAdmission(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, endpoint.ErrLeaving):
		w.Header().Set(StateHeader, string(endpoint.Leaving))
		refuse(w, http.StatusServiceUnavailable, err)
	case errors.Is(err, endpoint.ErrOverloaded):
		refuse(w, http.StatusTooManyRequests, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

// GenerateToken waits for the delay of one token and counts the token as generated.
// The first token has a delay of its own.
func (j *Run) GenerateToken(first bool) error {
	delay := j.Endpoint.Config.TokenDelay
	if first {
		delay = j.Endpoint.Config.FirstTokenDelay
	}
	if err := j.Wait(delay); err != nil {
		return err
	}
	j.Endpoint.Requests.AddToken(j.Input.RequestID)
	return nil
}

// Wait blocks for the delay. It returns the error of the context if the request
// is cancelled before.
func (j *Run) Wait(delay time.Duration) error {
	if delay <= 0 {
		return j.Context.Err()
	}
	timer := j.Endpoint.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-j.Context.Done():
		return j.Context.Err()
	}
}

// MarkCompleted records that a run has produced its whole response.
func (j *Run) MarkCompleted() {
	j.Endpoint.Requests.MarkCompleted(j.Input.RequestID)
}
