package balancer

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
)

// compareSpeeds returns the index of the engine to use instead of the best one without
// regard to the speeds that engines report. It compares the best one, those that are
// expected to hold the prefix and SpeedSamples random ones. All routers may hold the same
// old report that an engine is fast: if each of them compared all engines, all would pick
// that one. The best engine is kept if no engine reports its speed.
func (p *Picker) compareSpeeds(candidates []Candidate[*endpoint.State], now time.Time, best int, cached cachedEngines, hitGain float64) int {
	if !slices.ContainsFunc(candidates, func(c Candidate[*endpoint.State]) bool { return c.Target.Speed.Known() }) {
		return best
	}
	cost := func(index int) float64 {
		candidate := candidates[index]
		cost := candidate.Load*candidate.Target.Speed.Factor(now) + candidate.Penalty
		if slices.Contains(cached[:], index) {
			cost -= hitGain
		}
		return cost
	}
	lowest := cost(best)
	consider := func(index int) {
		if index < 0 {
			return
		}
		if cost := cost(index); cost < lowest {
			best, lowest = index, cost
		}
	}
	for _, index := range cached {
		consider(index)
	}
	if p.source != nil {
		for range p.config.Engine.SpeedSamples {
			consider(p.source.IntN(len(candidates)))
		}
	}
	return best
}
