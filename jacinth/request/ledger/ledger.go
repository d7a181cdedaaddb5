// Package ledger reads bills, accounts and purchases from the store and totals them by
// budget.
//
// The bills are read first and the purchases last. Credits are purchased before they are
// granted and granted before they are billed, so reading them while the fleet serves
// requests cannot by itself make bills exceed grants or grants exceed purchases.
//
// A holder is an incarnation of a router that has a record in the account of a budget.
//
// # Usage
//
//	stored, err := ledger.Read(ctx, objects)
//	for _, totals := range stored.BudgetTotals() {
//		fmt.Println(totals.Budget, totals.Billed, totals.Purchased)
//	}
package ledger

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
)

// Ledger is the content of the store that concerns spending.
type Ledger struct {
	// Entries are the journal entries, of which one request may have several.
	Entries []journal.Entry
	// Accounts are keyed by budget.
	Accounts map[string]account.Account
	// Generation is the active generation, which declares the purchases.
	Generation generation.Generation
}

// BudgetTotals holds the totals of one budget. Amounts are in credits.
type BudgetTotals struct {
	Budget    string `json:"budget"`
	Purchased int64  `json:"purchased"`
	// Granted and Returned are the totals of the holders whose records the account has.
	Granted  int64 `json:"granted"`
	Returned int64 `json:"returned"`
	// Retired is granted less returned of the closed holders whose records the account no
	// longer has.
	Retired int64 `json:"retired"`
	// Outstanding is Retired plus Granted less Returned.
	Outstanding int64 `json:"out"`
	// Billed includes the floors of open requests, which are certain to be charged.
	Billed int64 `json:"billed"`
	// OpenHolders is the number of holders whose records are not closed and that may still
	// spend credits.
	OpenHolders int `json:"held"`
	// Requests is the number of requests with a journal entry.
	Requests int `json:"requests"`
	// OpenRequests is the number of requests without a final entry.
	OpenRequests int `json:"open"`
}

// Read reads the journal, the accounts and the active generation, in this order.
func Read(ctx context.Context, objects store.Store) (Ledger, error) {
	entries, err := Entries(ctx, objects)
	if err != nil {
		return Ledger{}, errors.Trace(err)
	}
	ledger, err := ReadWithoutBills(ctx, objects)
	ledger.Entries = entries
	return ledger, errors.Trace(err)
}

// ReadWithoutBills reads the accounts and the active generation. It needs far fewer calls
// than Read, which reads each segment of the journal.
func ReadWithoutBills(ctx context.Context, objects store.Store) (Ledger, error) {
	accounts, err := Accounts(ctx, objects)
	if err != nil {
		return Ledger{}, errors.Trace(err)
	}
	active, err := activeGeneration(ctx, objects)
	return Ledger{Accounts: accounts, Generation: active}, errors.Trace(err)
}

// Entries reads the entries of all segments of the journal. Segments may overlap, so an
// entry may be returned more than once.
func Entries(ctx context.Context, objects store.Store) ([]journal.Entry, error) {
	var entries []journal.Entry
	err := visitObjects(ctx, objects, journal.Prefix, func(object store.Object) error {
		segment, err := journal.DecodeSegment(object.Value)
		entries = append(entries, segment.Entries...)
		return errors.Annotate(err, object.Name)
	})
	return entries, errors.Trace(err)
}

// Bills returns one entry for each request of the team, sorted by request. An empty team
// selects all teams.
func Bills(entries []journal.Entry, team string) []journal.Entry {
	bills := slices.Collect(maps.Values(journal.Merge(entries)))
	bills = slices.DeleteFunc(bills, func(entry journal.Entry) bool {
		return team != "" && entry.Team != team
	})
	slices.SortFunc(bills, func(a, b journal.Entry) int {
		return cmp.Compare(a.Request, b.Request)
	})
	return bills
}

// Accounts reads the accounts of all pages and returns them by budget.
func Accounts(ctx context.Context, objects store.Store) (map[string]account.Account, error) {
	accounts := make(map[string]account.Account)
	err := visitObjects(ctx, objects, account.Prefix, func(object store.Object) error {
		page, err := account.Decode(object.Value)
		maps.Copy(accounts, page.Accounts)
		return errors.Annotate(err, object.Name)
	})
	return accounts, errors.Trace(err)
}

func activeGeneration(ctx context.Context, objects store.Store) (generation.Generation, error) {
	pointer, err := generation.FetchPointer(ctx, objects)
	if err != nil {
		return generation.Generation{}, errors.Trace(err)
	}
	return generation.FetchAt(ctx, objects, pointer)
}

// visitObjects reads each object whose name has the prefix and calls visit with it. An
// object that was deleted since it was listed is skipped.
func visitObjects(ctx context.Context, objects store.Store, prefix string, visit func(store.Object) error) error {
	listed, err := objects.List(ctx, prefix)
	if err != nil {
		return errors.Trace(err)
	}
	for _, item := range listed {
		object, err := objects.Get(ctx, item.Name)
		var deleted *store.NotFoundError
		if errors.As(err, &deleted) {
			continue
		}
		if err != nil {
			return errors.Trace(err)
		}
		if err := visit(object); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// BudgetTotals returns the totals of each budget that is declared, is retired, has an
// account or has bills, sorted by name.
func (l Ledger) BudgetTotals() []BudgetTotals {
	byBudget := make(map[string]BudgetTotals)
	set := l.Generation.Set
	for _, budget := range slices.Concat(set.Budgets, set.RetiredBudgets) {
		byBudget[budget.Name] = withPurchase(byBudget[budget.Name], budget)
	}
	for name, state := range l.Accounts {
		byBudget[name] = withAccount(byBudget[name], name, state)
	}
	for name, total := range journal.Totals(l.Entries) {
		byBudget[name] = withBills(byBudget[name], total)
	}
	var sorted []BudgetTotals
	for _, name := range slices.Sorted(maps.Keys(byBudget)) {
		sorted = append(sorted, byBudget[name])
	}
	return sorted
}

func withPurchase(totals BudgetTotals, budget declaration.Budget) BudgetTotals {
	totals.Budget = budget.Name
	totals.Purchased = budget.Purchased
	return totals
}

func withAccount(totals BudgetTotals, budget string, state account.Account) BudgetTotals {
	totals.Budget = budget
	totals.Retired = state.Retired
	totals.Outstanding = state.Outstanding()
	for _, holder := range state.Holders {
		totals.Granted += holder.Granted
		totals.Returned += holder.Returned
		if !holder.Closed {
			totals.OpenHolders++
		}
	}
	return totals
}

func withBills(totals BudgetTotals, total journal.Total) BudgetTotals {
	totals.Budget = total.Budget
	totals.Billed = total.Charge
	totals.Requests = total.Requests
	totals.OpenRequests = total.Open
	return totals
}
