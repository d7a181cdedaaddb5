// Package faultwriter makes an answer fail on its way to the client.
//
// # Usage
//
//	writer := faultwriter.New(ctx, clk, w, faultwriter.Plan{CutAfterBytes: 100})
//	_, err := writer.Write(body)
package faultwriter

import (
	"context"
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// Plan says how the answer fails. A field that is zero does nothing. Bytes are
// those of the body.
type Plan struct {
	FirstByteDelay  time.Duration
	CutAfterBytes   int64
	StallAfterBytes int64
}

// Writer is an http.ResponseWriter that follows a plan. Write panics with
// http.ErrAbortHandler to cut the connection.
type Writer struct {
	http.ResponseWriter
	ctx     context.Context
	clock   clock.Clock
	plan    Plan
	started bool
	written int64
}

// New returns a writer for one answer.
func New(ctx context.Context, clk clock.Clock, w http.ResponseWriter, plan Plan) *Writer {
	return &Writer{ResponseWriter: w, ctx: ctx, clock: clk, plan: plan}
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *Writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if w.start() == nil {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(data []byte) (int, error) {
	if err := w.start(); err != nil {
		return 0, err
	}
	cut := w.reaches(w.plan.CutAfterBytes, data)
	stall := w.reaches(w.plan.StallAfterBytes, data)
	if !cut && !stall {
		return w.pass(data)
	}
	if err := w.passUpTo(w.limit(), data); err != nil {
		return 0, err
	}
	if cut && (!stall || w.plan.CutAfterBytes <= w.plan.StallAfterBytes) {
		panic(http.ErrAbortHandler)
	}
	<-w.ctx.Done()
	return 0, w.ctx.Err()
}

// start holds back the first byte.
func (w *Writer) start() error {
	if w.started || w.plan.FirstByteDelay <= 0 {
		return nil
	}
	w.started = true
	timer := w.clock.NewTimer(w.plan.FirstByteDelay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
}

func (w *Writer) reaches(limit int64, data []byte) bool {
	return limit > 0 && w.written+int64(len(data)) >= limit
}

// limit returns the lower of the two limits that are set.
func (w *Writer) limit() int64 {
	if w.plan.CutAfterBytes <= 0 {
		return w.plan.StallAfterBytes
	}
	if w.plan.StallAfterBytes <= 0 {
		return w.plan.CutAfterBytes
	}
	return min(w.plan.CutAfterBytes, w.plan.StallAfterBytes)
}

func (w *Writer) pass(data []byte) (int, error) {
	count, err := w.ResponseWriter.Write(data)
	w.written += int64(count)
	return count, err
}

func (w *Writer) passUpTo(limit int64, data []byte) error {
	rest := min(limit-w.written, int64(len(data)))
	if _, err := w.pass(data[:rest]); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}
