package quota

import "sync"

// Balances is the set of the balances of this process by budget. It is safe for
// concurrent use.
type Balances struct {
	byBudget sync.Map
}

// Get returns the balance of the budget and creates an empty one on first use.
func (b *Balances) Get(budget string) *Balance {
	if balance, ok := b.byBudget.Load(budget); ok {
		return balance.(*Balance)
	}
	balance, _ := b.byBudget.LoadOrStore(budget, &Balance{})
	return balance.(*Balance)
}
