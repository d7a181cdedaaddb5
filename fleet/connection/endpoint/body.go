package endpoint

import (
	"context"
	"io"
	"sync"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// inactivityTimer cancels a request when no data arrives within a timeout. It can be
// started again after each stop.
type inactivityTimer struct {
	clock  clock.Clock
	cancel context.CancelCauseFunc
	// giveUp, if set, decides at the end of the timeout whether to cancel the request or to
	// start the timer anew. It is called with the mutex held, so that the reader of the
	// response does not go on meanwhile.
	giveUp func() bool

	mu    sync.Mutex
	timer interface{ Stop() bool }
	// started is the number of calls of start, by which a timer that was stopped too late
	// recognizes that.
	started int
	// renewedAt is when the timer was last started anew, or zero.
	renewedAt time.Time
}

func newInactivityTimer(clk clock.Clock, cancel context.CancelCauseFunc) *inactivityTimer {
	return &inactivityTimer{clock: clk, cancel: cancel}
}

// start starts the timer for what is left of the period, which starts anew as a whole if giveUp
// allows it. A timeout of zero or less is no timeout.
func (t *inactivityTimer) start(timeout, period time.Duration) {
	if timeout <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started++
	t.renewedAt = time.Time{}
	t.arm(t.started, timeout, period)
}

// arm starts the timer of the call of start with the number. The mutex must be held.
func (t *inactivityTimer) arm(number int, timeout, period time.Duration) {
	t.timer = t.clock.AfterFunc(timeout, func() { t.expire(number, period) })
}

// expire cancels the request or starts the timer anew, unless the timer was stopped.
func (t *inactivityTimer) expire(number int, period time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case number != t.started:
	case t.giveUp == nil || t.giveUp():
		t.cancel(&InactivityError{Timeout: period})
	default:
		t.renewedAt = t.clock.Now()
		t.arm(number, period, period)
	}
}

// stop stops the timer and returns when it was last started anew, or zero.
func (t *inactivityTimer) stop() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started++
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.renewedAt
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
	b.inactivity.start(timeout, b.stallTimeout)
	count, err := b.inner.Read(content)
	if renewedAt := b.inactivity.stop(); !renewedAt.IsZero() {
		b.waited, started = 0, renewedAt
	}
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
