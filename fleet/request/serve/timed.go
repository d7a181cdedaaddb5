package serve

import (
	"context"
	"net/http"
	"time"
)

// timed measures the time to the first part of an answer.
type timed struct {
	Sink
	runner  *Runner
	started time.Time
	begun   bool
}

// Begin implements Sink.
func (t *timed) Begin(status int, header http.Header) error {
	t.begin()
	return t.Sink.Begin(status, header)
}

// Part implements Sink.
func (t *timed) Part(part []byte) error {
	t.begin()
	return t.Sink.Part(part)
}

// End implements Sink.
func (t *timed) End(result Result) error {
	t.begin()
	return t.Sink.End(result)
}

func (t *timed) begin() {
	if !t.begun {
		t.begun = true
		t.runner.Metrics.FirstByte.Record(context.Background(), t.runner.Clock.Since(t.started).Seconds())
	}
}
