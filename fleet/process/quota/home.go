package quota

import "jacinthpaddle.example/fleet/process/ident"

// concentrated reports whether the budget has a home: the share of a direct holder would
// be too small for MinRequests requests, so that nearly each request would need a grant
// from the store, and most credits would lie where no request comes.
func (m *Manager[S]) concentrated(allocation *Allocation) bool {
	if len(m.Supply.Homes) == 0 || m.Sizing.UsesWitnesses() || allocation.MeanRequest == 0 {
		return false
	}
	share := m.Sizing.MaxFraction(m.sizingInput(allocation, m.sharingHolders(allocation)))
	return share*float64(allocation.knownRemaining()) < MinRequests*allocation.MeanRequest
}

// home returns the home of the budget: the reachable process of Supply.Homes with the
// highest hash together with the budget, so that all processes agree on it and the others
// keep their homes when one leaves. It returns false if none is reachable.
func (m *Manager[S]) home(budget string) (ident.Incarnation, bool) {
	return highestHash(budget, m.reachableHomes)
}

// meanRequest returns the size of requests for which a holder of a large fleet keeps room.
// In a small fleet the share of a holder covers them, and more would only be lost with it.
func (m *Manager[S]) meanRequest(allocation *Allocation) float64 {
	if len(m.Supply.Homes) == 0 {
		return 0
	}
	return allocation.MeanRequest
}
