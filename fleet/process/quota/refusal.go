package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// StoreOutcome is what a search learned from the store.
type StoreOutcome string

// Values of StoreOutcome.
const (
	StoreNotAsked   StoreOutcome = "not_asked"
	StoreAsked      StoreOutcome = "asked"
	StoreEmpty      StoreOutcome = "empty"
	StoreFailed     StoreOutcome = "failed"
	StoreBackingOff StoreOutcome = "backing_off"
)

// Refusal tells why requests of one budget were refused: where this holder knows credits
// to be, and whom its last search asked for them. Amounts are in credits.
type Refusal struct {
	Budget string
	// Count is how many requests were refused since the last Refusal of the budget.
	Count int
	Level Level
	// Unacknowledged is the part of the grant that the witnesses have not acknowledged.
	Unacknowledged int64
	// Remaining is what the account had left to grant Age ago, or -1 if it was not read.
	Remaining int64
	Age       time.Duration
	// Lost is how many credits of the account were written off with failed holders.
	Lost int64
	// Supplied reports that the holder refills at a supplier.
	Supplied bool
	Need     int64
	Store    StoreOutcome
	// Peers lists the peers that the search asked, each with the credits it sent or with
	// "timeout".
	Peers []string
}

// AddRefused adds the credits of a refused request to the demand, unless it was refused
// during the search back-off: such requests return at once and would count many times.
func (m *Manager[S]) AddRefused(budget string, need int64) {
	allocation := m.Allocation(budget)
	allocation.Refusals++
	if !allocation.BackingOff {
		allocation.RefusedCredits += need
	}
}

// Explain returns why requests of the budget were refused, once after each search, and
// false otherwise.
func (m *Manager[S]) Explain(budget string, now time.Time) (Refusal, bool) {
	allocation := m.Allocation(budget)
	if allocation.ExplainedSearches == allocation.Searches {
		return Refusal{}, false
	}
	refusal := Refusal{
		Budget:         budget,
		Count:          allocation.Refusals - allocation.ExplainedRefusals,
		Level:          allocation.Balance.Level(),
		Unacknowledged: allocation.Unacknowledged(),
		Remaining:      -1,
		Lost:           allocation.Lost,
		Supplied:       m.supplied(allocation),
		Need:           allocation.LastSearch.Need,
		Store:          allocation.LastSearch.Store,
		Peers:          allocation.LastSearch.peerReplies(),
	}
	if !allocation.unread() {
		refusal.Remaining, refusal.Age = allocation.Remaining, now.Sub(allocation.ReadAt)
	}
	allocation.ExplainedSearches, allocation.ExplainedRefusals = allocation.Searches, allocation.Refusals
	return refusal, true
}

// peerReplies returns the peers that the search asked, each with its reply.
func (s *Search) peerReplies() []string {
	var replies []string
	for _, peer := range slices.Sorted(maps.Keys(s.RequestedAt)) {
		reply := "timeout"
		if gain, ok := s.Replied[peer]; ok {
			reply = fmt.Sprint(gain)
		}
		replies = append(replies, strings.Join([]string{string(peer), reply}, "="))
	}
	return replies
}
