// Package pipeline takes a request for work through the stages that all kinds have
// in common: arrival, refusal, admission, run and faults.
//
// # Usage
//
//	handler := pipeline.Handler(engine, pipeline.Operation[Config]{Prepare: prepare, Run: run})
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

// Headers of requests and answers.
const (
	RequestIDHeader = "X-Request-Id"
	AttemptIDHeader = "X-Attempt-Id"
	StateHeader     = "X-Endpoint-State"
	RunHeader       = "X-Run"
)

// NotRun is the value of RunHeader in a refusal.
const NotRun = "not_run"

// wrongAttemptPrefix starts the attempt id in an answer with the fault WrongAttempt.
const wrongAttemptPrefix = "wrong-"

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 8 << 20

// Input is a request that has been read.
type Input struct {
	Path      string
	RequestID string
	Body      []byte
	Faults    endpoint.Faults
}

// Run is one run of a request.
type Run struct {
	Context  context.Context
	Endpoint *endpoint.Endpoint
	Input    Input
	Number   int
	Writer   http.ResponseWriter
}

// Operation is one kind of work. Prepare checks the input before anything runs and
// says how many tokens the prompt has. Run does the work and writes the answer.
type Operation[P any] struct {
	Prepare func(input Input) (plan P, promptTokens int64, err error)
	Execute func(job *Run, plan P) error
}

// Handler serves one kind of work.
func Handler[P any](engine *endpoint.Endpoint, kind Operation[P]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		input := Input{
			Path:      r.URL.Path,
			RequestID: r.Header.Get(RequestIDHeader),
			Body:      body,
			Faults:    engine.Faults.Next(),
		}
		engine.Requests.AddAttempt(input.RequestID, input.Path)
		writeHeaders(w, r, engine.State(), input.Faults)
		if err != nil {
			refuse(w, http.StatusRequestEntityTooLarge, err)
			return
		}
		serveOperation(w, r, engine, kind, input)
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

func serveOperation[P any](w http.ResponseWriter, r *http.Request, engine *endpoint.Endpoint, kind Operation[P], input Input) {
	if input.Faults.RefuseAll {
		refuse(w, http.StatusServiceUnavailable, errRefused)
		return
	}
	plan, promptTokens, err := kind.Prepare(input)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	ctx := r.Context()
	release, err := engine.Admit(ctx)
	if err != nil {
		refuseAdmission(w, err)
		return
	}
	defer release()
	job := &Run{Context: ctx, Endpoint: engine, Input: input, Writer: responseWriter(ctx, engine, w, input.Faults)}
	job.Number = engine.Requests.StartRun(input.RequestID, promptTokens)
	err = kind.Execute(job, plan)
	if err != nil || input.Faults.RunThenDrop {
		panic(http.ErrAbortHandler)
	}
}

// responseWriter returns where the answer goes.
func responseWriter(ctx context.Context, engine *endpoint.Endpoint, w http.ResponseWriter, faults endpoint.Faults) http.ResponseWriter {
	if faults.RunThenDrop {
		return faultwriter.Discard()
	}
	return faultwriter.New(ctx, engine.Clock, w, faultwriter.Config{
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

// GenerateToken waits until the next token of the answer is generated and counts it.
// The first one takes longer.
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

// Wait waits for the delay, or returns an error once the request is cancelled.
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

// MarkCompleted notes that the whole answer was produced.
func (j *Run) MarkCompleted() {
	j.Endpoint.Requests.MarkCompleted(j.Input.RequestID)
}
