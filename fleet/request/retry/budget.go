package retry

import (
	"sync"
	"time"
)

// Budget is a token bucket that bounds retries to a fixed ratio of requests, plus a
// minimum rate so that a process with few requests can retry at all. It is safe for
// concurrent use.
type Budget struct {
	config BudgetConfig

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// BudgetConfig sets the rates and the size of a Budget.
type BudgetConfig struct {
	// RetryRatio is the number of retries that each request adds.
	RetryRatio float64
	// MinRetriesPerSecond is the number of retries that each second adds, with or
	// without requests.
	MinRetriesPerSecond float64
	// Burst is the size of the bucket: the largest number of retries at once.
	Burst float64
	// Start is the number of retries in a new bucket.
	Start float64
}

// Shares of the slack, which is the number of retries that a whole fleet may make in
// one window beyond the ratio of requests. The remaining fifth covers processes that
// join the fleet before the others have divided the slack by the new number.
const (
	// steadySlackShare is the share that is added evenly over the window.
	steadySlackShare = 0.5
	// burstSlackShare is the share that can be saved up.
	burstSlackShare = 0.3
)

// FleetBudgetConfig returns the configuration of the budget of each process in a fleet.
// In any window, all processes together make at most as many retries as ratio times
// their requests, plus slack. A process whose part of the slack is below one retry has
// to save up for its first one.
func FleetBudgetConfig(ratio, slack float64, window time.Duration, processes int) BudgetConfig {
	processSlack := slack / float64(max(1, processes))
	burst := burstSlackShare * processSlack
	return BudgetConfig{
		RetryRatio:          ratio,
		MinRetriesPerSecond: steadySlackShare * processSlack / window.Seconds(),
		Burst:               max(1, burst),
		Start:               burst,
	}
}

// BudgetDefaults returns the configuration for one pool in one process.
func BudgetDefaults() BudgetConfig {
	return BudgetConfig{RetryRatio: 0.1, MinRetriesPerSecond: 0.1, Burst: 5, Start: 5}
}

// NewBudget returns a budget with the retries of config.Start.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Start, refilledAt: now}
}

// RecordRequest adds the retries that one request allows. It is called once for each
// request, at its first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.config.RetryRatio, b.config.Burst)
}

// Take takes one retry from the budget and reports whether one was left.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetConfig changes the configuration and cuts the saved retries to the new burst.
func (b *Budget) SetConfig(config BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	b.tokens = min(b.tokens, config.Burst)
}

// refill adds the retries for the time since the last call.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.tokens+elapsed*b.config.MinRetriesPerSecond, b.config.Burst)
	b.refilledAt = now
}
