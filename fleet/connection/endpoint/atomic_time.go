package endpoint

import (
	"sync/atomic"
	"time"
)

// AtomicTime is a time that is loaded and stored atomically. Its zero value is the zero
// time. It keeps the monotonic clock reading, so that a step of the wall clock does not
// change a wait.
type AtomicTime struct {
	value atomic.Pointer[time.Time]
}

// Load returns the time.
func (t *AtomicTime) Load() time.Time {
	if stored := t.value.Load(); stored != nil {
		return *stored
	}
	return time.Time{}
}

// Store sets the time.
func (t *AtomicTime) Store(at time.Time) {
	t.value.Store(&at)
}
