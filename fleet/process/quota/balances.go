package quota

import "sync"

// Balances is the set of this process's purses by budget. It is safe for
// concurrent use.
type Balances struct {
	byBudget sync.Map
}

// Get returns the purse of the budget, which is empty at first.
func (p *Balances) Get(budget string) *Balance {
	if balance, ok := p.byBudget.Load(budget); ok {
		return balance.(*Balance)
	}
	balance, _ := p.byBudget.LoadOrStore(budget, &Balance{})
	return balance.(*Balance)
}
