package serve

import (
	"context"
	"net/http"
	"sync"
)

// beginning calls begun whenever something of an answer passes.
type beginning struct {
	Sink
	begun func()
}

// timeFirstByte returns what notes, once, the time from now to the first part of an
// answer.
func (r *Runner) timeFirstByte() func() {
	started := r.Clock.Now()
	return sync.OnceFunc(func() {
		r.Metrics.FirstByte.Record(context.Background(), r.Clock.Since(started).Seconds())
	})
}

// Begin implements Sink.
func (b *beginning) Begin(status int, header http.Header) error {
	b.begun()
	return b.Sink.Begin(status, header)
}

// Part implements Sink.
func (b *beginning) Part(part []byte) error {
	b.begun()
	return b.Sink.Part(part)
}

// End implements Sink.
func (b *beginning) End(result Response) error {
	b.begun()
	return b.Sink.End(result)
}
