package response

import (
	"bytes"
	"context"
	"sync"
)

// Recording is an answer that may still grow. Its methods are safe for
// concurrent use.
type Recording struct {
	mu      sync.Mutex
	parts   [][]byte
	end     *Response
	changed chan struct{}
}

// Progress is what a recording holds past a position. End is set once the
// answer is whole.
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

// End ends the recording and returns the whole answer. Its parts are those that
// were added, or else its own. Only the first call counts.
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

func (r *Recording) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Next waits until the recording has ended or has more than the number of parts,
// and returns what is past them.
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

func (r *Recording) after(skip int) (Progress, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := Progress{Parts: r.parts[skip:len(r.parts):len(r.parts)], End: r.end}
	return progress, r.changed
}
