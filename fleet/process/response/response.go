// Package response records the responses to requests with an idempotency key, so
// that a repeat of a request gets the same complete response.
//
// A Recording is written by the single run of a request and read by any number of
// callers, while it grows and after its end. A Cache holds recordings, or other
// values, within limits: a value in progress is never evicted, and of the finished
// ones the oldest is evicted first.
//
// # Usage
//
//	recording, created := recordings.GetOrCreate(key, response.NewRecording)
//	if created {
//		go func() {
//			final := recording.End(run(recording))
//			recordings.Finish(key, final.Bytes())
//		}()
//	}
//	progress, err := recording.Next(ctx, 0)
package response

import (
	"net/http"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
)

// Response is the complete response to one request. A streamed response has Parts
// instead of a Body, and a request without a result has a Failure.
type Response struct {
	// Request identifies the request whose run produced the response.
	Request ident.Request `json:"request"`
	Status  int           `json:"status,omitempty"`
	Header  http.Header   `json:"header,omitempty"`
	Parts   [][]byte      `json:"parts,omitempty"`
	Body    []byte        `json:"body,omitempty"`
	Failure *Failure      `json:"failure,omitempty"`
}

// Failure describes why a request has no result. Its fields are those of outcome.Error
// in storable form.
type Failure struct {
	Code   string            `json:"code"`
	Run    journal.RunStatus `json:"run"`
	Object string            `json:"object,omitempty"`
	Name   string            `json:"name,omitempty"`
	Field  string            `json:"field,omitempty"`
	Reason string            `json:"reason,omitempty"`
}

// Run returns whether an endpoint did the work of the request.
func (r Response) Run() journal.RunStatus {
	if r.Failure != nil {
		return r.Failure.Run
	}
	return journal.Ran
}

// Bytes returns the total size of the body, parts, and header names and values.
func (r Response) Bytes() int64 {
	size := int64(len(r.Body))
	for _, part := range r.Parts {
		size += int64(len(part))
	}
	for name, values := range r.Header {
		size += int64(len(name))
		for _, value := range values {
			size += int64(len(value))
		}
	}
	return size
}
