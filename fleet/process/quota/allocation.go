package quota

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// WitnessSet is a set of witnesses that a holder proposes to the store. With no members
// the whole grant may be spent, and none of it can be reclaimed.
type WitnessSet struct {
	// Epoch is the number of the set. Each set that the holder proposes has the next
	// one.
	Epoch     int64               `json:"epoch"`
	Witnesses []ident.Incarnation `json:"guards"`
}

// PeerTransfers is the state of the transfers between the holder and one peer. The
// totals are monotone, in credits.
type PeerTransfers struct {
	SentTotal int64 `json:"passed"`
	// AckedTotal is the part of SentTotal that the peer is known to have received.
	AckedTotal    int64 `json:"confirmed"`
	ReceivedTotal int64 `json:"received"`
	// Pending is how many credits to send once balance and ceiling allow it.
	Pending int64 `json:"owed"`
	// PendingReserve is how many credits to send for the reserve of the peer once a grant
	// covers them.
	PendingReserve int64 `json:"owed_reserve"`
	// ReserveRequested reports that the grant request in progress covers PendingReserve.
	ReserveRequested bool `json:"reserve_asked"`
	// Unserved is the pending transfer that was given up at UnservedAt.
	Unserved   int64     `json:"unserved"`
	UnservedAt time.Time `json:"unserved_at"`
	// SentAt is the time at which the last transfer was sent.
	SentAt time.Time `json:"sent"`
	// Reserve is the unspent part of the credits sent for the reserve of the peer, as far
	// as this holder knows. Demand is the demand that the peer reported at ReportedAt.
	Reserve    int64     `json:"reserve"`
	Demand     float64   `json:"demand"`
	ReportedAt time.Time `json:"reported"`
}

// SteadyDemandTime is the time within which the demand of a holder must use the credits
// of MinRequests requests of mean size to count as steady. Holders with steady demand
// keep a reserve.
const SteadyDemandTime = 10 * time.Second

// StoreAvailableAge is the age of an AccountSummary up to which the store counts as
// available, so that a back-off after failed calls ends.
const StoreAvailableAge = 500 * time.Millisecond

// ReportLifetime is how long the demand that a peer reported counts as demand of its
// supplier.
const ReportLifetime = 15 * time.Second

// MeanRequestWeight is the weight of the latest request in the moving average
// MeanRequest.
const MeanRequestWeight = 0.2

// Search is the state of one search for credits. There is none while Need is zero.
type Search struct {
	// Need is the sum of the credits that the waiting requests need.
	Need      int64     `json:"need"`
	StartedAt time.Time `json:"since"`
	// StoreRequested reports that the search has tried to request a grant from the
	// store. It is reset while the account has credits left, so that the search
	// requests again.
	StoreRequested bool `json:"store_asked"`
	// StoreDone reports that the search is finished with the store: the account had no
	// credits left, the call failed, or no grant could be requested.
	StoreDone bool `json:"store_done"`
	// StoreRequestedAt is the time of the first grant request of the search.
	StoreRequestedAt time.Time `json:"store_asked_at"`
	// RequestedAt holds when each peer was sent a TransferRequest.
	RequestedAt map[ident.Incarnation]time.Time `json:"asked"`
	// Replied holds the credits that each peer sent which replied.
	Replied map[ident.Incarnation]int64 `json:"answered"`
	// Store is what the search learned from the store.
	Store StoreOutcome `json:"store"`
}

