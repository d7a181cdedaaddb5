package quota

import (
	"math"
	"time"
)

// SizingInput is what a SizingPolicy decides on, for one budget at one holder. Held is
// what the holder has and did not spend, and Remaining what the store had left
// to grant when it was last read. Demand is the holder's, and OtherDemand that of
// all other holders when they last drew. ObserveAccount is how long Demand has been
// observed. Amounts are in credits.
type SizingInput struct {
	Demand      float64
	Observed    time.Duration
	OtherDemand float64
	Need        int64
	Held        int64
	Granted     int64
	Purchased   int64
	Remaining   int64
	Holders     int
	// Batched says that other budgets are drawn on anyway.
	Batched bool
}

// SizingPolicy is the policy for how many rights a holder keeps.
type SizingPolicy interface {
	// GrantRequest returns how many credits to ask of the store now.
	GrantAmount(SizingInput) int64
	// Exposure returns how many credits the holder keeps ready to spend. They
	// are lost if it crashes, while the rest can be reclaimed.
	Exposure(SizingInput) int64
	// MaxFraction is how much of what the store has left one draw may take at most, or
	// zero without a bound.
	MaxFraction(SizingInput) float64
	// Surplus returns how many credits to give back to the store now.
	Surplus(SizingInput) int64
	// AllowsTransfers reports whether rights move between holders.
	AllowsTransfers() bool
	// WitnessKey reports whether peers guard what is not exposed.
	UsesWitnesses() bool
}

// MinRequests is how many requests of the size now waiting a draw or a raise
// provides for at least.
const MinRequests = 4

// DefaultRefillFraction draws again once half of the aim is used.
const DefaultRefillFraction = 0.5

// EvenSplit grants each of a fixed number of holders an equal part of what was
// purchased, and nothing else.
type EvenSplit struct {
	Holders int
}

// GrantRequest implements SizingPolicy.
func (e EvenSplit) GrantAmount(s SizingInput) int64 {
	return max(0, s.Purchased/int64(e.Holders)-s.Granted)
}

// Exposure implements SizingPolicy.
func (EvenSplit) Exposure(s SizingInput) int64 {
	return s.Purchased
}

// MaxFraction implements SizingPolicy.
func (EvenSplit) MaxFraction(SizingInput) float64 {
	return 0
}

// Surplus implements SizingPolicy.
func (EvenSplit) Surplus(SizingInput) int64 {
	return 0
}

// AllowsTransfers implements SizingPolicy.
func (EvenSplit) AllowsTransfers() bool {
	return false
}

// WitnessKey implements SizingPolicy.
func (EvenSplit) UsesWitnesses() bool {
	return false
}

// DemandHorizon keeps enough for the recent demand to go on for the horizon.
type DemandHorizon struct {
	Horizon time.Duration
	Ready   time.Duration
}

// GrantRequest implements SizingPolicy.
func (d DemandHorizon) GrantAmount(s SizingInput) int64 {
	return refill(s, creditsFor(s.Demand, d.Horizon), DefaultRefillFraction)
}

// Exposure implements SizingPolicy.
func (d DemandHorizon) Exposure(s SizingInput) int64 {
	return max(MinRequests*s.Need, creditsFor(s.Demand, d.Ready))
}

// MaxFraction implements SizingPolicy.
func (DemandHorizon) MaxFraction(SizingInput) float64 {
	return 0
}

// Surplus implements SizingPolicy.
func (DemandHorizon) Surplus(SizingInput) int64 {
	return 0
}

// AllowsTransfers implements SizingPolicy.
func (DemandHorizon) AllowsTransfers() bool {
	return true
}

// WitnessKey implements SizingPolicy.
func (DemandHorizon) UsesWitnesses() bool {
	return false
}

// DemandShrinking keeps enough for the recent demand to go on for the horizon,
// but never more than Share times an equal part of what remains. Holders is the
// least number of holders to expect. Peers guard what is not ready to spend.
//
// A draw brings what is held up to the aim once it is under the part Refill of
// it.
type DemandShrinking struct {
	Horizon time.Duration
	Ready   time.Duration
	Share   float64
	Holders int
	Refill  float64
}

// NewDemandShrinking returns the policy of the routers for a fleet in which a
// budget has the number of holders.
func NewDemandShrinking(holders int) DemandShrinking {
	return DemandShrinking{
		Horizon: 8 * time.Hour,
		Ready:   30 * time.Second,
		Share:   4,
		Holders: holders,
		Refill:  DefaultRefillFraction,
	}
}

// GrantRequest implements SizingPolicy.
func (d DemandShrinking) GrantAmount(s SizingInput) int64 {
	part := d.maxHeld(s, s.Remaining)
	wanted := creditsFor(s.Demand, d.Horizon)
	if s.Demand == 0 {
		wanted = MinRequests * s.Need
	}
	return refill(s, min(wanted, max(part, s.Need)), d.Refill)
}

// Exposure implements SizingPolicy.
func (d DemandShrinking) Exposure(s SizingInput) int64 {
	ready := max(MinRequests*s.Need, creditsFor(s.Demand, d.Ready))
	return max(s.Need, min(ready, d.maxHeld(s, s.Remaining+s.Held)))
}

// MaxFraction implements SizingPolicy.
func (d DemandShrinking) MaxFraction(SizingInput) float64 {
	return d.Share / float64(max(1, d.Holders))
}

// Surplus implements SizingPolicy. WitnessKey credits are not lost with the holder.
func (DemandShrinking) Surplus(SizingInput) int64 {
	return 0
}

// AllowsTransfers implements SizingPolicy.
func (DemandShrinking) AllowsTransfers() bool {
	return true
}

// WitnessKey implements SizingPolicy.
func (DemandShrinking) UsesWitnesses() bool {
	return true
}

func (d DemandShrinking) maxHeld(s SizingInput, remaining int64) int64 {
	holders := max(1, s.Holders, d.Holders)
	return int64(d.Share * float64(remaining) / float64(holders))
}

// refill returns what brings the held credits up to the aim once they are
// under the part of it or under the need.
func refill(s SizingInput, aim int64, part float64) int64 {
	if part == 0 {
		part = DefaultRefillFraction
	}
	if s.Held >= max(s.Need, int64(math.Ceil(part*float64(aim)))) {
		return 0
	}
	return max(s.Need, aim) - s.Held
}

func creditsFor(rate float64, span time.Duration) int64 {
	return int64(rate * span.Seconds())
}
