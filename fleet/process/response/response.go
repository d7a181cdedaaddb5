// Package response keeps the answers of keyed requests, so that a repeat gets the
// same whole answer.
//
// A Recording is written by the one run of a request and followed by any number
// of callers, while it grows and after its end. A Memory holds recordings, or
// anything else, within bounds: what is in progress always stays, and of what
// has finished the oldest goes first.
//
// # Usage
//
//	held, fresh := recordings.Begin(key, response.NewRecording)
//	if fresh {
//		go func() {
//			whole := held.End(run(held))
//			recordings.Finish(key, whole.Bytes())
//		}()
//	}
//	progress, err := held.Next(ctx, 0)
package response

import (
	"net/http"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
)

// Response is the whole answer to one request. A streamed one has Parts, and one
// that is not the result a Failure.
type Response struct {
	Request ident.Request `json:"request"`
	Status  int           `json:"status,omitempty"`
	Header  http.Header   `json:"header,omitempty"`
	Parts   [][]byte      `json:"parts,omitempty"`
	Body    []byte        `json:"body,omitempty"`
	Failure *Failure      `json:"failure,omitempty"`
}

// Failure is the end of a request that has no result.
type Failure struct {
	Code   string      `json:"code"`
	Run    journal.Run `json:"run"`
	Object string      `json:"object,omitempty"`
	Name   string      `json:"name,omitempty"`
	Field  string      `json:"field,omitempty"`
	Reason string      `json:"reason,omitempty"`
}

// Run tells whether the work of the request was done.
func (a Response) Run() journal.Run {
	if a.Failure != nil {
		return a.Failure.Run
	}
	return journal.Ran
}

// Bytes returns the size of the content.
func (a Response) Bytes() int64 {
	size := int64(len(a.Body))
	for _, part := range a.Parts {
		size += int64(len(part))
	}
	for name, values := range a.Header {
		size += int64(len(name))
		for _, value := range values {
			size += int64(len(value))
		}
	}
	return size
}
