// Package audit decides whether bills, accounts and purchases agree.
//
// # Usage
//
//	read, err := ledger.Read(ctx, objects)
//	result := audit.Audit(read)
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

// Rule names what a mismatch breaks.
type Rule string

// Rules of an audit.
const (
	// BilledWithinPurchased says that bills never exceed what was bought.
	BilledWithinPurchased Rule = "billed_within_purchased"
	// BilledWithinOutstanding says that bills never exceed the rights drawn.
	BilledWithinOutstanding Rule = "billed_within_out"
	// OutstandingWithinPurchased says that rights drawn never exceed what was bought.
	OutstandingWithinPurchased Rule = "out_within_purchased"
	// BilledOnce says that a request has one final charge.
	BilledOnce Rule = "billed_once"
)

// Mismatch is one broken rule. Name is a budget, or a request for BilledOnce.
type Mismatch struct {
	Rule Rule   `json:"rule"`
	Name string `json:"name"`
	Got  int64  `json:"got"`
	Want int64  `json:"want"`
}

// BudgetResult is the ledger of a budget. Unbilled is what was drawn and not billed:
// rights that holders still have, and those that ended with their holders. Once
// nobody holds rights any more, all of it is WrittenOff.
type BudgetResult struct {
	ledger.BudgetTotals
	Unbilled   int64 `json:"unbilled"`
	WrittenOff int64 `json:"written_off"`
}

// Result is the outcome of an audit.
type Result struct {
	Budgets    []BudgetResult `json:"budgets"`
	Mismatches []Mismatch     `json:"mismatches"`
}

// MismatchError lists the broken rules.
type MismatchError struct {
	Mismatches []Mismatch
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("audit: %d mismatches", len(e.Mismatches))
}

// Check compares the bills of each budget with its account and its purchases,
// and looks for requests with two different final charges.
func Check(read ledger.Ledger) Result {
	var result Result
	for _, line := range read.BudgetTotals() {
		result.Budgets = append(result.Budgets, newLine(line))
		result.Mismatches = append(result.Mismatches, compare(line)...)
	}
	result.Mismatches = append(result.Mismatches, twice(read.Entries)...)
	return result
}

func newLine(line ledger.BudgetTotals) BudgetResult {
	unbilled := line.Outstanding - line.Billed
	if line.OpenHolders > 0 {
		return BudgetResult{BudgetTotals: line, Unbilled: unbilled}
	}
	return BudgetResult{BudgetTotals: line, Unbilled: unbilled, WrittenOff: unbilled}
}

func compare(line ledger.BudgetTotals) []Mismatch {
	var broken []Mismatch
	if line.Billed > line.Purchased {
		broken = append(broken, Mismatch{BilledWithinPurchased, line.Budget, line.Billed, line.Purchased})
	}
	if line.Billed > line.Outstanding {
		broken = append(broken, Mismatch{BilledWithinOutstanding, line.Budget, line.Billed, line.Outstanding})
	}
	if line.Outstanding > line.Purchased {
		broken = append(broken, Mismatch{OutstandingWithinPurchased, line.Budget, line.Outstanding, line.Purchased})
	}
	return broken
}

// twice returns a mismatch for each request with two final charges, or with
// one charge to two budgets.
func twice(entries []journal.Entry) []Mismatch {
	finals := make(map[ident.Request]journal.Entry)
	reported := make(map[ident.Request]bool)
	var broken []Mismatch
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
		broken = append(broken, Mismatch{BilledOnce, string(entry.Request), entry.Charge, first.Charge})
	}
	slices.SortFunc(broken, func(a, b Mismatch) int { return cmp.Compare(a.Name, b.Name) })
	return broken
}

func sameBill(a, b journal.Entry) bool {
	return a.Charge == b.Charge && a.Budget == b.Budget
}
