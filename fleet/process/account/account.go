// Package account decides on the prepaid accounts kept in the object store.
//
// A page holds the accounts of many budgets, so that one conditional update
// serves them all. For each budget an account lists what was granted to each
// process incarnation and what came back. Its invariant, at every version, is
//
//	retired + sum(granted) - sum(returned) <= purchased
//
// where purchased comes from the configuration in force and only grows. Rights
// also move between holders without the store, so that one holder can return
// more than it was granted: the invariant is over all holders of an account.
//
// Every change names totals, so that it can be applied again to a page that
// already has it. A writer whose update had no clear result reads the page,
// applies the same change and writes if that altered the page.
//
// # Usage
//
//	page, err := account.Decode(object.Value)
//	changed := page.GrantRequest(draw, purchased)
//	page.Compact()
//	value, err := page.Encode()
//	// after the update, or if nothing changed:
//	orders := book.HandleAccount(draw.Budget, page.View(draw.Budget, self, purchased), now)
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

// Prefix starts the name of every page in the store.
const Prefix = "account/"

// PageCount is the number of pages over which the accounts of a large fleet are
// spread. A small one takes fewer, since each page costs calls of its own.
const PageCount = 256

// MinWitnesses is the size of the smallest guard set that allows a reclaim.
const MinWitnesses = 2

// Holder is what one incarnation has drawn from an account, in credits. Both
// totals only grow. Guards is the set that must attest what the holder can
// have spent before its rights are reclaimed, and Epoch numbers that set. VM names
// where the holder runs: a VM runs one router, so that a later one there ends it.
// Demand is how fast it spent when it last drew, in credits a second.
type Holder struct {
	Granted   int64               `json:"granted"`
	Returned  int64               `json:"returned,omitempty"`
	Closed    bool                `json:"closed,omitempty"`
	VM        string              `json:"vm,omitempty"`
	Demand    float64             `json:"demand,omitempty"`
	Epoch     int64               `json:"epoch,omitempty"`
	Witnesses []ident.Incarnation `json:"guards,omitempty"`
}

// Account is the state of one budget. Retired is the sum of what closed
// holders kept, so that their records can be dropped. It is negative when they
// returned more than they were granted.
type Account struct {
	Holders map[ident.Incarnation]Holder `json:"holders"`
	Retired int64                        `json:"retired"`
}

// Page is the content of one object: the accounts of many budgets by name.
type Page struct {
	Accounts map[string]Account `json:"accounts"`
}

// PageName returns the name of the object that holds the budget's account, if
// accounts are spread over so many pages. The number must never change.
func PageName(budget string, pages int) string {
	return Prefix + strconv.FormatUint(xxhash.Sum64String(budget)%uint64(pages), 10)
}

// Decode reads a page. An empty value is an empty page.
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

// Encode writes the page.
func (p Page) Encode() ([]byte, error) {
	value, err := json.Marshal(p)
	return value, errors.Annotate(err, "account page")
}

// Outstanding returns the credits of the account that holders have and may spend or
// have spent.
func (a Account) Outstanding() int64 {
	out := a.Retired
	for _, holder := range a.Holders {
		out += holder.Granted - holder.Returned
	}
	return out
}

// View is what one holder learns from an account. Others lists the other open
// holders, the largest first. OtherDemand is how fast they spend together, and
// Spending how many of them do.
type View struct {
	Found           bool
	Record          Holder
	Remaining       int64
	OtherHolders    []ident.Incarnation
	OtherDemand     float64
	SpendingHolders int
}

