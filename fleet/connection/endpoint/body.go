package endpoint

import (
	"context"
	"io"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// watchdog cancels a request when nothing arrives for the time allowed.
type watchdog struct {
	clock  clock.Clock
	cancel context.CancelCauseFunc
	timer  interface{ Stop() bool }
}

func newWatchdog(clk clock.Clock, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{clock: clk, cancel: cancel}
}

func (w *watchdog) start(allowed time.Duration) {
	if allowed <= 0 {
		return
	}
	w.timer = w.clock.AfterFunc(allowed, func() {
		w.cancel(&InactivityError{Timeout: allowed})
	})
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// body is the body of an answer. Its errors other than io.EOF are CallErrors.
type body struct {
	client *Client
	ctx    context.Context
	cancel context.CancelCauseFunc
	inner  io.ReadCloser
	watch  *watchdog
	stall  time.Duration
	moment Phase
}

// Read implements io.Reader.
func (b *body) Read(content []byte) (int, error) {
	b.watch.start(b.stall)
	count, err := b.inner.Read(content)
	b.watch.stop()
	if count > 0 {
		b.moment = MidStream
	}
	if err == nil || err == io.EOF {
		return count, err
	}
	return count, b.client.failure(b.ctx, b.moment, err)
}

// Close implements io.Closer. An answer that was not read to its end takes its
// connection with it.
func (b *body) Close() error {
	err := b.inner.Close()
	b.cancel(nil)
	return err
}
