package serve

import (
	"context"
	"net/http"
	"sync"
)

// startObserver is a Sink that calls onData before each delivery. onData has to ignore
// all calls but the first.
type startObserver struct {
	Sink
	onData func()
}

// firstByteRecorder returns a function that records, at its first call only, the time
// since firstByteRecorder was called.
func (r *Runner) firstByteRecorder() func() {
	started := r.Clock.Now()
	return sync.OnceFunc(func() {
		r.Metrics.FirstByte.Record(context.Background(), r.Clock.Since(started).Seconds())
	})
}

// Begin implements Sink.
func (o *startObserver) Begin(status int, header http.Header) error {
	o.onData()
	return o.Sink.Begin(status, header)
}

// Part implements Sink.
func (o *startObserver) Part(part []byte) error {
	o.onData()
	return o.Sink.Part(part)
}

// End implements Sink.
func (o *startObserver) End(response Response) error {
	o.onData()
	return o.Sink.End(response)
}
