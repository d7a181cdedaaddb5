// Package clock defines the clock that the parts of a process receive as a parameter,
// so that tests can pass one that they control.
//
// # Usage
//
// Take a clock.Clock in every constructor that needs time, pass clock.New in
// programs and clock.NewFake in tests:
//
//	client := claim.NewClient(clock.New(), objects)
package clock

import "github.com/jonboulle/clockwork"

// Clock returns the current time and creates timers.
type Clock = clockwork.Clock

// Fake is a Clock whose time changes only when a test advances it.
type Fake = clockwork.FakeClock

// New returns the clock of the operating system.
func New() Clock {
	return clockwork.NewRealClock()
}

// NewFake returns a clock whose time stands still until a test advances it.
func NewFake() *Fake {
	return clockwork.NewFakeClock()
}
