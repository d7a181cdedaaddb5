package quota

import (
	"time"

	"jacinthpaddle.example/fleet/process/account"
)

// requestGrant requests the credits that the sizing policy determines and the
// recording of a proposed witness set. A request for no credits finds out whether an
// earlier update with unknown outcome took effect.
func (m *Manager[S]) requestGrant(allocation *Allocation, now time.Time) Actions {
	if allocation.UpdatePending || allocation.RecordClosed || allocation.Closing || now.Before(allocation.StoreRetryAt) {
		return Actions{}
	}
	amount := m.grantAmount(allocation, now)
	reserves := allocation.pendingReserves()
	if allocation.Remaining > 0 && !allocation.unread() {
		amount += reserves
	}
	if amount == 0 && !allocation.hasUnrecordedSet() && !allocation.OutcomeUnknown {
		return Actions{}
	}
	if !allocation.RecordSeen {
		m.maintainWitnesses(allocation)
	}
	allocation.UpdatePending = true
	allocation.coverReserves()
	return Actions{GrantRequests: []account.GrantRequest{m.grantRequest(allocation, amount)}}
}

// Refresh returns a grant request that was not sent yet with the amounts that are needed
// now, if they are more.
func (m *Manager[S]) Refresh(request account.GrantRequest, now time.Time) account.GrantRequest {
	allocation := m.Allocation(request.Budget)
	if allocation.Closing || allocation.RecordClosed {
		return request
	}
	allocation.coverReserves()
	amount := max(m.grantAmount(allocation, now)+allocation.pendingReserves(), request.Target-request.KnownGranted)
	return m.grantRequest(allocation, amount)
}

// grantRequest returns a request to raise the grant by the amount.
func (m *Manager[S]) grantRequest(allocation *Allocation, amount int64) account.GrantRequest {
	latest := allocation.latestWitnesses()
	input := m.sizing(allocation)
	return account.GrantRequest{
		Budget:       allocation.Budget,
		Holder:       m.Self,
		VM:           m.VM,
		RecordSeen:   allocation.RecordSeen,
		KnownGranted: allocation.Granted,
		Target:       allocation.Granted + amount,
		Minimum:      m.neededCredits(allocation),
		MaxFraction:  m.maxFraction(input, allocation.pendingReserves()),
		MaxUnused:    m.Sizing.MaxUnused(input),
		Demand:       max(allocation.Demand.Rate, allocation.peerDemand()),
		Used:         allocation.used(),
		Epoch:        latest.Epoch,
		Witnesses:    latest.Witnesses,
	}
}

// maxFraction returns the largest fraction of what the account has left that a grant may
// take for this holder and the pending reserves of peers, or 0 for no bound.
func (m *Manager[S]) maxFraction(input SizingInput, reserves int64) float64 {
	fraction := m.Sizing.MaxFraction(input)
	if fraction == 0 || reserves == 0 || input.Remaining <= 0 {
		return fraction
	}
	return min(1, fraction+float64(reserves)/float64(input.Remaining))
}

// refund returns to the store the credits that the sizing policy reports as surplus. They
// leave the balance at once, and the refund is repeated until the store has recorded it.
// A supplied allocation has no new surplus: it gets only small amounts from its supplier
// and keeps them.
func (m *Manager[S]) refund(allocation *Allocation, now time.Time) Actions {
	if allocation.UpdatePending || allocation.RecordClosed || !allocation.RecordSeen || now.Before(allocation.StoreRetryAt) {
		return Actions{}
	}
	if !m.supplied(allocation) && !allocation.StoreUnavailable {
		surplus := m.Sizing.Surplus(m.sizing(allocation))
		allocation.Refunded += allocation.Balance.Take(surplus)
	}
	if allocation.Refunded <= allocation.RefundStored {
		return Actions{}
	}
	allocation.UpdatePending = true
	allocation.coverReserves()
	return Actions{Refunds: []account.Refund{{
		Budget: allocation.Budget,
		Holder: m.Self,
		Total:  allocation.Refunded,
		Demand: max(allocation.Demand.Rate, allocation.peerDemand()),
		Used:   allocation.used(),
	}}}
}

// grantAmount returns how many credits to request from the store. From an account
// without credits it requests only for waiting requests, and not until
// EmptyAccountDelay after the account was read. A supplied allocation also requests only
// what waiting requests need. A holder for which there are too few witnesses requests no more
// than its exposure, since nothing beyond it could be reclaimed.
func (m *Manager[S]) grantAmount(allocation *Allocation, now time.Time) int64 {
	if allocation.Remaining == 0 && (m.neededCredits(allocation) == 0 || now.Sub(allocation.ReadAt) < EmptyAccountDelay) {
		return 0
	}
	input := m.sizing(allocation)
	if m.supplied(allocation) {
		return max(0, input.Need-input.Held)
	}
	amount := max(0, m.Sizing.GrantAmount(input))
	if m.Sizing.UsesWitnesses() && len(allocation.latestWitnesses().Witnesses) == 0 && m.selectWitnesses(allocation) == nil {
		amount = min(amount, max(0, m.Sizing.Exposure(input)-input.Held))
	}
	return amount
}
