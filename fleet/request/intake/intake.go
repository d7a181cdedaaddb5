// Package intake reads the bodies of requests within the memory that all requests of a
// process share. A body takes its memory as it arrives, not by the announced length, and
// gives it back if it makes no progress.
//
// # Usage
//
//	reader := &intake.Reader{Clock: clock.New(), MaxBytes: 1 << 20, StallTimeout: 10 * time.Second}
//	body, err := reader.Read(writer, request)
//	var incomplete *intake.StalledError
package intake

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/clock"
)

// Reader reads bodies. It is safe for concurrent use, and its fields must not change.
type Reader struct {
	Clock    clock.Clock
	MaxBytes int64
	// StallTimeout bounds the time without any byte of the body. Zero is no bound.
	StallTimeout time.Duration
	// Timeout bounds the time for the whole body. Zero is no bound.
	Timeout time.Duration

	free freeList
	// joining is held while the pieces of a body are joined, which takes its size again.
	joining sync.Mutex
}

// StalledError means that a body did not arrive in time.
type StalledError struct {
	// Received is the number of bytes that arrived.
	Received int64
	// Announced is the announced length, or -1 for a body of unknown length.
	Announced int64
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("no progress after %d bytes, announced are %d", e.Received, e.Announced)
}

// reading is one body that is read.
type reading struct {
	*Reader
	body      io.Reader
	announced int64
	intake    *buffer.Intake
	control   *http.ResponseController
	deadline  time.Time
	// short is the buffer of a body that fits into one piece.
	short  []byte
	pieces []*piece
	// space is the unused part of the last buffer.
	space []byte
	size  int64
	// completed is set once the whole body was read.
	completed bool
}

// Read reads the body of a request. If its connection has an intake, the body takes its
// memory from there and is complete afterwards. The error is an *http.MaxBytesError, a
// *StalledError, a *buffer.FullError, a *buffer.RevokedError, or that of the connection.
func (r *Reader) Read(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength > r.MaxBytes {
		return nil, &http.MaxBytesError{Limit: r.MaxBytes}
	}
	body := http.MaxBytesReader(writer, request.Body, r.MaxBytes)
	intake := buffer.IntakeFrom(request.Context())
	if intake == nil {
		return io.ReadAll(body)
	}
	read := &reading{
		Reader:    r,
		body:      body,
		announced: request.ContentLength,
		intake:    intake,
		control:   http.NewResponseController(writer),
	}
	if r.Timeout > 0 {
		read.deadline = r.Clock.Now().Add(r.Timeout)
	}
	defer read.release()
	intake.Begin()
	if err := read.all(); err != nil {
		return nil, read.explain(err)
	}
	if err := intake.Complete(); err != nil {
		return nil, err
	}
	read.completed = true
	return read.join(), nil
}

// all reads up to the end of the body.
func (r *reading) all() error {
	for {
		if len(r.space) == 0 {
			if err := r.addSpace(); err != nil {
				return err
			}
		}
		if err := r.extendDeadline(); err != nil {
			return err
		}
		count, err := r.body.Read(r.space)
		r.space = r.space[count:]
		r.size += int64(count)
		if count > 0 {
			r.intake.Progress()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// addSpace takes memory for the next bytes.
func (r *reading) addSpace() error {
	if r.size == 0 && r.announced > 0 && r.announced <= pieceBytes {
		if err := r.intake.Grow(r.announced); err != nil {
			return err
		}
		r.short = make([]byte, r.announced)
		r.space = r.short
		return nil
	}
	if err := r.intake.Grow(pieceBytes); err != nil {
		return err
	}
	piece := r.free.take()
	r.pieces = append(r.pieces, piece)
	r.space = piece[:]
	return nil
}

// extendDeadline gives the next bytes their time. It fails if the memory was revoked: the
// new deadline could replace the one by which the revocation ends the reading.
func (r *reading) extendDeadline() error {
	deadline := r.deadline
	if r.StallTimeout > 0 {
		stall := r.Clock.Now().Add(r.StallTimeout)
		if deadline.IsZero() || stall.Before(deadline) {
			deadline = stall
		}
	}
	if !deadline.IsZero() {
		// Connections of tests have no deadlines.
		_ = r.control.SetReadDeadline(deadline)
	}
	return r.intake.Grow(0)
}

// join returns the body in one buffer, and gives back what it does not need.
func (r *reading) join() []byte {
	if r.short != nil {
		return r.short
	}
	r.joining.Lock()
	defer r.joining.Unlock()
	content := make([]byte, 0, r.size)
	for _, piece := range r.pieces {
		rest := min(r.size-int64(len(content)), pieceBytes)
		content = append(content, piece[:rest]...)
	}
	return content
}

// release makes the pieces available to other bodies. A body that was not read completely
// gives back all its memory, another one what it does not need.
func (r *reading) release() {
	held := int64(len(r.short)) + int64(len(r.pieces))*pieceBytes
	if r.completed {
		held -= r.size
	}
	r.intake.Shrink(held)
	r.free.put(r.pieces)
}

// explain returns the reason of a failed read.
func (r *reading) explain(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if revoked := r.intake.Grow(0); revoked != nil {
		return revoked
	}
	return &StalledError{Received: r.size, Announced: r.announced}
}
