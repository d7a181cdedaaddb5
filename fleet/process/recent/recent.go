// Package recent provides a bounded set with first-in, first-out eviction, which
// holds the values that were added most recently.
//
// # Usage
//
//	seen := recent.NewSet[ident.Request](1024)
//	seen.Add(request)
//	if seen.Has(request) {
//		return
//	}
package recent

import "sync"

// Set holds a bounded number of values. If it is full, adding a value evicts the one
// that was added first. Its methods are safe for concurrent use.
type Set[T comparable] struct {
	mu     sync.Mutex
	values map[T]struct{}
	// order is a ring buffer of the values, and next the oldest once it is full.
	order []T
	next  int
	limit int
}

// NewSet returns an empty set of at most limit values, and of at least one.
func NewSet[T comparable](limit int) *Set[T] {
	return &Set[T]{values: make(map[T]struct{}), limit: max(1, limit)}
}

// Add adds the value. A value that is already held keeps its place in the order.
func (s *Set[T]) Add(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.values[value]; ok {
		return
	}
	s.values[value] = struct{}{}
	if len(s.order) < s.limit {
		s.order = append(s.order, value)
		return
	}
	delete(s.values, s.order[s.next])
	s.order[s.next] = value
	s.next = (s.next + 1) % s.limit
}

// Has reports whether the set contains the value.
func (s *Set[T]) Has(value T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.values[value]
	return ok
}

// Len returns the number of values.
func (s *Set[T]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.values)
}
