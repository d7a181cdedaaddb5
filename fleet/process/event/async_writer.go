package event

import (
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never makes its caller wait: what its bound does not
// hold is dropped and counted. Each write is one line. It is safe for concurrent
// use and lives as long as the process.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	flushes chan flush
	dropped atomic.Int64
}

// flush is closed once all lines before it are written.
type flush chan struct{}

// NewAsyncWriter returns a queue of at most bound lines, which are written to out.
func NewAsyncWriter(out io.Writer, bound int) *AsyncWriter {
	queue := &AsyncWriter{out: out, lines: make(chan []byte, bound), flushes: make(chan flush)}
	go queue.run()
	return queue
}

func (q *AsyncWriter) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case marker := <-q.flushes:
			q.drain()
			close(marker)
		}
	}
}

// drain writes the lines that are queued.
func (q *AsyncWriter) drain() {
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
		// There is no other place to tell this: the counter does.
		q.dropped.Add(1)
	}
}

// Write implements io.Writer. It takes the whole line or drops it.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were not written.
func (q *AsyncWriter) Dropped() int64 {
	return q.dropped.Load()
}

// Flush waits until the lines that are queued now are written, at most for the
// limit.
func (q *AsyncWriter) Flush(limit time.Duration) {
	deadline := time.After(limit)
	marker := flush(make(chan struct{}))
	select {
	case q.flushes <- marker:
	case <-deadline:
		return
	}
	select {
	case <-marker:
	case <-deadline:
	}
}
