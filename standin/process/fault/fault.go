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
func (i *Injector[F]) Set(fault F, times int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = fault
	i.times = times
}

// Next returns the fault for the next request, or the zero value if none is
// active, and counts the request.
func (i *Injector[F]) Next() F {
	i.mu.Lock()
	defer i.mu.Unlock()
	fault := i.fault
	if i.times == 0 {
		return fault
	}
	i.times--
	if i.times == 0 {
		var none F
		i.fault = none
	}
	return fault
}
