// Package faultwriter injects faults into an HTTP response: a late first byte, a
// closed connection or a stalled body.
//
// # Usage
//
//	writer := faultwriter.New(ctx, clk, w, faultwriter.Config{CutAfterBytes: 100})
//	_, err := writer.Write(body)
package faultwriter

import (
	"context"
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// Config selects the faults of one response. A field that is 0 has no effect. Byte
// counts refer to the body.
type Config struct {
	// FirstByteDelay is the delay before the status line is written.
	FirstByteDelay time.Duration
	// CutAfterBytes closes the connection after so many bytes.
	CutAfterBytes int64
	// StallAfterBytes blocks after so many bytes until the request is cancelled.
	StallAfterBytes int64
}

// Writer is an http.ResponseWriter that injects the faults of a Config. Write
// panics with http.ErrAbortHandler to close the connection.
type Writer struct {
	http.ResponseWriter
	ctx     context.Context
	clock   clock.Clock
	config  Config
	delayed bool
	written int64
}

// New returns a writer for one response.
func New(ctx context.Context, clk clock.Clock, w http.ResponseWriter, config Config) *Writer {
	return &Writer{ResponseWriter: w, ctx: ctx, clock: clk, config: config}
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if w.delayFirstByte() == nil {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(data []byte) (int, error) {
	if err := w.delayFirstByte(); err != nil {
		return 0, err
	}
	cut := w.reachesLimit(w.config.CutAfterBytes, data)
	stall := w.reachesLimit(w.config.StallAfterBytes, data)
	if !cut && !stall {
		return w.forward(data)
	}
	if err := w.forwardUpTo(w.firstLimit(), data); err != nil {
		return 0, err
	}
	if cut && (!stall || w.config.CutAfterBytes <= w.config.StallAfterBytes) {
		panic(http.ErrAbortHandler)
	}
	<-w.ctx.Done()
	return 0, w.ctx.Err()
}

// delayFirstByte waits for the configured delay before the first byte. It returns
// the error of the context if the request is cancelled before.
func (w *Writer) delayFirstByte() error {
	if w.delayed || w.config.FirstByteDelay <= 0 {
		return nil
	}
	w.delayed = true
	timer := w.clock.NewTimer(w.config.FirstByteDelay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
}

func (w *Writer) reachesLimit(limit int64, data []byte) bool {
	return limit > 0 && w.written+int64(len(data)) >= limit
}

// firstLimit returns the lower of the two byte limits, without those that are 0.
func (w *Writer) firstLimit() int64 {
	if w.config.CutAfterBytes <= 0 {
		return w.config.StallAfterBytes
	}
	if w.config.StallAfterBytes <= 0 {
		return w.config.CutAfterBytes
	}
	return min(w.config.CutAfterBytes, w.config.StallAfterBytes)
}

func (w *Writer) forward(data []byte) (int, error) {
	count, err := w.ResponseWriter.Write(data)
	w.written += int64(count)
	return count, err
}

func (w *Writer) forwardUpTo(limit int64, data []byte) error {
	rest := min(limit-w.written, int64(len(data)))
	if _, err := w.forward(data[:rest]); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}