// View reads one account for the holder.
func (p Page) View(budget string, holder ident.Incarnation, purchased int64) View {
	state := p.Accounts[budget]
	record, found := state.Holders[holder]
	view := View{
		Found:     found,
		Record:    record,
		Remaining: max(0, purchased-state.Outstanding()),
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

// GrantRequest asks to raise the holder's granted total to Target and to record a
// guard set. Opened says that the holder has seen its own record: if it is
// gone since, it was closed and folded.
//
// Part, unless it is zero, bounds the raise to that part of what the account has
// left, or to Least if that is more: the holder sized its target by an account
// that others may have drawn on since. From is the total that it knew.
type GrantRequest struct {
	Budget       string
	Holder       ident.Incarnation
	VM           string
	RecordSeen   bool
	KnownGranted int64
	Target       int64
	Minimum      int64
	MaxFraction  float64
	Demand       float64
	Epoch        int64
	Witnesses    []ident.Incarnation
}

// increase returns by how much the granted total is raised, with so much left. A
// bounded draw that took effect before raises nothing again.
func (d GrantRequest) increase(granted, left int64) int64 {
	given := min(d.Target-granted, left)
	if d.MaxFraction == 0 {
		return given
	}
	if granted > d.KnownGranted {
		return 0
	}
	return min(given, max(d.Minimum, int64(d.MaxFraction*float64(left))))
}

// GrantRequest raises the holder's granted total towards the target, keeping the
// account within purchased, and reports whether the page changed. A holder
// whose record is closed or folded gets nothing.
func (p Page) Grant(request GrantRequest, purchased int64) bool {
	state := p.account(request.Budget)
	record, found := state.Holders[request.Holder]
	if record.Closed || (request.RecordSeen && !found) {
		return false
	}
	changed := !found
	if !found {
		record.VM = request.VM
		state.closePredecessors(request)
	}
	granted := request.increase(record.Granted, purchased-state.Outstanding())
	if granted > 0 {
		record.Granted += granted
		changed = true
	}
	if request.Epoch > record.Epoch {
		record.Epoch = request.Epoch
		record.Witnesses = request.Witnesses
		changed = true
	}
	record.Demand = math.Round(request.Demand)
	state.Holders[request.Holder] = record
	p.Accounts[request.Budget] = state
	return changed
}

// closePredecessors closes the records of earlier holders on the VM of a new one. What nobody
// guards is written off, since they may have spent it. WitnessKey records are left to
// a reclaim.
func (a Account) closePredecessors(request GrantRequest) {
	if request.VM == "" {
		return
	}
	for holder, record := range a.Holders {
		if holder != request.Holder && record.VM == request.VM && len(record.Witnesses) == 0 {
			record.Closed = true
			a.Holders[holder] = record
		}
	}
}

// Return asks to close the holder's record after it set aside the credits that
// it did not spend. Returned is a total and can exceed what was granted. Granted
// is the total that the holder knew of: it has spent nothing of what is beyond.
type Return struct {
	Budget   string
	Holder   ident.Incarnation
	Granted  int64
	Returned int64
}

// Return closes the holder's record and reports whether the page changed. A
// record that is closed or gone stays as it is.
func (p Page) Return(request Return) bool {
	record := p.Accounts[request.Budget].Holders[request.Holder]
	unknown := max(0, record.Granted-request.Granted)
	return p.closeRecord(request.Budget, request.Holder, request.Returned+unknown)
}

// Refund asks to raise what an open holder has given back to Total.
type Refund struct {
	Budget string
	Holder ident.Incarnation
	Total  int64
	Demand float64
}

// Refund takes back credits of an open holder and reports whether the page
// changed.
func (p Page) Refund(request Refund) bool {
	holders := p.Accounts[request.Budget].Holders
	record, found := holders[request.Holder]
	if !found || record.Closed || record.Returned >= request.Total {
		return false
	}
	record.Returned = request.Total
	record.Demand = math.Round(request.Demand)
	holders[request.Holder] = record
	return true
}

// closeRecord closes an open record.
func (p Page) closeRecord(budget string, holder ident.Incarnation, returned int64) bool {
	holders := p.Accounts[budget].Holders
	record, found := holders[holder]
	if !found || record.Closed {
		return false
	}
	record.Returned = max(record.Returned, returned)
	record.Closed = true
	holders[holder] = record
	return true
}

// Reclaim asks to close the record of a lost holder that can have spent at most
// Ceiling, as all guards of the epoch attested after they froze it.
type Reclaim struct {
	Budget  string
	Holder  ident.Incarnation
	Epoch   int64
	Ceiling int64
}

// Reclaim closes the record and reports whether the page changed. It refuses
// if the guard set is no longer the one that attested.
func (p Page) Reclaim(request Reclaim) bool {
	record, found := p.Accounts[request.Budget].Holders[request.Holder]
	if !found || record.Epoch != request.Epoch || len(record.Witnesses) < MinWitnesses {
		return false
	}
	return p.closeRecord(request.Budget, request.Holder, record.Granted-request.Ceiling)
}

// WriteOff closes the record of a lost holder that cannot be reclaimed. All
// that it was granted counts as spent.
func (p Page) WriteOff(budget string, holder ident.Incarnation) bool {
	return p.closeRecord(budget, holder, 0)
}

// Compact drops closed records and adds what their holders kept to Retired.
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

func (p Page) account(budget string) Account {
	state, ok := p.Accounts[budget]
	if !ok || state.Holders == nil {
		state.Holders = make(map[ident.Incarnation]Holder)
	}
	return state
}
