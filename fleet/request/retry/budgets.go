package retry

import (
	"sync"

	"jacinthpaddle.example/fleet/process/clock"
)

// Budgets holds the retry budgets of this process by pool, all with the same
// configuration. It is safe for concurrent use.
type Budgets struct {
	clock clock.Clock

	mu     sync.Mutex
	config BudgetConfig
	byPool map[string]*Budget
}

// NewBudgets returns an empty set of budgets.
func NewBudgets(config BudgetConfig, clk clock.Clock) *Budgets {
	return &Budgets{config: config, clock: clk, byPool: make(map[string]*Budget)}
}

// ForPool returns the budget of the pool and creates it on first use.
func (b *Budgets) ForPool(pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byPool[pool]
	if !ok {
		budget = NewBudget(b.config, b.clock.Now())
		b.byPool[pool] = budget
	}
	return budget
}

// SetConfig changes the configuration of all present and future budgets.
func (b *Budgets) SetConfig(config BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config == b.config {
		return
	}
	b.config = config
	for _, budget := range b.byPool {
		budget.SetConfig(config)
	}
}