// Allocation is the state of one budget at one holder. Only the control thread uses
// it. Amounts are in credits; totals are monotone.
type Allocation struct {
	Budget  string   `json:"budget"`
	Balance *Balance `json:"-"`
	// Purchased is the total purchased in the active configuration.
	Purchased int64 `json:"purchased"`
	// Granted is the total that the store has granted to this holder.
	Granted int64 `json:"granted"`
	// Remaining is what the account had left to grant at ReadAt, or unknownRemaining if
	// it was not read since the start or the last purchase.
	Remaining int64     `json:"remaining"`
	ReadAt    time.Time `json:"seen_at"`
	// OtherDemand is the demand of the other holders according to the account, in
	// credits a second.
	OtherDemand float64 `json:"other_demand"`
	// SpendingHolders is the number of other holders with any demand.
	SpendingHolders int `json:"spending"`
	// Lost is how many credits of the account were written off with failed holders.
	Lost int64 `json:"lost"`
	// Returned is the total that the final return of a closing holder reports to the
	// store.
	Returned int64 `json:"returned"`
	// Refunded is the total returned to the store before the holder closes.
	Refunded int64 `json:"refunded"`
	// RefundStored is the part of Refunded that the store is known to have recorded.
	RefundStored int64 `json:"refund_seen"`
	// Ceiling is the part of Granted that may leave the balance, by spending or by
	// transfer. The rest is unacknowledged.
	Ceiling int64 `json:"ceiling"`
	// RequestedCeiling is the highest ceiling requested from the witnesses.
	RequestedCeiling int64 `json:"asked"`
	// CeilingRequestedAt is the time at which the witnesses were last sent a
	// CeilingRequest.
	CeilingRequestedAt time.Time `json:"asked_at"`
	// RecordSeen reports that the account record of this holder was read from the
	// store.
	RecordSeen bool `json:"opened"`
	// RecordClosed reports that the account record was closed in the store.
	RecordClosed bool `json:"shut"`
	// Closing reports that the holder itself gave up its quota.
	Closing bool `json:"closing"`
	// StoreUnavailable reports that the last store call failed.
	StoreUnavailable bool `json:"away"`
	// OutcomeUnknown reports that an update failed without a clear result, so that it
	// may have granted credits.
	OutcomeUnknown bool `json:"unsure"`
	// UpdatePending reports that an update of the account is in progress.
	UpdatePending bool `json:"drawing"`
	// StoreRetryAt is the end of the back-off after failed store calls.
	StoreRetryAt time.Time `json:"retry_at"`
	// SearchRetryAt is the end of the back-off after searches that found too little.
	SearchRetryAt time.Time `json:"dry_until"`
	// BackingOff reports that the last request came during the search back-off.
	BackingOff bool `json:"backing_off"`
	// Searches counts all searches.
	Searches int `json:"searches"`
	// FailedSearches counts the searches in a row that found too little.
	FailedSearches int `json:"dry_rounds"`
	// StoreFailures counts the failed store calls in a row.
	StoreFailures int `json:"failures"`
	// RefusedCredits is the total of the credits of refused requests. It counts as
	// demand.
	RefusedCredits int64 `json:"refused"`
	// MeanRequest is the moving average of the credits needed at the start of each
	// search.
	MeanRequest float64 `json:"size"`
	Demand      Demand  `json:"demand"`
	Search      Search  `json:"round"`
	// ReportedAt is the time of the last report to the supplier.
	ReportedAt time.Time `json:"reported"`
	// LastSearch is the last search that found too little.
	LastSearch Search `json:"last_round"`
	// Refusals counts the refused requests.
	Refusals int `json:"refusals"`
	// ExplainedSearches and ExplainedRefusals are Searches and Refusals at the last
	// Refusal.
	ExplainedSearches int `json:"told_searches"`
	ExplainedRefusals int `json:"told_refusals"`
	// OtherHolders lists the other open holders of the account, by the granted total in
	// descending order.
	OtherHolders []ident.Incarnation                 `json:"others"`
	Transfers    map[ident.Incarnation]PeerTransfers `json:"peers"`
	// WitnessSets lists the sets that may be the one in the store. The last one is the
	// latest proposed. The list starts with the empty set of epoch 0.
	WitnessSets []WitnessSet `json:"sets"`
	// CandidateWitnesses is the set to propose once one of its members has
	// acknowledged the ceiling.
	CandidateWitnesses []ident.Incarnation `json:"prepared"`
	// AckedCeilings is the highest ceiling that each witness acknowledged.
	AckedCeilings map[ident.Incarnation]int64 `json:"acked"`
	// FencedBy holds the witnesses that have fenced this holder.
	FencedBy map[ident.Incarnation]bool `json:"frozen"`
}

func newAllocation(budget string, balance *Balance, window time.Duration) *Allocation {
	return &Allocation{
		Budget:        budget,
		Balance:       balance,
		Remaining:     unknownRemaining,
		Demand:        Demand{Window: window},
		Transfers:     make(map[ident.Incarnation]PeerTransfers),
		WitnessSets:   []WitnessSet{{}},
		AckedCeilings: make(map[ident.Incarnation]int64),
		FencedBy:      make(map[ident.Incarnation]bool),
	}
}

// applyView stores what the account reports about the other holders and the remaining
// credits.
func (a *Allocation) applyView(view account.View, now time.Time) {
	a.Remaining = view.Remaining
	a.ReadAt = now
	a.OtherHolders = view.OtherHolders
	a.OtherDemand = view.OtherDemand
	a.SpendingHolders = view.SpendingHolders
	a.Lost = view.Lost
}

// unread reports whether the account was not read yet.
func (a *Allocation) unread() bool {
	return a.Remaining == unknownRemaining
}

// knownRemaining returns what the account had left to grant when it was last read. All
// purchased credits count as remaining until then.
func (a *Allocation) knownRemaining() int64 {
	if a.unread() {
		return a.Purchased
	}
	return a.Remaining
}

// Unacknowledged returns the credits granted above the ceiling. It returns 0 once the
// holder gave up its quota or the record was closed, since the ceiling can no longer
// rise then.
func (a *Allocation) Unacknowledged() int64 {
	if a.Closing || a.RecordClosed {
		return 0
	}
	return a.Granted - a.Ceiling
}

// Held returns the unspent credits, available and unacknowledged. Reserved credits are
// not included.
func (a *Allocation) Held() int64 {
	return a.Balance.Level().Available + a.Unacknowledged()
}

// used returns the credits that left this holder for good: those spent and sent to peers,
// less those received from them and those that peers keep ready.
func (a *Allocation) used() int64 {
	used := a.Balance.Level().Spent
	for _, transfers := range a.Transfers {
		used += transfers.SentTotal - transfers.ReceivedTotal - transfers.Reserve
	}
	return used
}

