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
func (i *AtomicTime) Load() time.Time {
	if stored := i.value.Load(); stored != nil {
		return *stored
	}
	return time.Time{}
}

// Store sets the time.
func (i *AtomicTime) Store(at time.Time) {
	i.value.Store(&at)
}
