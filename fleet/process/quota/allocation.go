package quota

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// WitnessSet is the guards recorded under one epoch. An empty set means that all
// that was granted may be spent, and none of it reclaimed.
type WitnessSet struct {
	Epoch     int64               `json:"epoch"`
	Witnesses []ident.Incarnation `json:"guards"`
}

// PeerTransfers is what passed between the holder and one peer, as monotone totals.
// HandleTransferAck is how much of Passed the peer is known to have seen, and Owed what
// it is to get as soon as the ceiling allows.
type PeerTransfers struct {
	SentTotal     int64     `json:"passed"`
	AckedTotal    int64     `json:"confirmed"`
	ReceivedTotal int64     `json:"received"`
	Pending       int64     `json:"owed"`
	SentAt        time.Time `json:"sent"`
}

// SteadyDemandTime is the time in which a steady holding spends MinRequests requests.
const SteadyDemandTime = 10 * time.Second

// MeanRequestWeight is the weight of the latest request in the average of sizes.
const MeanRequestWeight = 0.2

// Search is one search for credits that requests wait for. Need is their sum.
type Search struct {
	Need           int64                           `json:"need"`
	StartedAt      time.Time                       `json:"since"`
	StoreRequested bool                            `json:"store_asked"`
	StoreDone      bool                            `json:"store_done"`
	RequestedAt    map[ident.Incarnation]time.Time `json:"asked"`
	Replied        map[ident.Incarnation]bool      `json:"answered"`
}

