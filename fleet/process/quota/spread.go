package quota

import "time"

// BatchedRefillFraction is the refill threshold, as a fraction of the target, while
// grants of other budgets are requested. Accounts share pages, and one update of a
// page serves them all.
const BatchedRefillFraction = 0.95

// SurplusFactor is the multiple of its target that a holder may hold before it refunds
// the rest. A lower factor would make it request a grant again soon after a refund.
const SurplusFactor = 1.5

// UnusedFactor is the multiple of what all holders are to keep that they may have unused
// according to the account, whose records of used credits lag behind.
const UnusedFactor = 2

// EvenWeight is the fraction of a budget that is spread evenly over its holders; the
// rest is spread by demand. The even part serves holders that had no demand before a
// partition and have some during it.
const EvenWeight = 0.4

// DemandWarmup is how long the demand of a holder must have been observed before it
// counts in full. Otherwise the first holder that spends would be granted the shares
// of all others.
const DemandWarmup = 12 * time.Second

// MaxEvenShares bounds the share of one holder, as a multiple of an even share.
const MaxEvenShares = 4

// MinShareFraction is the fraction of its share that a holder keeps regardless of its
// demand.
const MinShareFraction = 0.35

// MinHorizon is the time for which a holder keeps credits for its recent demand even
// if its share of a nearly used up budget is lower. With less it would query the store
// for each request.
const MinHorizon = 500 * time.Millisecond

// SupplierHorizon replaces MinHorizon at a supplier. It serves its peers from what it holds
// between the updates of an account page, which exclude those of the other suppliers.
const SupplierHorizon = 1500 * time.Millisecond

// DemandSpread distributes a part of what remains of a budget over its holders before
// it is needed, since a partition makes the store and the peers unavailable at the
// same time and no credits can be obtained then. Credits that are held are lost if the
// holder crashes, so that the rest stays in the store: all holders together keep about
// Share times what the store keeps, and less once the account has lost credits with failed
// holders.
//
// A holder keeps enough credits for the recent demand to continue for the Horizon,
// within its share.
type DemandSpread struct {
	Horizon time.Duration
	// Share is what all holders together keep, as a multiple of what the store keeps.
	Share float64
	// Holders is the least number of holders to expect.
	Holders int
	// Refill is the fraction of the target below which a grant is requested to reach
	// it again, or 0 for the default.
	Refill float64
	// MaxLoss bounds the reserves that an account may lose with failed holders, as a
	// fraction of what was purchased, or is 0 for no bound.
	MaxLoss float64
}

// GrantAmount implements SizingPolicy. From an account that was not read yet it takes only
// what requests need: after the loss of many processes little may be left, and the share
// of this one is not known.
func (d DemandSpread) GrantAmount(input SizingInput) int64 {
	if input.Unread {
		return input.Need - input.Held
	}
	threshold := d.Refill
	if input.Batched {
		threshold = max(threshold, BatchedRefillFraction)
	}
	return refillAmount(input, max(input.Need, d.target(input)), threshold)
}

// Exposure implements SizingPolicy. All credits that are held are ready to spend.
func (d DemandSpread) Exposure(input SizingInput) int64 {
	return max(input.Need, d.target(input))
}

// MaxFraction implements SizingPolicy.
func (d DemandSpread) MaxFraction(input SizingInput) float64 {
	if input.Remaining <= 0 {
		return d.Share * d.shareWeight(input)
	}
	share := max(d.share(input), float64(minHeld(input)))
	return share / float64(input.Remaining)
}

// MaxUnused implements SizingPolicy. The shares of holders that know little of each other
// add up to more than what all of them are to keep.
func (d DemandSpread) MaxUnused(input SizingInput) int64 {
	if d.MaxLoss == 0 {
		return 0
	}
	return max(1, int64(UnusedFactor*d.kept(input)))
}

// Surplus implements SizingPolicy. Credits beyond the target are more useful at other
// holders and would be lost if this process crashed.
func (d DemandSpread) Surplus(input SizingInput) int64 {
	target := d.target(input)
	if input.Need > 0 || float64(input.Held) <= SurplusFactor*float64(target) {
		return 0
	}
	return input.Held - target
}

// AllowsTransfers implements SizingPolicy.
func (DemandSpread) AllowsTransfers() bool {
	return true
}

// UsesWitnesses implements SizingPolicy.
func (DemandSpread) UsesWitnesses() bool {
	return false
}

// target returns how many credits to hold.
func (d DemandSpread) target(input SizingInput) int64 {
	share := int64(d.share(input))
	wanted := max(
		creditsFor(input.Demand, d.Horizon),
		int64(MinShareFraction*float64(share)),
		int64(MinRequests*input.MeanRequest),
	)
	return max(min(share, wanted), minHeld(input))
}

// minHeld returns how many credits a holder keeps even if its share is lower.
func minHeld(input SizingInput) int64 {
	if input.Supplies {
		return creditsFor(input.Demand, SupplierHorizon)
	}
	return creditsFor(input.Demand, MinHorizon)
}

// share returns the most that this holder keeps of what remains.
func (d DemandSpread) share(input SizingInput) float64 {
	return d.kept(input) * d.shareWeight(input)
}

// kept returns how many credits all holders keep together. It decreases with the square of
// what is left of the allowance for losses: the loss of one holder costs the others little
// of their reserves, the loss of all of them most.
func (d DemandSpread) kept(input SizingInput) float64 {
	kept := d.Share * float64(input.Remaining)
	if d.MaxLoss == 0 {
		return kept
	}
	allowance := d.MaxLoss * float64(input.Purchased)
	left := max(0, allowance-float64(input.Lost))
	return min(kept, left*left/max(1, allowance))
}

// shareWeight returns the fraction of what all holders keep together that this holder
// keeps.
func (d DemandSpread) shareWeight(input SizingInput) float64 {
	even := 1 / float64(max(1, input.Holders, d.Holders))
	total := input.Demand + input.OtherDemand
	if total == 0 {
		return even
	}
	warmup := min(1, input.Observed.Seconds()/DemandWarmup.Seconds())
	demandWeight := warmup * (1 - EvenWeight)
	return (1-demandWeight)*even + demandWeight*min(input.Demand/total, max(MaxEvenShares*even, input.MaxShare))
}
