// Package balancer picks the endpoint for an attempt.
//
// A Policy picks one of several equally distant candidates. Cheapest applies it
// to each distance and weighs load against the price of the way. A Picker does
// so for endpoints, and adds prefix affinity, outlier ejection and slow start.
//
// # Usage
//
//	picker := balancer.New(balancer.Defaults(self), random.New())
//	state, ok := picker.Pick(view.Members(pool), balancer.Request{Now: now})
//	...
//	picker.Done(view.Members(pool), state, balancer.Judge(answer, err), now)
package balancer

import (
	"sync/atomic"

	"jacinthpaddle.example/fleet/process/random"
)

// Candidate is one possible choice. Load is the expected number of open
// requests for each slot, this one included. Price is added to it for the way.
type Candidate[T any] struct {
	Target  T
	Load    float64
	Penalty float64
}

// Cost returns what is to be kept low.
func (c Candidate[T]) Cost() float64 {
	return c.Load + c.Penalty
}

// Policy picks one of at least one candidate and returns its index. It is safe
// for concurrent use if its source is.
type Policy[T any] interface {
	Pick(candidates []Candidate[T]) int
}

// PowerOfTwo picks the less loaded of two random candidates.
type PowerOfTwo[T any] struct {
	Source random.Source
}

// Pick implements Policy.
func (p PowerOfTwo[T]) Pick(candidates []Candidate[T]) int {
	count := len(candidates)
	if count == 1 {
		return 0
	}
	first := p.Source.IntN(count)
	second := p.Source.IntN(count - 1)
	if second >= first {
		second++
	}
	if candidates[second].Cost() < candidates[first].Cost() {
		return second
	}
	return first
}

// LowestCost lets the policy pick one candidate of each price and returns the
// index of the one with the lowest cost. Candidates are sorted by price.
func LowestCost[T any](policy Policy[T], candidates []Candidate[T]) int {
	best := -1
	for start := 0; start < len(candidates); {
		end := start + 1
		for end < len(candidates) && candidates[end].Penalty == candidates[start].Penalty {
			end++
		}
		index := start + policy.Pick(candidates[start:end])
		if best < 0 || candidates[index].Cost() < candidates[best].Cost() {
			best = index
		}
		start = end
	}
	return best
}

// RoundRobin picks each index in turn.
type RoundRobin[T any] struct {
	next atomic.Uint64
}

// Pick implements Policy.
func (r *RoundRobin[T]) Pick(candidates []Candidate[T]) int {
	return int((r.next.Add(1) - 1) % uint64(len(candidates)))
}