// Allocation is the control state of one budget at one holder.
//
// Granted is the holder's total in the store. Ceiling is the part of it that
// may leave the purse, by spending or by passing it on; the rest is parked.
// Opened says that the holder's record has been seen in the store, Shut that it
// was closed there, and Closing that the holder itself gave up its rights.
// Drawing says that the store is being asked, and Unsure that it did not answer
// and may have granted credits. Away says that it gave no answer when it was
// last asked. SeenAt is when Remaining was read. OtherDemand is how fast the other holders spend by the account, in
// credits a second, and Spending how many of them do. Size is an average of what
// requests had to wait for. Refunded is what the holder gave back while it goes on,
// and RefundSeen how much of that the store is known to have.
type Allocation struct {
	Budget             string                              `json:"budget"`
	Balance            *Balance                            `json:"-"`
	Purchased          int64                               `json:"purchased"`
	Granted            int64                               `json:"granted"`
	Remaining          int64                               `json:"remaining"`
	ReadAt             time.Time                           `json:"seen_at"`
	OtherDemand        float64                             `json:"other_demand"`
	SpendingHolders    int                                 `json:"spending"`
	Returned           int64                               `json:"returned"`
	Refunded           int64                               `json:"refunded"`
	RefundStored       int64                               `json:"refund_seen"`
	Ceiling            int64                               `json:"ceiling"`
	RequestedCeiling   int64                               `json:"asked"`
	CeilingRequestedAt time.Time                           `json:"asked_at"`
	RecordSeen         bool                                `json:"opened"`
	RecordClosed       bool                                `json:"shut"`
	Closing            bool                                `json:"closing"`
	StoreUnavailable   bool                                `json:"away"`
	OutcomeUnknown     bool                                `json:"unsure"`
	UpdatePending      bool                                `json:"drawing"`
	StoreRetryAt       time.Time                           `json:"retry_at"`
	SearchRetryAt      time.Time                           `json:"dry_until"`
	Searches           int                                 `json:"searches"`
	FailedSearches     int                                 `json:"dry_rounds"`
	StoreFailures      int                                 `json:"failures"`
	RefusedCredits     int64                               `json:"refused"`
	MeanRequest        float64                             `json:"size"`
	Demand             Demand                              `json:"demand"`
	Search             Search                              `json:"round"`
	OtherHolders       []ident.Incarnation                 `json:"others"`
	Transfers          map[ident.Incarnation]PeerTransfers `json:"peers"`
	WitnessSets        []WitnessSet                        `json:"sets"`
	CandidateWitnesses []ident.Incarnation                 `json:"prepared"`
	AckedCeilings      map[ident.Incarnation]int64         `json:"acked"`
	FencedBy           map[ident.Incarnation]bool          `json:"frozen"`
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

// applyView takes what the account tells of others.
func (h *Allocation) applyView(view account.View, now time.Time) {
	h.Remaining = view.Remaining
	h.ReadAt = now
	h.OtherHolders = view.OtherHolders
	h.OtherDemand = view.OtherDemand
	h.SpendingHolders = view.SpendingHolders
}

// Unacknowledged returns the credits granted here that the ceiling keeps from use. None
// can be raised any more once the rights were given up or the record closed.
func (h *Allocation) Unacknowledged() int64 {
	if h.Closing || h.RecordClosed {
		return 0
	}
	return h.Granted - h.Ceiling
}

// Held returns the credits that were not spent, ready or parked.
func (h *Allocation) Held() int64 {
	return h.Balance.Level().Available + h.Unacknowledged()
}

// permittedCeiling returns the ceiling that every guard set allows that may be the one
// in the store.
func (h *Allocation) permittedCeiling() int64 {
	allowed := h.Granted
	for _, set := range h.WitnessSets {
		if len(set.Witnesses) > 0 {
			allowed = min(allowed, h.ackedCeiling(set.Witnesses))
		}
	}
	return allowed
}

// ackedCeiling returns the highest ceiling that one of the guards acknowledged.
func (h *Allocation) ackedCeiling(witnesses []ident.Incarnation) int64 {
	var highest int64
	for _, witness := range witnesses {
		highest = max(highest, h.AckedCeilings[witness])
	}
	return highest
}

// applyCeiling fills the purse up to the ceiling allowed. A holder that is closing
// releases nothing more, since it counts what is parked as returned.
func (h *Allocation) applyCeiling() {
	allowed := h.permittedCeiling()
	if h.Closing || allowed <= h.Ceiling {
		return
	}
	h.Balance.Add(allowed - h.Ceiling)
	h.Ceiling = allowed
}

// applyGrant takes the granted total of the store. What comes after the holder gave
// up its rights returns as well.
func (h *Allocation) applyGrant(total int64) {
	gain := max(0, total-h.Granted)
	if gain > 0 {
		h.resetSearchBackoff()
	}
	h.Granted += gain
	if h.Closing {
		h.Returned += gain
	}
}

// resetSearchBackoff notes that there are credits to be had again.
func (h *Allocation) resetSearchBackoff() {
	h.FailedSearches = 0
	h.SearchRetryAt = time.Time{}
}

// dropSupersededSets drops the guard sets that the store's record has left behind.
func (h *Allocation) dropSupersededSets(record account.Holder) {
	h.WitnessSets = slices.DeleteFunc(h.WitnessSets, func(set WitnessSet) bool {
		return set.Epoch < record.Epoch
	})
}

// hasSteadyDemand reports whether the demand here is worth holding credits for.
func (h *Allocation) hasSteadyDemand() bool {
	return h.MeanRequest > 0 && h.Demand.Rate*SteadyDemandTime.Seconds() >= MinRequests*h.MeanRequest
}

// observeRequest notes how much a request has to wait for.
func (h *Allocation) observeRequest(need int64) {
	if h.MeanRequest == 0 {
		h.MeanRequest = float64(need)
	}
	h.MeanRequest += MeanRequestWeight * (float64(need) - h.MeanRequest)
}

// latestWitnesses returns the guard set proposed last.
func (h *Allocation) latestWitnesses() WitnessSet {
	return h.WitnessSets[len(h.WitnessSets)-1]
}

// hasUnrecordedSet reports whether a guard set is still to be recorded.
func (h *Allocation) hasUnrecordedSet() bool {
	return len(h.WitnessSets) > 1
}

// witnesses returns every guard of the sets that may be in force and of the one
// being prepared.
func (h *Allocation) witnesses() []ident.Incarnation {
	witnesses := slices.Clone(h.CandidateWitnesses)
	for _, set := range h.WitnessSets {
		witnesses = append(witnesses, set.Witnesses...)
	}
	slices.Sort(witnesses)
	return slices.Compact(witnesses)
}
