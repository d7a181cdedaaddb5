package quota

import (
	"math"
	"time"
)

// SizingInput is the input of a SizingPolicy, for one budget at one holder. Amounts
// are in credits, demand is in credits a second.
type SizingInput struct {
	// Demand is the estimated demand at this holder, with that of the peers that refill here.
	Demand float64
	// Observed is how long Demand has been observed.
	Observed time.Duration
	// OtherDemand is the sum of the demand that the other holders reported with their
	// last grant or refund.
	OtherDemand float64
	// Need is the number of credits that waiting requests need.
	Need int64
	// MeanRequest is the moving average of the credits that requests need which find too
	// few. It is zero before the first one, and in a small fleet.
	MeanRequest float64
	// Held is the number of unspent credits of this holder.
	Held int64
	// Granted is the total granted to this holder.
	Granted int64
	// Purchased is the total of the budget in the active configuration.
	Purchased int64
	// Remaining is what the account had left to grant when it was last read, or Purchased
	// if Unread.
	Remaining int64
	// Unread reports that the account was not read since the start or the last purchase.
	Unread bool
	// Lost is how many credits were written off with failed holders.
	Lost int64
	// Holders is the number of processes that share what remains.
	Holders int
	// MaxShare is the part of what all holders keep that this one may keep for its demand,
	// if that is more than the policy allows for the number of holders.
	MaxShare float64
	// Supplies reports that peers refill at this holder.
	Supplies bool
	// Batched reports that a grant for any budget is requested at the same time.
	Batched bool
}

// SizingPolicy determines how much quota a holder keeps.
type SizingPolicy interface {
	// GrantAmount returns how many credits to request from the store now.
	GrantAmount(SizingInput) int64
	// Exposure returns how many credits the holder keeps ready to spend. They are lost
	// if it crashes, while unacknowledged credits can be reclaimed.
	Exposure(SizingInput) int64
	// MaxFraction returns the largest fraction of what the account has left that one
	// grant may take, or 0 for no bound.
	MaxFraction(SizingInput) float64
	// MaxUnused returns how many credits all holders may have unused together when one of
	// them is granted more, or 0 for no bound.
	MaxUnused(SizingInput) int64
	// Surplus returns how many credits to refund to the store now.
	Surplus(SizingInput) int64
	// AllowsTransfers reports whether holders transfer credits to each other.
	AllowsTransfers() bool
	// UsesWitnesses reports whether peers witness the ceiling, so that credits beyond
	// the exposure can be reclaimed.
	UsesWitnesses() bool
}

// MinRequests is the multiple of the credits needed by waiting requests that a grant
// and the exposure cover, so that further requests of the same size can be served.
const MinRequests = 4

// DefaultRefillFraction is the refill threshold, as a fraction of the target, of
// policies that set none.
const DefaultRefillFraction = 0.5

// EvenSplit grants each of a fixed number of holders an equal part of what was
// purchased, and never more.
type EvenSplit struct {
	Holders int
}

// GrantAmount implements SizingPolicy.
func (e EvenSplit) GrantAmount(input SizingInput) int64 {
	return max(0, input.Purchased/int64(e.Holders)-input.Granted)
}

// Exposure implements SizingPolicy.
func (EvenSplit) Exposure(input SizingInput) int64 {
	return input.Purchased
}

// MaxFraction implements SizingPolicy.
func (EvenSplit) MaxFraction(SizingInput) float64 {
	return 0
}

