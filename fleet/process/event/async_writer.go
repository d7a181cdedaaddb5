package event

import (
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never blocks its caller. A goroutine writes the queued
// lines. If the queue is full, a line is dropped and counted. Each call of Write must
// be one line. An AsyncWriter is safe for concurrent use. It cannot be closed: its
// goroutine runs as long as the process.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	flushes chan flushRequest
	dropped atomic.Int64
}

// flushRequest is the channel that run closes once it has written the lines that were
// queued before the request.
type flushRequest chan struct{}

// NewAsyncWriter returns a writer to out that queues at most bound lines, and starts
// its goroutine.
func NewAsyncWriter(out io.Writer, bound int) *AsyncWriter {
	writer := &AsyncWriter{out: out, lines: make(chan []byte, bound), flushes: make(chan flushRequest)}
	go writer.run()
	return writer
}

func (w *AsyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case request := <-w.flushes:
			w.writeQueued()
			close(request)
		}
	}
}

// writeQueued writes the lines that are queued now.
func (w *AsyncWriter) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		// The failure cannot be logged, since this is the log. It is only counted.
		w.dropped.Add(1)
	}
}

// Write implements io.Writer. It queues a copy of the whole line or drops it, and
// never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped or could not be written.
func (w *AsyncWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Flush blocks until the lines that are queued now are written, at most for the
// limit.
func (w *AsyncWriter) Flush(limit time.Duration) {
	deadline := time.After(limit)
	done := flushRequest(make(chan struct{}))
	select {
	case w.flushes <- done:
	case <-deadline:
		return
	}
	select {
	case <-done:
	case <-deadline:
	}
}
