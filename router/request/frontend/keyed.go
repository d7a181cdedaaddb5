package frontend

import (
	"context"
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/request/idempotency"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
)

// hasKey reports whether the request has an idempotency key.
func hasKey(request *http.Request) bool {
	return len(request.Header.Values(idempotency.KeyHeader)) > 0
}

// refuse answers a request that was refused before its key was looked at. Unless
// the fault is in the request itself, an earlier attempt with the key may have
// run.
func (f *Handler) refuse(writer http.ResponseWriter, request *http.Request, err error) {
	refused := *toOutcomeError(err)
	invalid := refused.Code == outcome.BadRequest || refused.Code == outcome.TooLarge
	if hasKey(request) && refused.Run == journal.NotRun && !invalid {
		refused.Run = journal.Unknown
	}
	f.writeError(writer, &refused)
}

// callerSink passes an answer on to a caller. Name sets the request that the
// answer names.
type callerSink interface {
	serve.Sink
	setRequest(request ident.Request)
}

// setRequest implements keyedSink. A whole answer names its request itself.
func (s *wholeSink) setRequest(ident.Request) {}

// setRequest implements keyedSink.
func (s *streamSink) setRequest(request ident.Request) {
	s.request = string(request)
}

// run serves the job of a request with the body: at most once for all requests
// with its idempotency key, if it has one.
func (f *Handler) run(writer http.ResponseWriter, request *http.Request, job serve.Job, body []byte, sink callerSink) error {
	if !hasKey(request) {
		return f.Runner.Run(request.Context(), job, sink)
	}
	keys := request.Header.Values(idempotency.KeyHeader)
	if len(keys) > 1 {
		return refusal(outcome.BadRequest, "key", idempotency.KeyHeader, "is given more than once")
	}
	forwarded := forward.IsForwarded(request.Context())
	if forwarded {
		writer.Header().Set(forward.SettledHeader, "true")
	}
	uri := request.URL.RequestURI()
	return f.Executor.Do(request.Context(), idempotency.Call{
		Key:         claim.Key{Team: job.Plan.Team.Name, Key: keys[0]},
		Fingerprint: idempotency.Fingerprint(request.Method, uri, body),
		Request:     job.Request,
		Budget:      job.Plan.Team.Budget,
		Reserved:    job.Plan.Reserve,
		Floor:       job.Plan.Floor,
		Forwarded:   forwarded,
		Dispatch: func(ctx context.Context, record idempotency.Recorder) error {
			return f.Runner.Run(ctx, job, recordingSink{record: record})
		},
		Forward: func(ctx context.Context, holder ident.Incarnation) error {
			ctx, cancel := context.WithTimeout(ctx, f.forwardTimeout(job))
			defer cancel()
			return f.forward(ctx, writer, holder, forward.Request{
				Method: request.Method,
				Path:   uri,
				Header: request.Header,
				Body:   body,
			})
		},
	}, replaySink{sink: sink})
}

// forwardTimeout returns how long a holder can take for the job.
func (f *Handler) forwardTimeout(job serve.Job) time.Duration {
	return f.Executor.Limits.StoreTimeout + job.Plan.Timeout + f.Runner.Limits.Final
}

// forward passes the request on to the holder and its answer to the caller. An
// answer that breaks off cuts the caller's connection too.
func (f *Handler) forward(ctx context.Context, writer http.ResponseWriter, holder ident.Incarnation, request forward.Request) error {
	response, err := f.Forwarder.Do(ctx, holder, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := forward.Relay(writer, response); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// ForwardedHandler returns the handler of requests that other routers pass on. It also
// serves while the process stops, so that what ran here is not taken for lost.
func (f *Handler) ForwardedHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		f.open.Add(1)
		defer f.open.Add(-1)
		f.mux.ServeHTTP(writer, request)
	})
}

// recordingSink records what a runner passes on.
type recordingSink struct {
	record idempotency.Recorder
}

// Begin implements serve.Sink. Recorded answers have no head of their own.
func (r recordingSink) Begin(int, http.Header) error {
	return nil
}

// Part implements serve.Sink.
func (r recordingSink) Part(part []byte) error {
	r.record.Part(part)
	return nil
}

// End implements serve.Sink.
func (r recordingSink) End(result serve.Response) error {
	r.record.End(response.Response{Status: result.Status, Header: result.Header, Body: result.Body})
	return nil
}

// replaySink passes a recorded answer on to a caller.
type replaySink struct {
	sink callerSink
}

// Begin implements once.Sink.
func (r replaySink) Begin(request ident.Request) {
	r.sink.setRequest(request)
}

// Part implements once.Sink.
func (r replaySink) Part(part []byte) error {
	return r.sink.Part(part)
}

// End implements once.Sink.
func (r replaySink) End(whole response.Response) error {
	return r.sink.End(serve.Response{
		Request: whole.Request,
		Status:  whole.Status,
		Header:  whole.Header,
		Body:    whole.Body,
	})
}