// MaxUnused implements SizingPolicy.
func (EvenSplit) MaxUnused(SizingInput) int64 {
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

// UsesWitnesses implements SizingPolicy.
func (EvenSplit) UsesWitnesses() bool {
	return false
}

// DemandHorizon keeps enough credits for the recent demand to continue for the
// Horizon.
type DemandHorizon struct {
	Horizon time.Duration
	// Ready is the time for which the exposure covers the recent demand.
	Ready time.Duration
}

// GrantAmount implements SizingPolicy.
func (d DemandHorizon) GrantAmount(input SizingInput) int64 {
	return refillAmount(input, creditsFor(input.Demand, d.Horizon), DefaultRefillFraction)
}

// Exposure implements SizingPolicy.
func (d DemandHorizon) Exposure(input SizingInput) int64 {
	return max(MinRequests*input.Need, creditsFor(input.Demand, d.Ready))
}

// MaxFraction implements SizingPolicy.
func (DemandHorizon) MaxFraction(SizingInput) float64 {
	return 0
}

// MaxUnused implements SizingPolicy.
func (DemandHorizon) MaxUnused(SizingInput) int64 {
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

// UsesWitnesses implements SizingPolicy.
func (DemandHorizon) UsesWitnesses() bool {
	return false
}

// DemandShrinking keeps enough credits for the recent demand to continue for the
// Horizon, but beyond the need of waiting requests never more than Share times an equal
// part of what remains. That limit shrinks as the budget is used up. Peers witness the
// ceiling of what is ready to spend.
type DemandShrinking struct {
	Horizon time.Duration
	// Ready is the time for which the exposure covers the recent demand.
	Ready time.Duration
	// Share is the most that one holder keeps, as a multiple of an equal part.
	Share float64
	// Holders is the least number of holders to expect.
	Holders int
	// Refill is the fraction of the target below which a grant is requested to reach
	// it again, or 0 for the default.
	Refill float64
}

// NewDemandShrinking returns the policy with default values for a fleet in which a
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

// GrantAmount implements SizingPolicy.
func (d DemandShrinking) GrantAmount(input SizingInput) int64 {
	maxHeld := d.maxHeld(input, input.Remaining)
	target := creditsFor(input.Demand, d.Horizon)
	if input.Demand == 0 {
		target = MinRequests * input.Need
	}
	return refillAmount(input, min(target, max(maxHeld, input.Need)), d.Refill)
}

// Exposure implements SizingPolicy.
func (d DemandShrinking) Exposure(input SizingInput) int64 {
	ready := max(MinRequests*input.Need, creditsFor(input.Demand, d.Ready))
	return max(input.Need, min(ready, d.maxHeld(input, input.Remaining+input.Held)))
}

// MaxFraction implements SizingPolicy.
func (d DemandShrinking) MaxFraction(SizingInput) float64 {
	return d.Share / float64(max(1, d.Holders))
}

// MaxUnused implements SizingPolicy.
func (DemandShrinking) MaxUnused(SizingInput) int64 {
	return 0
}

// Surplus implements SizingPolicy. Unacknowledged credits can be reclaimed if the
// holder crashes, so that nothing is refunded.
func (DemandShrinking) Surplus(SizingInput) int64 {
	return 0
}

// AllowsTransfers implements SizingPolicy.
func (DemandShrinking) AllowsTransfers() bool {
	return true
}

// UsesWitnesses implements SizingPolicy.
func (DemandShrinking) UsesWitnesses() bool {
	return true
}

// maxHeld returns Share times an equal part of the remaining credits.
func (d DemandShrinking) maxHeld(input SizingInput, remaining int64) int64 {
	holders := max(1, input.Holders, d.Holders)
	return int64(d.Share * float64(remaining) / float64(holders))
}

// refillAmount returns how many credits raise the held ones to the target, or 0 while
// they are at least the need and the fraction of the target.
func refillAmount(input SizingInput, target int64, refillFraction float64) int64 {
	if refillFraction == 0 {
		refillFraction = DefaultRefillFraction
	}
	if input.Held >= max(input.Need, int64(math.Ceil(refillFraction*float64(target)))) {
		return 0
	}
	return max(input.Need, target) - input.Held
}

// creditsFor returns the credits that the rate, in credits a second, uses in the time.
func creditsFor(rate float64, span time.Duration) int64 {
	return int64(rate * span.Seconds())
}
