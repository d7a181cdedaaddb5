// Package lag delays the visibility of changes to a value.
//
// # Usage
//
//	report := lag.New(clk, 500*time.Millisecond, Load{})
//	report.Set(Load{InFlight: 1})
//	report.Get() // the first Load, for another half second
package lag

import (
	"sync"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// Value holds the latest T and the earlier ones that Get can still return. Its
// methods are safe for concurrent use.
type Value[T any] struct {
	clock clock.Clock
	lag   time.Duration

	mu sync.Mutex
	// recent holds the values with the oldest first, and is never empty.
	recent []entry[T]
}

type entry[T any] struct {
	// since is the time at which the value was set.
	since time.Time
	value T
}

// New returns a Value whose Get returns the initial value without a lag.
func New[T any](clk clock.Clock, lag time.Duration, initial T) *Value[T] {
	first := entry[T]{since: clk.Now().Add(-lag), value: initial}
	return &Value[T]{clock: clk, lag: lag, recent: []entry[T]{first}}
}

// Set replaces the value. Get returns the new value after the lag.
func (v *Value[T]) Set(value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune()
	v.recent = append(v.recent, entry[T]{since: v.clock.Now(), value: value})
}

// Get returns the value that was the latest one when the lag began, so a change that
// is more recent than the lag is not visible.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune()
	return v.recent[0].value
}

// Latest returns the value that was set last, without the lag.
func (v *Value[T]) Latest() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.recent[len(v.recent)-1].value
}

// prune removes the values that were replaced at least a lag ago, which Get can no
// longer return.
func (v *Value[T]) prune() {
	cutoff := v.clock.Now().Add(-v.lag)
	for len(v.recent) > 1 && !v.recent[1].since.After(cutoff) {
		v.recent = v.recent[1:]
	}
}
