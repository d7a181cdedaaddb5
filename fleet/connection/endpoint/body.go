package endpoint

import (
	"context"
	"io"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// inactivityTimer cancels a request when nothing arrives for the time allowed.
type inactivityTimer struct {
	clock  clock.Clock
	cancel context.CancelCauseFunc
	timer  interface{ Stop() bool }
}

func newInactivityTimer(clk clock.Clock, cancel context.CancelCauseFunc) *inactivityTimer {
	return &inactivityTimer{clock: clk, cancel: cancel}
}

func (w *inactivityTimer) start(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	w.timer = w.clock.AfterFunc(timeout, func() {
		w.cancel(&InactivityError{Timeout: timeout})
	})
}

func (w *inactivityTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// body is the body of an answer. Its errors other than io.EOF are CallErrors.
type body struct {
	client       *Client
	ctx          context.Context
	cancel       context.CancelCauseFunc
	inner        io.ReadCloser
	inactivity   *inactivityTimer
	stallTimeout time.Duration
	phase        Phase
}

// Read implements io.Reader.
func (b *body) Read(content []byte) (int, error) {
	b.inactivity.start(b.stallTimeout)
	count, err := b.inner.Read(content)
	b.inactivity.stop()
	if count > 0 {
		b.phase = MidStream
	}
	if err == nil || err == io.EOF {
		return count, err
	}
	return count, b.client.callError(b.ctx, b.phase, err)
}

// Close implements io.Closer. An answer that was not read to its end takes its
// connection with it.
func (b *body) Close() error {
	err := b.inner.Close()
	b.cancel(nil)
	return err
}
