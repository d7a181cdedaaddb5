package member

import (
	"cmp"
	"slices"
)

// Limits on the number of preferred routers of an availability zone.
const (
	// MinPreferredRouters leaves a caller a second router when the first one fails.
	MinPreferredRouters = 2
	// PreferredPowerShare is the share of an availability zone's processing power that
	// the preferred routers have together. The other routers are on standby: budgets
	// and endpoint load are tracked more accurately by few processes, and at the usual
	// load a process needs a tenth of its power.
	PreferredPowerShare = 1.0 / 4
)

// PreferredRouters returns those of the given members of one availability zone to which
// callers are sent: the strongest ones, at least MinPreferredRouters, that together have
// PreferredPowerShare of the processing power. The result depends only on the members,
// so all processes with the same view agree on it.
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
