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
	// byProgress makes the stall timeout bound the time between two calls of progressed
	// that is spent in Read, instead of the time of each Read.
	byProgress bool
	// waited is the time spent in Read since the last progress, with byProgress.
	waited time.Duration
}

// progressed starts the stall timeout anew.
func (b *body) progressed() {
	b.waited = 0
}

// Read implements io.Reader.
func (b *body) Read(content []byte) (int, error) {
	timeout := b.stallTimeout
	if b.byProgress && timeout > 0 {
		timeout -= b.waited
		if timeout <= 0 {
			stalled := &InactivityError{Timeout: b.stallTimeout}
			b.cancel(stalled)
			return 0, b.client.callError(b.ctx, b.phase, stalled)
		}
	}
	started := b.client.clock.Now()
	b.inactivity.start(timeout)
	count, err := b.inner.Read(content)
	b.inactivity.stop()
	b.waited += b.client.clock.Since(started)
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
