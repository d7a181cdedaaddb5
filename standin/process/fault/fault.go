// Package fault holds a fault that applies to a number of requests.
//
// # Usage
//
//	var faults fault.Injector[endpoint.Faults]
//	faults.Set(endpoint.Faults{CutAfterBytes: 10}, 1)
//	faults.Next() // the fault, once; then the zero value
package fault

import "sync"

// Injector holds the fault in force. Its methods are safe for concurrent use.
type Injector[F any] struct {
	mu    sync.Mutex
	fault F
	times int
}

// Set puts the fault in force for the next requests. Zero times means until it
// is replaced.
func (s *Injector[F]) Set(fault F, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.times = times
}

// Next returns the fault that applies to one request, or the zero value.
func (s *Injector[F]) Next() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if s.times == 0 {
		return fault
	}
	s.times--
	if s.times == 0 {
		var none F
		s.fault = none
	}
	return fault
}
