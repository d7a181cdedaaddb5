// Package account decides on updates of the prepaid accounts in the object store.
//
// A page holds the accounts of many budgets, so that one conditional update serves
// them all. For each budget an account lists the credits granted to each process
// incarnation and the credits returned. This invariant holds at every version:
//
//	retired + sum(granted) - sum(returned) <= purchased
//
// Here, purchased comes from the active configuration and only grows. Holders also
// transfer credits to each other without the store, so that one holder can return more
// than it was granted: the invariant is over all holders of an account.
//
// Every update contains totals, not increments, so that it can be applied again to a
// page that already includes it. A writer whose update had no clear result reads the
// page, applies the same update and writes the page if that changed it.
//
// # Usage
//
//	page, err := account.Decode(object.Value)
//	changed := page.Grant(request, purchased)
//	page.Compact()
//	value, err := page.Encode()
//	// After the update, or if nothing changed:
//	actions := manager.HandleAccount(request.Budget, page.View(request.Budget, self, purchased), now)
package account

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
)

// Prefix is the prefix of the object names of all pages.
const Prefix = "account/"

// PageCount is the number of pages over which the accounts of a large fleet are
// distributed. A small fleet uses fewer, since each page costs store calls of its own.
const PageCount = 256

// MinWitnesses is the size of the smallest witness set that allows a reclaim.
const MinWitnesses = 2

// Holder is the record of one incarnation in an account. Amounts are in credits; the
// totals only grow.
type Holder struct {
	// Granted is the total granted to the holder.
	Granted int64 `json:"granted"`
	// Returned is the total that the holder returned.
	Returned int64 `json:"returned,omitempty"`
	// Used is how many credits had left the holder for good at its last update: those it
	// had spent and sent to peers, less those received from them.
	Used int64 `json:"used,omitempty"`
	// Closed reports that the record accepts no more updates.
	Closed bool `json:"closed,omitempty"`
	// VM is where the holder runs. A VM runs one router, so that a later holder on the
	// same VM replaces this one.
	VM string `json:"vm,omitempty"`
	// Demand is the demand of the holder at its last update, in credits a second.
	Demand float64 `json:"demand,omitempty"`
	// Epoch is the number of the witness set.
	Epoch int64 `json:"epoch,omitempty"`
	// Witnesses must attest the ceiling of the holder before its unused quota is
	// reclaimed.
	Witnesses []ident.Incarnation `json:"guards,omitempty"`
}

// Account is the state of one budget.
type Account struct {
	Holders map[ident.Incarnation]Holder `json:"holders"`
	// Retired is the sum of granted less returned credits of the closed holders whose
	// records were dropped. It is negative if they returned more than they were
	// granted.
	Retired int64 `json:"retired"`
	// Lost is the part of Retired that was written off with failed holders although they
	// were not known to have used it.
	Lost int64 `json:"lost,omitempty"`
}

// Page is the content of one object: the accounts of many budgets by name.
type Page struct {
	Accounts map[string]Account `json:"accounts"`
}

// PageName returns the name of the object that holds the account of the budget when
// accounts are distributed over the number of pages. That number must never change for
// stored accounts.
func PageName(budget string, pages int) string {
	return Prefix + strconv.FormatUint(xxhash.Sum64String(budget)%uint64(pages), 10)
}

// Decode decodes a page. An empty value is an empty page.
func Decode(value []byte) (Page, error) {
	page := Page{Accounts: make(map[string]Account)}
	if len(value) == 0 {
		return page, nil
	}
	if err := json.Unmarshal(value, &page); err != nil {
		return Page{}, errors.Annotate(err, "account page")
	}
	if page.Accounts == nil {
		page.Accounts = make(map[string]Account)
	}
	return page, nil
}

// Encode encodes the page.
func (p Page) Encode() ([]byte, error) {
	value, err := json.Marshal(p)
	return value, errors.Annotate(err, "account page")
}

// Outstanding returns the credits granted to holders and not returned, spent or not.
func (a Account) Outstanding() int64 {
	outstanding := a.Retired
	for _, holder := range a.Holders {
		outstanding += holder.Granted - holder.Returned
	}
	return outstanding
}

// View is what an account contains for one holder.
type View struct {
	// Found reports that the holder has a record.
	Found  bool
	Record Holder
	// Remaining is how many credits the account has left to grant.
	Remaining int64
	// OtherHolders lists the other open holders, by the granted total in descending
	// order.
	OtherHolders []ident.Incarnation
	// OtherDemand is the sum of their demand, in credits a second.
	OtherDemand float64
	// SpendingHolders is how many of them have any demand.
	SpendingHolders int
	// Lost is how many credits of the account were written off with failed holders.
	Lost int64
}

