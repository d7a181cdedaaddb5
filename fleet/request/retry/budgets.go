package retry

import (
	"sync"

	"jacinthpaddle.example/fleet/process/clock"
)

// Budgets is the set of this process's budgets by pool, all of the same size. It
// is safe for concurrent use.
type Budgets struct {
	clock clock.Clock

	mu     sync.Mutex
	config BudgetConfig
	byPool map[string]*Budget
}

// NewBudgets returns budgets, which are full.
func NewBudgets(config BudgetConfig, clk clock.Clock) *Budgets {
	return &Budgets{config: config, clock: clk, byPool: make(map[string]*Budget)}
}

// ForPool returns the budget of the pool.
func (b *Budgets) ForPool(pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.byPool[pool]
	if !ok {
		held = NewBudget(b.config, b.clock.Now())
		b.byPool[pool] = held
	}
	return held
}

// SetConfig changes the size of all budgets.
func (b *Budgets) SetConfig(config BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config == b.config {
		return
	}
	b.config = config
	for _, held := range b.byPool {
		held.SetConfig(config)
	}
}
