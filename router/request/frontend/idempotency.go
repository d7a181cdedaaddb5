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

// refuse responds to a request that was refused before its idempotency key was checked.
// Unless the request itself is invalid, the response reports that it is unknown whether
// the request ran: an earlier attempt with the key may have run.
func (h *Handler) refuse(writer http.ResponseWriter, request *http.Request, err error) {
	refused := *toOutcomeError(err)
	invalid := refused.Code == outcome.BadRequest || refused.Code == outcome.TooLarge
	if hasKey(request) && refused.Run == journal.NotRun && !invalid {
		refused.Run = journal.Unknown
	}
	h.writeError(writer, &refused)
}

// callerSink writes a response to a caller.
type callerSink interface {
	serve.Sink
	// setRequestID sets the request ID that the header of a streamed response will have.
	setRequestID(request ident.Request)
}

// setRequestID implements callerSink. A response that is not streamed already has the
// request ID.
func (s *bufferedSink) setRequestID(ident.Request) {}

// setRequestID implements callerSink.
func (s *streamSink) setRequestID(request ident.Request) {
	s.request = string(request)
}

// run executes the job of a request and writes the response to the sink. If the request
// has an idempotency key, the job runs at most once for all requests with that key.
func (h *Handler) run(writer http.ResponseWriter, request *http.Request, job serve.Job, body []byte, sink callerSink) error {
	if !hasKey(request) {
		return h.Runner.Run(request.Context(), job, sink)
	}
	keys := request.Header.Values(idempotency.KeyHeader)
	if len(keys) > 1 {
		return refusal(outcome.BadRequest, "key", idempotency.KeyHeader, "is given more than once")
	}
	forwarded := forward.IsForwarded(request.Context())
	if forwarded {
		writer.Header().Set(forward.KeyCheckedHeader, "true")
	}
	uri := request.URL.RequestURI()
	return h.Executor.Do(request.Context(), idempotency.Call{
		Key:              claim.Key{Team: job.Plan.Team.Name, Key: keys[0]},
		Fingerprint:      idempotency.Fingerprint(request.Method, uri, body),
		Request:          job.Request,
		Budget:           job.Plan.Team.Budget,
		Reserved:         job.Plan.Reserve,
		Floor:            job.Plan.Floor,
		ResponseAtHolder: job.Plan.Homes.Bound(),
		Forwarded:        forwarded,
		Dispatch: func(ctx context.Context, record idempotency.Recorder) error {
			return h.Runner.Run(ctx, job, recordingSink{record: record})
		},
		Forward: func(ctx context.Context, holder ident.Incarnation) error {
			ctx, cancel := context.WithTimeout(ctx, h.forwardTimeout(job))
			defer cancel()
			return h.forward(ctx, writer, holder, forward.Request{
				Method: request.Method,
				Path:   uri,
				Header: request.Header,
				Body:   body,
				Homes:  job.Plan.Homes,
			})
		},
	}, replaySink{sink: sink})
}

// forwardTimeout returns the longest time that the holder of a key needs for the job.
func (h *Handler) forwardTimeout(job serve.Job) time.Duration {
	return h.Executor.Limits.StoreTimeout + job.Plan.Timeout + h.Runner.Limits.Final
}

// forward forwards the request to the holder of its key and relays the response to the
// caller. If the response is interrupted, the caller's connection is aborted too, so
// that the caller does not mistake a part for the whole response.
func (h *Handler) forward(ctx context.Context, writer http.ResponseWriter, holder ident.Incarnation, request forward.Request) error {
	response, err := h.Forwarder.Do(ctx, holder, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := forward.Relay(writer, response); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// ForwardedHandler returns the handler of requests that other routers forward. It also
// serves while the process is stopping, so that other routers still receive the
// responses of requests that ran here.
func (h *Handler) ForwardedHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		h.inProgress.Add(1)
		defer h.inProgress.Add(-1)
		h.mux.ServeHTTP(writer, request)
	})
}

// recordingSink records the response that a runner delivers.
type recordingSink struct {
	record idempotency.Recorder
}

// Begin implements serve.Sink. The head of a streamed response is not recorded.
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

// replaySink writes a recorded response to a caller.
type replaySink struct {
	sink callerSink
}

// Begin implements idempotency.Sink.
func (r replaySink) Begin(request ident.Request) {
	r.sink.setRequestID(request)
}

// Part implements idempotency.Sink.
func (r replaySink) Part(part []byte) error {
	return r.sink.Part(part)
}

// End implements idempotency.Sink.
func (r replaySink) End(whole response.Response) error {
	return r.sink.End(serve.Response{
		Request: whole.Request,
		Status:  whole.Status,
		Header:  whole.Header,
		Body:    whole.Body,
	})
}
