package retry

import (
	"sync"
	"time"
)

// Budget bounds retries to a share of requests, plus a floor that lets a quiet
// process retry at all. It is safe for concurrent use.
type Budget struct {
	config BudgetConfig

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// BudgetConfig sets the size of a Budget.
type BudgetConfig struct {
	// RetryRatio is how many retries each request allows.
	RetryRatio float64
	// MinRetriesPerSecond is how many retries each second allows besides.
	MinRetriesPerSecond float64
	// Burst bounds the retries that can be saved up.
	Burst float64
}

// Shares of what a whole fleet may retry beyond the share of requests in one
// window. A fifth is left for a fleet that grows before its routers know.
const (
	steadyShare = 0.5
	burstShare  = 0.3
)

// FleetBudgetConfig returns the settings of one of so many processes that together may
// make the share of the requests, and slack more in any window, as retries.
func FleetBudgetConfig(share, slack float64, window time.Duration, processes int) BudgetConfig {
	each := slack / float64(max(1, processes))
	return BudgetConfig{
		RetryRatio:          share,
		MinRetriesPerSecond: steadyShare * each / window.Seconds(),
		Burst:               max(1, burstShare*each),
	}
}

// BudgetDefaults returns the settings for one pool in one process.
func BudgetDefaults() BudgetConfig {
	return BudgetConfig{RetryRatio: 0.1, MinRetriesPerSecond: 0.1, Burst: 5}
}

// NewBudget returns a budget that is full.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Burst, filled: now}
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.tokens = min(b.tokens+b.config.RetryRatio, b.config.Burst)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetConfig changes the size. What was saved up is cut to it.
func (b *Budget) SetConfig(config BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	b.tokens = min(b.tokens, config.Burst)
}

func (b *Budget) fill(now time.Time) {
	passed := now.Sub(b.filled).Seconds()
	if passed <= 0 {
		return
	}
	b.tokens = min(b.tokens+passed*b.config.MinRetriesPerSecond, b.config.Burst)
	b.filled = now
}
