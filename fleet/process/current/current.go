// Package current holds a value that is replaced only by newer ones, such as the
// active generation.
//
// # Usage
//
//	active := current.New(generation.Newer)
//	if active.Store(candidate) {
//		announce(candidate)
//	}
//	held, ok := active.Load()
package current

import "sync/atomic"

// Newer is the policy that decides whether the candidate replaces the current value.
type Newer[T any] func(current, candidate T) bool

// Value holds the current value. Its methods are safe for concurrent use and never
// block.
type Value[T any] struct {
	current atomic.Pointer[T]
	newer   Newer[T]
}

// New returns a Value that is empty and uses the policy.
func New[T any](newer Newer[T]) *Value[T] {
	return &Value[T]{newer: newer}
}

// Load returns the current value and whether there is one.
func (v *Value[T]) Load() (T, bool) {
	current := v.current.Load()
	if current == nil {
		var zero T
		return zero, false
	}
	return *current, true
}

// Store makes the candidate the current value if there is none or the policy
// considers the candidate newer. It reports whether it replaced the value.
func (v *Value[T]) Store(candidate T) bool {
	for {
		current := v.current.Load()
		if current != nil && !v.newer(*current, candidate) {
			return false
		}
		if v.current.CompareAndSwap(current, &candidate) {
			return true
		}
	}
}
