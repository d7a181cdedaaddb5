// Package audit checks that bills, accounts and purchases are consistent.
//
// # Usage
//
//	stored, err := ledger.Read(ctx, objects)
//	result := audit.Check(stored)
//	if len(result.Mismatches) > 0 {
//		return &audit.MismatchError{Mismatches: result.Mismatches}
//	}
package audit

import (
	"cmp"
	"fmt"
	"slices"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/jacinth/request/ledger"
)

// Rule is a consistency rule.
type Rule string

// Rules of an audit.
const (
	// BilledWithinPurchased requires that the bills of a budget do not exceed its purchases.
	BilledWithinPurchased Rule = "billed_within_purchased"
	// BilledWithinOutstanding requires that the bills of a budget do not exceed the credits
	// granted from it and not returned.
	BilledWithinOutstanding Rule = "billed_within_out"
	// OutstandingWithinPurchased requires that the credits granted from a budget and not
	// returned do not exceed its purchases.
	OutstandingWithinPurchased Rule = "out_within_purchased"
	// BilledOnce requires that all final entries of a request have the same charge and budget.
	BilledOnce Rule = "billed_once"
)

// Mismatch is a violation of a rule.
type Mismatch struct {
	Rule Rule `json:"rule"`
	// Name is the request for BilledOnce, and the budget for the other rules.
	Name string `json:"name"`
	// Got and Want are in credits. Want is the upper limit, or the first charge for
	// BilledOnce.
	Got  int64 `json:"got"`
	Want int64 `json:"want"`
}

// BudgetResult holds the totals of a budget and the amounts in credits derived from them.
type BudgetResult struct {
	ledger.BudgetTotals
	// Unbilled is the outstanding amount less the bills: credits that holders still have, or
	// had when their records were closed.
	Unbilled int64 `json:"unbilled"`
	// WrittenOff is equal to Unbilled if no holder is open any more, since nobody can spend
	// these credits then, and zero otherwise.
	WrittenOff int64 `json:"written_off"`
}

// Result is the outcome of an audit.
type Result struct {
	Budgets    []BudgetResult `json:"budgets"`
	Mismatches []Mismatch     `json:"mismatches"`
}

// MismatchError reports that an audit found mismatches.
type MismatchError struct {
	Mismatches []Mismatch
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("audit: %d mismatches", len(e.Mismatches))
}

// Check compares the bills of each budget with its account and its purchases, and the final
// entries of each request with each other.
func Check(stored ledger.Ledger) Result {
	var result Result
	for _, totals := range stored.BudgetTotals() {
		result.Budgets = append(result.Budgets, newBudgetResult(totals))
		result.Mismatches = append(result.Mismatches, checkTotals(totals)...)
	}
	result.Mismatches = append(result.Mismatches, checkBilledOnce(stored.Entries)...)
	return result
}

func newBudgetResult(totals ledger.BudgetTotals) BudgetResult {
	unbilled := totals.Outstanding - totals.Billed
	if totals.OpenHolders > 0 {
		return BudgetResult{BudgetTotals: totals, Unbilled: unbilled}
	}
	return BudgetResult{BudgetTotals: totals, Unbilled: unbilled, WrittenOff: unbilled}
}

func checkTotals(totals ledger.BudgetTotals) []Mismatch {
	var mismatches []Mismatch
	if totals.Billed > totals.Purchased {
		mismatches = append(mismatches, Mismatch{BilledWithinPurchased, totals.Budget, totals.Billed, totals.Purchased})
	}
	if totals.Billed > totals.Outstanding {
		mismatches = append(mismatches, Mismatch{BilledWithinOutstanding, totals.Budget, totals.Billed, totals.Outstanding})
	}
	if totals.Outstanding > totals.Purchased {
		mismatches = append(mismatches, Mismatch{OutstandingWithinPurchased, totals.Budget, totals.Outstanding, totals.Purchased})
	}
	return mismatches
}

// checkBilledOnce returns one mismatch for each request whose final entries differ in charge
// or budget, sorted by request. Equal copies of an entry are normal, since segments overlap
// and peers store copies of them.
func checkBilledOnce(entries []journal.Entry) []Mismatch {
	finals := make(map[ident.Request]journal.Entry)
	reported := make(map[ident.Request]bool)
	var mismatches []Mismatch
	for _, entry := range entries {
		if entry.State != journal.Final {
			continue
		}
		first, ok := finals[entry.Request]
		if !ok {
			finals[entry.Request] = entry
			continue
		}
		if sameBill(first, entry) || reported[entry.Request] {
			continue
		}
		reported[entry.Request] = true
		mismatches = append(mismatches, Mismatch{BilledOnce, string(entry.Request), entry.Charge, first.Charge})
	}
	slices.SortFunc(mismatches, func(a, b Mismatch) int { return cmp.Compare(a.Name, b.Name) })
	return mismatches
}

func sameBill(a, b journal.Entry) bool {
	return a.Charge == b.Charge && a.Budget == b.Budget
}
