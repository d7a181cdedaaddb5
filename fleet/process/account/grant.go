package account

import (
	"math"

	"jacinthpaddle.example/fleet/process/ident"
)

// GrantRequest requests a higher granted total for a holder and the recording of its
// witness set.
type GrantRequest struct {
	Budget string
	Holder ident.Incarnation
	VM     string
	// RecordSeen reports that the holder has read its own record. If the page has
	// none, the record was closed and compacted since.
	RecordSeen bool
	// KnownGranted is the granted total that the holder knew of, in credits.
	KnownGranted int64
	// Target is the granted total that is requested, in credits.
	Target int64
	// Minimum is how many credits waiting requests need.
	Minimum int64
	// MaxFraction, unless it is zero, bounds the increase to that fraction of what the
	// account has left, or to Minimum if that is more: other holders may have been
	// granted credits since the holder read the account.
	MaxFraction float64
	// MaxUnused, unless it is zero, bounds the increase to what keeps the credits that
	// all holders have and are not known to have used at that many, or to Minimum if that
	// is more.
	MaxUnused int64
	// Demand is the demand of the holder in credits a second.
	Demand float64
	// Used is the total that Holder.Used records.
	Used int64
	// Epoch is the number of the witness set to record.
	Epoch     int64
	Witnesses []ident.Incarnation
}

// increase returns how many credits to add to the granted total of the record when the
// account has the given number left, and its holders the given number unused. A request
// with a MaxFraction that already took effect adds nothing.
func (r GrantRequest) increase(granted, left, unused int64) int64 {
	increase := min(r.Target-granted, left)
	if r.MaxFraction == 0 {
		return increase
	}
	if granted > r.KnownGranted {
		return 0
	}
	bound := int64(r.MaxFraction * float64(left))
	if r.MaxUnused > 0 {
		bound = min(bound, r.MaxUnused-unused)
	}
	return min(increase, max(r.Minimum, bound))
}

// Grant raises the granted total of the holder towards the target, keeps the account
// within purchased, and reports whether the page changed. The demand and the used credits
// are updated too, but that alone does not count as a change. A holder whose record is
// closed or compacted is granted nothing.
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
	granted := request.increase(record.Granted, purchased-state.Outstanding(), state.unused())
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
	record.Used = request.Used
	state.Holders[request.Holder] = record
	p.Accounts[request.Budget] = state
	return changed
}

// closePredecessors closes the records of earlier holders on the VM of a new one.
// Records without witnesses are written off, since their holders may have spent the whole
// grant. Records with witnesses are left to a reclaim.
func (a *Account) closePredecessors(request GrantRequest) {
	if request.VM == "" {
		return
	}
	for holder, record := range a.Holders {
		if holder != request.Holder && record.VM == request.VM && len(record.Witnesses) == 0 {
			a.writeOff(holder)
		}
	}
}
