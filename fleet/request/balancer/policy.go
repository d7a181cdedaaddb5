// Package balancer picks the endpoint for an attempt.
//
// A Policy picks one of several equally distant candidates. LowestCost applies it
// to the candidates of each distance and compares the results by load plus distance
// penalty. A Picker does so for the endpoints of a pool, and adds prefix affinity,
// outlier ejection and slow start. For requests with a known prompt size it picks by
// the expected time to first token instead of a Policy.
//
// # Usage
//
//	picker := balancer.New(balancer.Defaults(self), random.New())
//	state, ok := picker.Pick(table.View().InPool(pool), balancer.Request{Now: now})
//	...
//	picker.Done(table.View().InPool(pool), state, balancer.Classify(response, err), now)
package balancer

import (
	"sync/atomic"

	"jacinthpaddle.example/fleet/process/random"
)

// Candidate is a target that may be picked.
type Candidate[T any] struct {
	Target T
	// Load is the expected load of the target with this request: requests per slot, or
	// seconds to first token for a request with a known prompt size.
	Load float64
	// Penalty is the distance penalty, in the unit of the load.
	Penalty float64
}

// Cost returns the load plus the distance penalty. Lower is better.
func (c Candidate[T]) Cost() float64 {
	return c.Load + c.Penalty
}

// Policy picks one of the candidates, of which there is at least one, and returns
// its index. A policy used by a Picker must be safe for concurrent use.
type Policy[T any] interface {
	Pick(candidates []Candidate[T]) int
}

// PowerOfTwo picks the candidate with the lower cost of two random ones. It is safe
// for concurrent use if its source is.
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

// LowestCost groups the candidates by penalty, has the policy pick one of each group,
// and returns the index of the pick with the lowest cost. The candidates must be sorted
// by penalty, and there must be at least one.
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

// RoundRobin picks the candidates in turn, regardless of their cost. It is safe for
// concurrent use.
type RoundRobin[T any] struct {
	next atomic.Uint64
}

// Pick implements Policy.
func (r *RoundRobin[T]) Pick(candidates []Candidate[T]) int {
	return int((r.next.Add(1) - 1) % uint64(len(candidates)))
}
