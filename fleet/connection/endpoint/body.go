package endpoint

import (
	"context"
	"io"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// inactivityTimer cancels a request when no data arrives within a timeout. It can be
// started again after each stop.
type inactivityTimer struct {
	clock  clock.Clock
	cancel context.CancelCauseFunc
	timer  interface{ Stop() bool }
}

func newInactivityTimer(clk clock.Clock, cancel context.CancelCauseFunc) *inactivityTimer {
	return &inactivityTimer{clock: clk, cancel: cancel}
}

// start starts the timer. A timeout of zero or less is no timeout.
func (t *inactivityTimer) start(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	t.timer = t.clock.AfterFunc(timeout, func() {
		t.cancel(&InactivityError{Timeout: timeout})
	})
}

func (t *inactivityTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// body is the body of a response. Its errors are CallErrors, except for io.EOF.
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

// Close implements io.Closer. If the response was not read to its end, its connection
// is closed as well.
func (b *body) Close() error {
	err := b.inner.Close()
	b.cancel(nil)
	return err
}
