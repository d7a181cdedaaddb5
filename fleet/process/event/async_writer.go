package event

import (
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never blocks its caller. A goroutine writes the queued
// lines. A line that finds the queue full is dropped and counted. Each call of Write
// must be one line. An AsyncWriter is safe for concurrent use and has no end: its
// goroutine runs as long as the process.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	flushes chan flushRequest
	dropped atomic.Int64
}

// flushRequest is closed once all lines that were queued before it are written.
type flushRequest chan struct{}

// NewAsyncWriter returns a writer to out that queues at most bound lines, and starts
// its goroutine.
func NewAsyncWriter(out io.Writer, bound int) *AsyncWriter {
	queue := &AsyncWriter{out: out, lines: make(chan []byte, bound), flushes: make(chan flushRequest)}
	go queue.run()
	return queue
}

func (q *AsyncWriter) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case request := <-q.flushes:
			q.writeQueued()
			close(request)
		}
	}
}

// writeQueued writes the lines that are queued now.
func (q *AsyncWriter) writeQueued() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

func (q *AsyncWriter) write(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		// The log itself has failed, so that only the counter can report this.
		q.dropped.Add(1)
	}
}

// Write implements io.Writer. It queues a copy of the whole line or drops it, and
// never returns an error.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped or could not be written.
func (q *AsyncWriter) Dropped() int64 {
	return q.dropped.Load()
}

// Flush blocks until the lines that are queued now are written, at most for the
// limit.
func (q *AsyncWriter) Flush(limit time.Duration) {
	deadline := time.After(limit)
	done := flushRequest(make(chan struct{}))
	select {
	case q.flushes <- done:
	case <-deadline:
		return
	}
	select {
	case <-done:
	case <-deadline:
	}
}
