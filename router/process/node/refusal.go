package node

import (
	"strings"
	"sync/atomic"

	"jacinthpaddle.example/fleet/process/event"
)

// RefusalCounts counts the requests that were refused for lack of credits, by what was last
// known of the account. It is safe for concurrent use.
type RefusalCounts struct {
	// Remaining counts those that the credits left in the account would have covered.
	Remaining atomic.Int64
	// Exhausted counts those that they would not have covered.
	Exhausted atomic.Int64
	// Unread counts those whose account was not read.
	Unread atomic.Int64
}

// Totals returns the counts by name.
func (c *RefusalCounts) Totals() map[string]int64 {
	return map[string]int64{
		"remaining": c.Remaining.Load(),
		"exhausted": c.Exhausted.Load(),
		"unread":    c.Unread.Load(),
	}
}

// recordRefusal adds a refused request to the demand, counts it, and logs the reasons for
// the first one after each search.
func (s *State) recordRefusal(budget string, amount int64) {
	s.Quota.AddRefused(budget, amount)
	switch {
	case s.Quota.Unread(budget):
		s.Refusals.Unread.Add(1)
	case s.Quota.Allocation(budget).Remaining >= amount:
		s.Refusals.Remaining.Add(1)
	default:
		s.Refusals.Exhausted.Add(1)
	}
	refusal, ok := s.Quota.Explain(budget, s.Clock.Now())
	if !ok {
		return
	}
	s.Log.Emit(event.CreditsRefused, event.String("budget", budget), event.Int("refused", refusal.Count),
		event.Int("need", refusal.Need), event.Int("held", refusal.Level.Available),
		event.Int("reserved", refusal.Level.Reserved), event.Int("spent", refusal.Level.Spent),
		event.Int("unacknowledged", refusal.Unacknowledged), event.Int("remaining", refusal.Remaining),
		event.Int("remaining_age_ms", refusal.Age.Milliseconds()), event.Int("lost", refusal.Lost),
		event.Bool("supplied", refusal.Supplied), event.String("store", refusal.Store),
		event.String("peers", strings.Join(refusal.Peers, " ")))
}
