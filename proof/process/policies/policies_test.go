package policies_test

import (
	"testing"

	"jacinthpaddle.example/proof/process/policies"
)

// seed is the seed of the table in docs/budgets-table.md.
const seed = 20261204

// TestChosenPolicyMeetsItsTargets guards against a change of the quota code that breaks
// the stated targets of the chosen policy: no overspend; without a partition, at most 1 %
// false refusals until 99 % of a budget is spent; during a partition, at most 5 % false
// refusals of the requests that a central counter on each side admits. That counter starts
// with the side's own share, the credits unspent there when the partition begins.
func TestChosenPolicyMeetsItsTargets(t *testing.T) {
	const (
		earlyTarget = 1.0
		sideTarget  = 5.0
	)
	for _, partitioned := range []bool{false, true} {
		got := policies.Run(seed, "Kowhai", partitioned)
		if got.Overspend != 0 {
			t.Errorf("partition %t: overspend: got %d, want 0", partitioned, got.Overspend)
		}
		if !partitioned && got.EarlyRefused > earlyTarget {
			t.Errorf("false refusals: got %.2f %%, want at most %.2f", got.EarlyRefused, earlyTarget)
		}
		if partitioned && got.SideRefused > sideTarget {
			t.Errorf("false refusals of the side's own share: got %.2f %%, want at most %.2f", got.SideRefused, sideTarget)
		}
	}
}
