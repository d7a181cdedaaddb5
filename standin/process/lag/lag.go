// Package lag shows a value as it was some time ago.
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

// Value holds the recent values of a T. Its methods are safe for concurrent
// use.
type Value[T any] struct {
	clock clock.Clock
	lag   time.Duration

	mu     sync.Mutex
	recent []entry[T]
}

type entry[T any] struct {
	since time.Time
	value T
}

// New returns a Value that shows the initial one from the start.
func New[T any](clk clock.Clock, lag time.Duration, initial T) *Value[T] {
	first := entry[T]{since: clk.Now().Add(-lag), value: initial}
	return &Value[T]{clock: clk, lag: lag, recent: []entry[T]{first}}
}

// Set replaces the value. Get shows it after the lag.
func (v *Value[T]) Set(value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune()
	v.recent = append(v.recent, entry[T]{since: v.clock.Now(), value: value})
}

// Get returns the value as it was before the lag.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune()
	return v.recent[0].value
}

// Latest returns the value without the lag.
func (v *Value[T]) Latest() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.recent[len(v.recent)-1].value
}

// prune drops values that a later one has replaced before the lag.
func (v *Value[T]) prune() {
	cutoff := v.clock.Now().Add(-v.lag)
	for len(v.recent) > 1 && !v.recent[1].since.After(cutoff) {
		v.recent = v.recent[1:]
	}
}
