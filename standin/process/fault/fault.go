// Package fault injects a fault into a limited number of requests.
//
// # Usage
//
//	var faults fault.Injector[endpoint.Faults]
//	faults.Set(endpoint.Faults{CutAfterBytes: 10}, 1)
//	faults.Next() // the fault for one request; then the zero value
package fault

import "sync"

// Injector holds the active fault. The zero value injects none. Its methods are safe
// for concurrent use.
type Injector[F any] struct {
	mu    sync.Mutex
	fault F
	// times is the number of requests that still get the fault; 0 means no limit.
	times int
}

// Set activates the fault for the given number of requests, or until the next Set
// if times is 0.
func (s *Injector[F]) Set(fault F, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.times = times
}

// Next returns the fault for the next request, or the zero value if none is
// active, and counts the request.
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
