package quota

import "time"

// BatchedRefillFraction is the part of the aim under which a holder draws again when others
// do: accounts share objects, and one update serves them all.
const BatchedRefillFraction = 0.95

// SurplusFactor is how many times its aim a holder may hold before it gives back
// the rest. Less would have it draw again soon.
const SurplusFactor = 1.5

// EvenWeight is the part of a budget that is spread evenly over its holders, the
// rest going by demand. A holder that had no demand may have some in a partition.
const EvenWeight = 0.4

// DemandWarmup is how long a holder must have seen its demand before it counts in
// full. The first holder that spends would else take the shares of all others.
const DemandWarmup = 12 * time.Second

// MaxEvenShares bounds the share of one holder, in even shares.
const MaxEvenShares = 4

// MinShareFraction is the part of its share that a holder keeps whatever its demand was.
const MinShareFraction = 0.35

// MinHorizon is the recent demand that a holder keeps of a budget that is nearly used
// up. With less it would turn to the store for each request.
const MinHorizon = 2 * time.Second

// DemandSpread spreads a part of what remains of a budget over its holders before
// it is needed, since a partition takes store and peers away together and nothing
// can be drawn then. What is held is lost if the holder crashes, so that the store
// keeps the rest: together the holders keep about Share times what the store does.
//
// A holder keeps enough for the recent demand to go on for the Horizon, within its
// share. A draw brings what is held up to the aim once it is under the part Refill
// of it.
type DemandSpread struct {
	Horizon time.Duration
	Share   float64
	Holders int
	Refill  float64
}

// GrantRequest implements SizingPolicy.
func (d DemandSpread) GrantAmount(s SizingInput) int64 {
	threshold := d.Refill
	if s.Batched {
		threshold = max(threshold, BatchedRefillFraction)
	}
	return refill(s, max(s.Need, d.target(s)), threshold)
}

// Exposure implements SizingPolicy. Nothing is set apart.
func (d DemandSpread) Exposure(s SizingInput) int64 {
	return max(s.Need, d.target(s))
}

// MaxFraction implements SizingPolicy.
func (d DemandSpread) MaxFraction(s SizingInput) float64 {
	return d.Share * d.shareWeight(s)
}

// Surplus implements SizingPolicy. What is held beyond the aim is of more use elsewhere
// and would be lost with this process.
func (d DemandSpread) Surplus(s SizingInput) int64 {
	aim := d.target(s)
	if s.Need > 0 || float64(s.Held) <= SurplusFactor*float64(aim) {
		return 0
	}
	return s.Held - aim
}

// AllowsTransfers implements SizingPolicy.
func (DemandSpread) AllowsTransfers() bool {
	return true
}

// WitnessKey implements SizingPolicy.
func (DemandSpread) UsesWitnesses() bool {
	return false
}

// target returns how many credits to hold.
func (d DemandSpread) target(s SizingInput) int64 {
	share := int64(d.MaxFraction(s) * float64(s.Remaining))
	wanted := max(creditsFor(s.Demand, d.Horizon), int64(MinShareFraction*float64(share)))
	return max(min(share, wanted), creditsFor(s.Demand, MinHorizon))
}

// shareWeight returns the holder's part of what all holders keep together.
func (d DemandSpread) shareWeight(s SizingInput) float64 {
	even := 1 / float64(max(1, s.Holders, d.Holders))
	whole := s.Demand + s.OtherDemand
	if whole == 0 {
		return even
	}
	known := min(1, s.Observed.Seconds()/DemandWarmup.Seconds())
	byDemand := known * (1 - EvenWeight)
	return (1-byDemand)*even + byDemand*min(s.Demand/whole, MaxEvenShares*even)
}