// View returns the account of the budget for the holder.
func (p Page) View(budget string, holder ident.Incarnation, purchased int64) View {
	state := p.Accounts[budget]
	record, found := state.Holders[holder]
	view := View{
		Found:     found,
		Record:    record,
		Remaining: max(0, purchased-state.Outstanding()),
		Lost:      state.Lost,
	}
	for other, record := range state.Holders {
		if other != holder && !record.Closed {
			view.OtherHolders = append(view.OtherHolders, other)
			view.OtherDemand += record.Demand
			if record.Demand > 0 {
				view.SpendingHolders++
			}
		}
	}
	slices.SortFunc(view.OtherHolders, func(a, b ident.Incarnation) int {
		return cmp.Or(
			cmp.Compare(state.Holders[b].Granted, state.Holders[a].Granted),
			cmp.Compare(a, b),
		)
	})
	return view
}

// writeOff closes an open record, counts all of its grant as spent, and reports whether
// there was one.
func (a *Account) writeOff(holder ident.Incarnation) bool {
	if !a.closeRecord(holder, 0) {
		return false
	}
	a.Lost += a.Holders[holder].unused()
	return true
}

// closeRecord closes an open record and reports whether there was one.
func (a *Account) closeRecord(holder ident.Incarnation, returned int64) bool {
	record, found := a.Holders[holder]
	if !found || record.Closed {
		return false
	}
	record.Returned = max(record.Returned, returned)
	record.Closed = true
	a.Holders[holder] = record
	return true
}

// unused returns the credits that all holders have and are not known to have used.
func (a Account) unused() int64 {
	var unused int64
	for _, record := range a.Holders {
		unused += record.unused()
	}
	return unused
}

// unused returns the credits that the holder has and is not known to have used.
func (h Holder) unused() int64 {
	return h.Granted - h.Returned - h.Used
}

// Return closes the record of a holder that has removed its unspent credits from its
// balance.
type Return struct {
	Budget string
	Holder ident.Incarnation
	// Granted is the total that the holder knew of. It has spent nothing of a later
	// grant, which is therefore returned as well.
	Granted int64
	// Returned is the total of returned credits. It can exceed what was granted.
	Returned int64
}

// Return closes the record of the holder and reports whether the page changed. A
// record that is closed or missing stays as it is.
func (p Page) Return(request Return) bool {
	state := p.Accounts[request.Budget]
	unknown := max(0, state.Holders[request.Holder].Granted-request.Granted)
	return state.closeRecord(request.Holder, request.Returned+unknown)
}

// Refund returns credits of a holder that continues.
type Refund struct {
	Budget string
	Holder ident.Incarnation
	// Total is the new total of returned credits.
	Total  int64
	Demand float64
	// Used is the total that Holder.Used records.
	Used int64
}

// Refund raises the returned total of an open holder and reports whether the page
// changed.
func (p Page) Refund(request Refund) bool {
	holders := p.Accounts[request.Budget].Holders
	record, found := holders[request.Holder]
	if !found || record.Closed || record.Returned >= request.Total {
		return false
	}
	record.Returned = request.Total
	record.Demand = math.Round(request.Demand)
	record.Used = request.Used
	holders[request.Holder] = record
	return true
}

// Reclaim closes the record of a failed holder and returns the credits above its
// ceiling.
type Reclaim struct {
	Budget string
	Holder ident.Incarnation
	// Epoch is the number of the witness set that attested.
	Epoch int64
	// Ceiling is the most that the holder can have used, as all witnesses of the epoch
	// attested after they fenced it.
	Ceiling int64
}

// Reclaim closes the record and reports whether the page changed. It refuses if the
// witness set is no longer the one that attested.
func (p Page) Reclaim(request Reclaim) bool {
	state := p.Accounts[request.Budget]
	record, found := state.Holders[request.Holder]
	if !found || record.Epoch != request.Epoch || len(record.Witnesses) < MinWitnesses {
		return false
	}
	return state.closeRecord(request.Holder, record.Granted-request.Ceiling)
}

// WriteOff closes the record of a failed holder whose quota cannot be reclaimed. All
// of its grant counts as spent.
func (p Page) WriteOff(budget string, holder ident.Incarnation) bool {
	state := p.Accounts[budget]
	if !state.writeOff(holder) {
		return false
	}
	p.Accounts[budget] = state
	return true
}

// Compact drops closed records and adds their granted less returned credits to
// Retired.
func (p Page) Compact() {
	for budget, state := range p.Accounts {
		maps.DeleteFunc(state.Holders, func(_ ident.Incarnation, record Holder) bool {
			if record.Closed {
				state.Retired += record.Granted - record.Returned
			}
			return record.Closed
		})
		p.Accounts[budget] = state
	}
}

// account returns the account of the budget with a map of holders.
func (p Page) account(budget string) Account {
	state, ok := p.Accounts[budget]
	if !ok || state.Holders == nil {
		state.Holders = make(map[ident.Incarnation]Holder)
	}
	return state
}
