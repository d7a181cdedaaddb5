package member

import (
	"cmp"
	"slices"
)

// Bounds of the part of a place's processes that carries its work.
const (
	// MinPreferredRouters lets a caller turn to a second process when the first is lost.
	MinPreferredRouters = 2
	// PreferredPowerShare is the part of a place's processing power that carries its
	// work. The rest stands by: budgets and the load of endpoints are better known
	// to few processes, and a process needs a tenth of its power at the usual load.
	PreferredPowerShare = 1.0 / 3
)

// PreferredRouters returns the processes that carry the work of their place, out of those
// given: the strongest ones that have the leading share of the power together.
// All processes with the same view agree on them.
func PreferredRouters(members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.Power, a.Power),
			cmp.Compare(a.VM, b.VM),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	var total float64
	for _, each := range ranked {
		total += each.Power
	}
	var preferred float64
	for index, each := range ranked {
		if index >= MinPreferredRouters && preferred >= PreferredPowerShare*total {
			return ranked[:index]
		}
		preferred += each.Power
	}
	return ranked
}
