package declaration

import (
	"cmp"
	"slices"
)

// WithRetiredBudgets returns the set with RetiredBudgets set to the declared and retired budgets
// of the predecessor that the set does not declare.
func WithRetiredBudgets(set, predecessor Set) Set {
	set.RetiredBudgets = nil
	for _, budget := range allBudgets(predecessor) {
		if _, ok := findBudget(set.Budgets, budget.Name); !ok {
			set.RetiredBudgets = append(set.RetiredBudgets, budget)
		}
	}
	return set
}

// checkPurchasedTotals returns a fault for each budget whose purchased total is lower than
// in the predecessor, including budgets that the predecessor has retired.
func checkPurchasedTotals(set, predecessor Set) []Fault {
	var faults []Fault
	for _, before := range allBudgets(predecessor) {
		after, ok := findBudget(set.Budgets, before.Name)
		if ok && after.Purchased < before.Purchased {
			reason := loweredTotalReason(before.Purchased, after.Purchased)
			faults = append(faults, Fault{"budget", before.Name, "purchased", reason})
		}
	}
	return faults
}

// allBudgets returns the declared and retired budgets of a set, sorted by name.
func allBudgets(set Set) []Budget {
	all := slices.Concat(set.Budgets, set.RetiredBudgets)
	slices.SortStableFunc(all, func(a, b Budget) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func findBudget(budgets []Budget, name string) (Budget, bool) {
	index := slices.IndexFunc(budgets, func(b Budget) bool { return b.Name == name })
	if index < 0 {
		return Budget{}, false
	}
	return budgets[index], true
}
