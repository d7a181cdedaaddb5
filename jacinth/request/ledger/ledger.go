// Package ledger reads bills, accounts and purchases and puts them side by side.
//
// The bills are read first and the purchases last. Rights are granted before
// they are billed and purchased before they are granted, so that a ledger read
// while the fleet works shows no excess that was never there.
//
// # Usage
//
//	read, err := ledger.Read(ctx, objects)
//	for _, line := range read.Lines() {
//		fmt.Println(line.Budget, line.Billed, line.Purchased)
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

// Ledger is what the store holds on spending.
type Ledger struct {
	Entries    []journal.Entry
	Accounts   map[string]account.Account
	Generation generation.Generation
}

// BudgetTotals compares the amounts of one budget, in credits. Granted and Returned are
// the totals of the listed holders. Retired is what holders kept that are no
// longer listed. Out is Retired and Granted less Returned. Held counts the
// holders that may still spend. Requests counts the billed ones and Open those
// whose charge is not settled yet.
type BudgetTotals struct {
	Budget       string `json:"budget"`
	Purchased    int64  `json:"purchased"`
	Granted      int64  `json:"granted"`
	Returned     int64  `json:"returned"`
	Retired      int64  `json:"retired"`
	Outstanding  int64  `json:"out"`
	Billed       int64  `json:"billed"`
	OpenHolders  int    `json:"held"`
	Requests     int    `json:"requests"`
	OpenRequests int    `json:"open"`
}

// Read reads the bills, the accounts and the generation in force.
func Read(ctx context.Context, objects store.Store) (Ledger, error) {
	entries, err := Entries(ctx, objects)
	if err != nil {
		return Ledger{}, errors.Trace(err)
	}
	ledger, err := ReadWithoutBills(ctx, objects)
	ledger.Entries = entries
	return ledger, errors.Trace(err)
}

// ReadWithoutBills reads the accounts and the generation in force, which takes
// far fewer calls.
func ReadWithoutBills(ctx context.Context, objects store.Store) (Ledger, error) {
	accounts, err := Accounts(ctx, objects)
	if err != nil {
		return Ledger{}, errors.Trace(err)
	}
	held, err := inForce(ctx, objects)
	return Ledger{Accounts: accounts, Generation: held}, errors.Trace(err)
}

// Entries reads the entries of every segment of the journal, with repetitions.
func Entries(ctx context.Context, objects store.Store) ([]journal.Entry, error) {
	var entries []journal.Entry
	err := each(ctx, objects, journal.Prefix, func(object store.Object) error {
		segment, err := journal.DecodeSegment(object.Value)
		entries = append(entries, segment.Entries...)
		return errors.Annotate(err, object.Name)
	})
	return entries, errors.Trace(err)
}

// Bills returns one entry for each request of the team, or of all teams if it is
// empty, sorted by request.
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

// Accounts reads the accounts of every page, by budget.
func Accounts(ctx context.Context, objects store.Store) (map[string]account.Account, error) {
	accounts := make(map[string]account.Account)
	err := each(ctx, objects, account.Prefix, func(object store.Object) error {
		page, err := account.Decode(object.Value)
		maps.Copy(accounts, page.Accounts)
		return errors.Annotate(err, object.Name)
	})
	return accounts, errors.Trace(err)
}

func inForce(ctx context.Context, objects store.Store) (generation.Generation, error) {
	pointer, err := generation.FetchPointer(ctx, objects)
	if err != nil {
		return generation.Generation{}, errors.Trace(err)
	}
	return generation.FetchAt(ctx, objects, pointer)
}

// each reads the objects under the prefix. One that was deleted since it was
// listed is passed over.
func each(ctx context.Context, objects store.Store, prefix string, visit func(store.Object) error) error {
	listed, err := objects.List(ctx, prefix)
	if err != nil {
		return errors.Trace(err)
	}
	for _, item := range listed {
		object, err := objects.Get(ctx, item.Name)
		var gone *store.NotFoundError
		if errors.As(err, &gone) {
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

// BudgetTotals returns one line for each budget that is declared, retired, drawn on
// or billed, by name.
func (l Ledger) BudgetTotals() []BudgetTotals {
	lines := make(map[string]BudgetTotals)
	set := l.Generation.Set
	for _, budget := range slices.Concat(set.Budgets, set.Retired) {
		lines[budget.Name] = purchase(lines[budget.Name], budget)
	}
	for name, state := range l.Accounts {
		lines[name] = draw(lines[name], name, state)
	}
	for name, total := range journal.Totals(l.Entries) {
		lines[name] = bill(lines[name], total)
	}
	var sorted []BudgetTotals
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		sorted = append(sorted, lines[name])
	}
	return sorted
}

func purchase(line BudgetTotals, budget declaration.Budget) BudgetTotals {
	line.Budget = budget.Name
	line.Purchased = budget.Purchased
	return line
}

func draw(line BudgetTotals, budget string, state account.Account) BudgetTotals {
	line.Budget = budget
	line.Retired = state.Retired
	line.Outstanding = state.Outstanding()
	for _, holder := range state.Holders {
		line.Granted += holder.Granted
		line.Returned += holder.Returned
		if !holder.Closed {
			line.OpenHolders++
		}
	}
	return line
}

func bill(line BudgetTotals, total journal.Total) BudgetTotals {
	line.Budget = total.Budget
	line.Billed = total.Charge
	line.Requests = total.Requests
	line.OpenRequests = total.Open
	return line
}
