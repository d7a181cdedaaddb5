package quota_test

import (
	"math"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/quota"
)

var spread = quota.DemandSpread{Horizon: 30 * time.Second, Share: 1, Holders: 1, Refill: 0.75}

const warmedUp = quota.DemandWarmup

func TestSpreadGrantAmount(t *testing.T) {
	tests := []struct {
		name  string
		input quota.SizingInput
		want  int64
	}{
		// In a partition within seconds of the start, before any demand was observed, 6 in
		// 100 requests were refused while the store held nine tenths of each budget
		// (kmfta-ale quiet-1).
		{"a third of an even share without demand", quota.SizingInput{Remaining: 6_000, Holders: 6}, 350},
		{"the share by demand", quota.SizingInput{Remaining: 6_000, Holders: 6, Demand: 200, OtherDemand: 200, Observed: warmedUp}, 2_200},
		{"no more than the horizon", quota.SizingInput{Remaining: 600_000, Holders: 2, Demand: 9_000, OtherDemand: 9_000, Observed: warmedUp}, 270_000},
		{"little where others spend", quota.SizingInput{Remaining: 6_000, Holders: 6, OtherDemand: 100, Observed: warmedUp}, 140},
		{"four even shares at most", quota.SizingInput{Remaining: 12_000, Holders: 12, Demand: 900, Observed: warmedUp}, 2_799},
		// Without a warm-up the first spending process was granted two fifths of each
		// budget and the next one as much of the rest: 92 in 100 credits of the largest
		// budget were granted after 1.4 s, and lost when the processes crashed
		// (kowhai-remind-grown trouble-3, RECOVER).
		{"an even share while the demand is new", quota.SizingInput{Remaining: 12_000, Holders: 12, Demand: 400}, 1_000},
		{"at least what a request needs", quota.SizingInput{Remaining: 6_000, Holders: 6, Need: 900}, 900},
		// 12 in 100 requests of 195 routers found less than they needed in the share of a
		// budget whose demand was not known yet (kmfta-ale-large quiet-1).
		{"room for four mean requests", quota.SizingInput{Remaining: 6_000, Holders: 6, MeanRequest: 200}, 800},
		{"no more than the share for mean requests", quota.SizingInput{Remaining: 6_000, Holders: 6, MeanRequest: 900}, 1_000},
		// After the loss of all processes two successors that had not read the account took
		// 43 in 100 of what was left of a budget (kowhai-remind, RECOVER).
		{"nothing of an account that was not read", quota.SizingInput{Remaining: 6_000, Unread: true, Holders: 6}, 0},
		{"what a request needs of an account that was not read", quota.SizingInput{Remaining: 6_000, Unread: true, Holders: 6, Need: 900, Held: 100}, 800},
		{"nothing while enough is held", quota.SizingInput{Remaining: 6_000, Holders: 6, Held: 300}, 0},
		{"more while grants of other budgets are requested", quota.SizingInput{Remaining: 6_000, Holders: 6, Held: 300, Batched: true}, 50},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := spread.GrantAmount(test.input); got != test.want {
				t.Errorf("grant amount: got %d, want %d", got, test.want)
			}
		})
	}
}

// A power failure of all machines at the same time must leave credits in the store.
func TestSpreadLeavesCreditsInTheStore(t *testing.T) {
	const holders, purchased = 6, 600_000
	held := make([]int64, holders)
	remaining := int64(purchased)
	for range 10 {
		for holder := range held {
			input := quota.SizingInput{
				Remaining: remaining, Holders: holders, Held: held[holder], Demand: 4_000, OtherDemand: 5 * 4_000, Observed: warmedUp,
			}
			granted := min(spread.GrantAmount(input), int64(spread.MaxFraction(input)*float64(remaining)))
			granted -= spread.Surplus(input)
			held[holder] += granted
			remaining -= granted
		}
	}
	if want := int64(purchased * 2 / 5); remaining < want {
		t.Errorf("left in the store: got %d, want %d at least", remaining, want)
	}
}

func TestSpreadSurplus(t *testing.T) {
	tests := []struct {
		name  string
		input quota.SizingInput
		want  int64
	}{
		{"what is beyond the share", quota.SizingInput{Remaining: 6_000, Holders: 6, Held: 900}, 550},
		{"not while a request waits", quota.SizingInput{Remaining: 6_000, Holders: 6, Held: 900, Need: 1}, 0},
		{"what half a second does not need of a budget used up", quota.SizingInput{Holders: 6, Held: 900, Demand: 100, OtherDemand: 100}, 850},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := spread.Surplus(test.input); got != test.want {
				t.Errorf("surplus: got %d, want %d", got, test.want)
			}
		})
	}
}

func TestLossesReduceReserves(t *testing.T) {
	bounded := spread
	bounded.MaxLoss = 0.4
	tests := []struct {
		name string
		lost int64
		want float64
	}{
		// Without losses the holders keep as much as the store, as without a bound.
		{"nothing lost", 0, 0.4},
		{"a tenth of the allowance", 4_000, 0.324},
		{"half of the allowance", 20_000, 0.1},
		{"the whole allowance", 40_000, 0},
		{"more than the allowance", 70_000, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			input := quota.SizingInput{Purchased: 100_000, Remaining: 100_000, Lost: test.lost, Holders: 1}
			if got := bounded.MaxFraction(input); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("fraction of what remains: got %g, want %g", got, test.want)
			}
			input.Need = 700
			if got := bounded.GrantAmount(input); got < 700 {
				t.Errorf("grant amount for a request of 700: got %d, want 700 at least", got)
			}
		})
	}
}
