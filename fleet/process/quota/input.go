package quota

// holderCount returns how many processes share what remains of the account: the home
// alone if the budget has one, else sharingHolders.
func (m *Manager[S]) holderCount(allocation *Allocation) int {
	if m.concentrated(allocation) {
		return 1
	}
	return m.sharingHolders(allocation)
}

// sharingHolders returns how many processes share what remains of the account of a
// budget without a home:
//
//   - For a policy without witnesses, the direct holders or the holders that spend,
//     whichever are more.
//   - For a policy with witnesses, the direct holders if this process is a supplier,
//     else all open holders of the account.
//
// While DirectHolders is not set, a policy without witnesses uses the second rule.
func (m *Manager[S]) sharingHolders(allocation *Allocation) int {
	switch {
	case !m.Sizing.UsesWitnesses() && m.Supply.DirectHolders > 0:
		return max(m.Supply.DirectHolders, allocation.SpendingHolders+1)
	case m.Supply.Supplies:
		return m.Supply.DirectHolders
	default:
		return len(allocation.OtherHolders) + 1
	}
}

// neededCredits returns how many credits requests wait for, here and at the peers that
// refill here.
func (m *Manager[S]) neededCredits(allocation *Allocation) int64 {
	if m.Supply.Supplies {
		return allocation.Search.Need + allocation.pendingTransfers()
	}
	return allocation.Search.Need
}

// maxShare returns SizingInput.MaxShare. In a large fleet an even share is too small for a
// holder that has much of the demand of a budget.
func (m *Manager[S]) maxShare() float64 {
	if len(m.Supply.Suppliers) == 0 {
		return 0
	}
	return LargeFleetMaxShare
}

// demand returns the demand for which this holder keeps credits. In a large fleet it
// follows an increase at once, since others draw on the same account page.
func (m *Manager[S]) demand(allocation *Allocation) float64 {
	if len(m.Supply.Suppliers) == 0 || m.Sizing.UsesWitnesses() {
		return allocation.Demand.Rate
	}
	return max(allocation.Demand.Rate, allocation.Demand.Recent)
}

// sizing returns the input of the sizing policy.
func (m *Manager[S]) sizing(allocation *Allocation) SizingInput {
	return m.sizingInput(allocation, m.holderCount(allocation))
}

// sizingInput returns the input of the sizing policy for the number of processes that
// share the account.
func (m *Manager[S]) sizingInput(allocation *Allocation, holders int) SizingInput {
	return SizingInput{
		Demand:      m.demand(allocation),
		Observed:    allocation.Demand.UpdatedAt.Sub(allocation.Demand.StartedAt),
		OtherDemand: allocation.OtherDemand,
		Need:        m.neededCredits(allocation),
		MeanRequest: m.meanRequest(allocation),
		Held:        allocation.Held(),
		Granted:     allocation.Granted,
		Purchased:   allocation.Purchased,
		Remaining:   allocation.knownRemaining(),
		Unread:      allocation.unread(),
		Lost:        allocation.Lost,
		Holders:     holders,
		MaxShare:    m.maxShare(),
		Supplies:    m.Supply.Supplies,
		Batched:     m.Batched,
	}
}
