package response

import (
	"bytes"
	"context"
	"sync"
)

// Recording is a response that may still grow. Its methods are safe for concurrent
// use.
type Recording struct {
	mu    sync.Mutex
	parts [][]byte
	end   *Response
	// changed is closed and replaced whenever parts or end change.
	changed chan struct{}
}

// Progress is the part of a recording that a reader has not received yet. End is set
// once the response is complete.
type Progress struct {
	Parts [][]byte
	End   *Response
}

// NewRecording returns an empty recording.
func NewRecording() *Recording {
	return &Recording{changed: make(chan struct{})}
}

// Add appends a copy of the part.
func (r *Recording) Add(part []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = append(r.parts, bytes.Clone(part))
	r.notify()
}

// End ends the recording and returns the complete response. Its parts are those that
// were added, or those of final if none were. Only the first call has an effect; later
// ones return its result.
func (r *Recording) End(final Response) Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return *r.end
	}
	if len(r.parts) == 0 {
		r.parts = final.Parts
	}
	final.Parts = r.parts
	r.end = &final
	r.notify()
	return final
}

// notify wakes all callers that wait in Next. The caller must hold mu.
func (r *Recording) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Next waits until the recording has ended or has more than skip parts, and returns
// the parts after the first skip ones. It returns the error of ctx if that is done
// first.
func (r *Recording) Next(ctx context.Context, skip int) (Progress, error) {
	for {
		progress, changed := r.after(skip)
		if progress.End != nil || len(progress.Parts) > 0 {
			return progress, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Progress{}, ctx.Err()
		}
	}
}

// after returns the parts after the first skip ones, and the channel that is closed at
// the next change.
func (r *Recording) after(skip int) (Progress, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := Progress{Parts: r.parts[skip:len(r.parts):len(r.parts)], End: r.end}
	return progress, r.changed
}
