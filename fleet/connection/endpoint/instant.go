package endpoint

import (
	"sync/atomic"
	"time"
)

// AtomicTime is a time that traffic changes, zero meaning never. It keeps the reading
// of the steady clock, so that a jump of the time of day changes no wait.
type AtomicTime struct {
	value atomic.Pointer[time.Time]
}

// Load returns the time.
func (i *AtomicTime) Load() time.Time {
	if held := i.value.Load(); held != nil {
		return *held
	}
	return time.Time{}
}

// Store sets the time.
func (i *AtomicTime) Store(at time.Time) {
	i.value.Store(&at)
}
