// Package random is the source of random choices for the whole process.
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

// Source draws numbers. The one from New is safe for concurrent use, a
// *rand.Rand is not.
type Source interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

type shared struct{}

// New returns the source that all goroutines of the process share.
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
