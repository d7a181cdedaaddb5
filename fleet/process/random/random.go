// Package random defines the source of random numbers that the parts of a process
// receive as a parameter, so that tests can pass a seeded generator.
//
// # Usage
//
// Take a random.Source in every constructor that needs one, pass random.New in
// programs and a seeded generator in tests:
//
//	picker := balancer.New(config, random.New())
//	picker := balancer.New(config, rand.New(rand.NewPCG(1, 2)))
package random

import "math/rand/v2"

// Source generates pseudo-random numbers. The source from New is safe for concurrent
// use, a *rand.Rand is not.
type Source interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// shared uses the global generator of math/rand.
type shared struct{}

// New returns a source that is seeded at random.
func New() Source {
	return shared{}
}

// IntN implements Source.
func (shared) IntN(n int) int {
	return rand.IntN(n)
}

// Float64 implements Source.
func (shared) Float64() float64 {
	return rand.Float64()
}