// permittedCeiling returns the highest ceiling that at least one witness of each set
// that may be in the store has acknowledged.
func (a *Allocation) permittedCeiling() int64 {
	permitted := a.Granted
	for _, set := range a.WitnessSets {
		if len(set.Witnesses) > 0 {
			permitted = min(permitted, a.ackedCeiling(set.Witnesses))
		}
	}
	return permitted
}

// ackedCeiling returns the highest ceiling that one of the witnesses acknowledged.
func (a *Allocation) ackedCeiling(witnesses []ident.Incarnation) int64 {
	var highest int64
	for _, witness := range witnesses {
		highest = max(highest, a.AckedCeilings[witness])
	}
	return highest
}

// applyCeiling raises the ceiling to the permitted one and adds the difference to the
// balance. A closing holder does not raise it, since it counts the unacknowledged
// credits as returned.
func (a *Allocation) applyCeiling() {
	permitted := a.permittedCeiling()
	if a.Closing || permitted <= a.Ceiling {
		return
	}
	a.Balance.Add(permitted - a.Ceiling)
	a.Ceiling = permitted
}

// applyGrant stores the granted total of the account. Credits granted after the holder
// gave up its quota are returned as well.
func (a *Allocation) applyGrant(total int64) {
	gain := max(0, total-a.Granted)
	if gain > 0 {
		a.resetSearchBackoff()
	}
	a.Granted += gain
	if a.Closing {
		a.Returned += gain
	}
}

// resetSearchBackoff allows searches at once after credits became available.
func (a *Allocation) resetSearchBackoff() {
	a.FailedSearches = 0
	a.SearchRetryAt = time.Time{}
}

// dropSupersededSets deletes the witness sets of epochs before the one in the store.
func (a *Allocation) dropSupersededSets(record account.Holder) {
	a.WitnessSets = slices.DeleteFunc(a.WitnessSets, func(set WitnessSet) bool {
		return set.Epoch < record.Epoch
	})
}

// applySummary stores what the supplier knows of the account, unless this holder knows it
// from a later read.
func (a *Allocation) applySummary(summary AccountSummary, now time.Time) {
	if summary.Age < StoreAvailableAge {
		a.StoreFailures, a.StoreRetryAt, a.StoreUnavailable = 0, time.Time{}, false
	}
	readAt := now.Add(-summary.Age)
	if readAt.Before(a.ReadAt) {
		return
	}
	a.Remaining = summary.Remaining
	a.ReadAt = readAt
	a.OtherDemand = max(0, summary.Demand-a.Demand.Rate)
	a.SpendingHolders = summary.SpendingHolders
	a.Lost = summary.Lost
}

// summary returns what this holder knows of the account, or nil if it has not read it.
func (a *Allocation) summary(now time.Time) *AccountSummary {
	if a.unread() {
		return nil
	}
	return &AccountSummary{
		Age:             now.Sub(a.ReadAt),
		Remaining:       a.Remaining,
		Demand:          a.OtherDemand + max(a.Demand.Rate, a.peerDemand()),
		SpendingHolders: a.SpendingHolders,
		Lost:            a.Lost,
	}
}

// peerDemand returns the demand of the peers that refill their reserves here, in credits a
// second. A report counts for ReportLifetime.
func (a *Allocation) peerDemand() float64 {
	var demand float64
	for _, transfers := range a.Transfers {
		if a.Demand.UpdatedAt.Sub(transfers.ReportedAt) < ReportLifetime {
			demand += transfers.Demand
		}
	}
	return demand
}

// hasSteadyDemand reports whether the demand of this holder is high enough for it to keep
// a reserve.
func (a *Allocation) hasSteadyDemand() bool {
	return a.MeanRequest > 0 && a.Demand.Rate*SteadyDemandTime.Seconds() >= MinRequests*a.MeanRequest
}

// observeRequest adds the credits needed at the start of a search to the moving
// average MeanRequest.
func (a *Allocation) observeRequest(need int64) {
	if a.MeanRequest == 0 {
		a.MeanRequest = float64(need)
	}
	a.MeanRequest += MeanRequestWeight * (float64(need) - a.MeanRequest)
}

// latestWitnesses returns the witness set proposed last.
func (a *Allocation) latestWitnesses() WitnessSet {
	return a.WitnessSets[len(a.WitnessSets)-1]
}

// hasUnrecordedSet reports whether a witness set was proposed that the store is not
// known to have recorded.
func (a *Allocation) hasUnrecordedSet() bool {
	return len(a.WitnessSets) > 1
}

// witnesses returns the sorted members of all sets that may be in the store and of the
// candidate set.
func (a *Allocation) witnesses() []ident.Incarnation {
	witnesses := slices.Clone(a.CandidateWitnesses)
	for _, set := range a.WitnessSets {
		witnesses = append(witnesses, set.Witnesses...)
	}
	slices.Sort(witnesses)
	return slices.Compact(witnesses)
}
