package declaration

import (
	"cmp"
	"slices"
)

// WithRetiredBudgets returns the set with the budgets that the predecessor had, or had
// retired, and that the set no longer has.
func WithRetiredBudgets(set, predecessor Set) Set {
	set.Retired = nil
	for _, budget := range totals(predecessor) {
		if _, ok := find(set.Budgets, budget.Name); !ok {
			set.Retired = append(set.Retired, budget)
		}
	}
	return set
}

// checkSuccession returns a fault for each budget whose purchased total is
// lower than the predecessor's, also for one that was removed in between.
func checkSuccession(set, predecessor Set) []Fault {
	var faults []Fault
	for _, before := range totals(predecessor) {
		after, ok := find(set.Budgets, before.Name)
		if ok && after.Purchased < before.Purchased {
			reason := lowered(before.Purchased, after.Purchased)
			faults = append(faults, Fault{"budget", before.Name, "purchased", reason})
		}
	}
	return faults
}

// totals returns the purchased totals that a successor may not lower, by name.
func totals(set Set) []Budget {
	all := slices.Concat(set.Budgets, set.Retired)
	slices.SortStableFunc(all, func(a, b Budget) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func find(budgets []Budget, name string) (Budget, bool) {
	index := slices.IndexFunc(budgets, func(b Budget) bool { return b.Name == name })
	if index < 0 {
		return Budget{}, false
	}
	return budgets[index], true
}
