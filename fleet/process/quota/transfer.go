package quota

import (
	"maps"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// HandleTransfer adds the credits that a peer sent to the balance. A transfer without
// new credits is the reply of a peer that has none to send.
func (m *Manager[S]) HandleTransfer(message Transfer, now time.Time) Actions {
	if message.To != m.Self {
		return Actions{}
	}
	allocation := m.Allocation(message.Budget)
	transfers := allocation.Transfers[message.From]
	gain := max(0, message.Total-transfers.ReceivedTotal)
	if gain > 0 {
		transfers.ReceivedTotal = message.Total
		transfers.Reserve = max(0, transfers.Reserve-gain)
		allocation.Balance.Add(gain)
		allocation.resetSearchBackoff()
		allocation.Transfers[message.From] = transfers
	}
	delete(m.silent, message.From)
	supplier, supplied := m.supplierOf(allocation)
	fromSupplier := supplied && supplier == message.From
	if fromSupplier && message.Account != nil {
		allocation.applySummary(*message.Account, now)
	}
	allocation.Search.handleReply(message.From, gain, fromSupplier)
	var actions Actions
	if message.Total > 0 {
		actions.TransferAcks = []TransferAck{{
			Budget: message.Budget,
			From:   m.Self,
			To:     message.From,
			Total:  transfers.ReceivedTotal,
		}}
	}
	actions.Add(m.sendPending(allocation, now))
	actions.Add(m.search(allocation, now))
	return actions
}

// HandleTransferAck records the total that a peer has received.
func (m *Manager[S]) HandleTransferAck(message TransferAck) {
	allocation, ok := m.Allocations[message.Budget]
	if !ok || message.To != m.Self {
		return
	}
	transfers := allocation.Transfers[message.From]
	transfers.AckedTotal = max(transfers.AckedTotal, message.Total)
	allocation.Transfers[message.From] = transfers
}

// HandleTransferRequest sends credits to a peer that lacks them. Credits that the
// ceiling does not allow yet are sent once it is raised, and those that a supplier
// lacks once they are granted.
func (m *Manager[S]) HandleTransferRequest(message TransferRequest, now time.Time) Actions {
	if message.To != m.Self {
		return Actions{}
	}
	allocation := m.Allocation(message.Budget)
	if message.Need > 0 {
		allocation.observeRequest(message.Need)
	}
	amount := m.transferAmount(allocation, message)
	taken := allocation.Balance.Take(amount)
	transfers := allocation.Transfers[message.From]
	transfers.Pending = min(amount-taken, allocation.Unacknowledged())
	supplies := m.Supply.Supplies && !message.HeldOnly
	if supplies {
		transfers.Pending = max(transfers.Pending, message.Need-taken)
	}
	allocation.Transfers[message.From] = transfers
	if supplies && message.Need == 0 {
		m.handleRefillRequest(allocation, message, now)
	}
	actions := m.requestCeiling(allocation, now)
	if supplies && allocation.Transfers[message.From].lacks() {
		actions.Add(m.requestForPeer(allocation, now))
	}
	if taken > 0 || !allocation.Transfers[message.From].lacks() {
		actions.Add(m.send(allocation, message.From, taken, now))
	}
	return actions
}

// requestForPeer requests a grant for pending transfers, and answers them at once if it
// cannot.
func (m *Manager[S]) requestForPeer(allocation *Allocation, now time.Time) Actions {
	if !now.Before(allocation.SearchRetryAt) {
		if allocation.Remaining == 0 {
			allocation.SearchRetryAt = now.Add(MinSearchBackoff)
		}
		actions := m.requestGrant(allocation, now)
		if allocation.UpdatePending {
			return actions
		}
	}
	if allocation.UpdatePending {
		return Actions{}
	}
	allocation.coverReserves()
	actions := m.sendReserves(allocation, now)
	actions.Add(m.answerPending(allocation, now))
	return actions
}

// lacks reports whether credits are to be sent to the peer.
func (p PeerTransfers) lacks() bool {
	return p.Pending > 0 || p.PendingReserve > 0
}

// transferAmount returns how many of the credits held here to send to the requester: a
// share in proportion to the demand of both, up to ShareLimit, or its need if that is
// more. A holder with waiting requests keeps everything unless the requester needs
// more; at equal needs the one with the lower incarnation name has precedence.
func (m *Manager[S]) transferAmount(allocation *Allocation, message TransferRequest) int64 {
	held := max(0, allocation.Held())
	need := allocation.Search.Need
	if need > message.Need || (need > 0 && need == message.Need && m.Self < message.From) {
		return 0
	}
	share := held
	if total := allocation.Demand.Rate + message.Demand; total > 0 {
		share = int64(float64(held) * message.Demand / total)
	}
	return min(held, max(min(share, message.ShareLimit), message.Need))
}

// send records the amount, which was taken from the balance, as sent to the peer and
// returns the transfer.
func (m *Manager[S]) send(allocation *Allocation, peer ident.Incarnation, amount int64, now time.Time) Actions {
	transfers := allocation.Transfers[peer]
	transfers.SentTotal += amount
	transfers.SentAt = now
	allocation.Transfers[peer] = transfers
	return Actions{Transfers: []Transfer{m.newTransfer(allocation, peer, now)}}
}

func (m *Manager[S]) newTransfer(allocation *Allocation, peer ident.Incarnation, now time.Time) Transfer {
	transfer := Transfer{
		Budget: allocation.Budget,
		From:   m.Self,
		To:     peer,
		Total:  allocation.Transfers[peer].SentTotal,
	}
	if m.Supply.Supplies {
		transfer.Account = allocation.summary(now)
	}
	return transfer
}

// sendPending sends the pending transfers as far as the balance exceeds the need of
// the requests that wait here. A transfer that is sent in part is no longer pending:
// a later search of the peer requests the rest if it is still needed.
func (m *Manager[S]) sendPending(allocation *Allocation, now time.Time) Actions {
	var actions Actions
	for _, peer := range slices.Sorted(maps.Keys(allocation.Transfers)) {
		transfers := allocation.Transfers[peer]
		spare := allocation.Balance.Level().Available - allocation.Search.Need
		if transfers.Pending == 0 || spare <= 0 {
			continue
		}
		sent := allocation.Balance.Take(min(transfers.Pending, spare))
		transfers.Pending = 0
		allocation.Transfers[peer] = transfers
		actions.Add(m.send(allocation, peer, sent, now))
	}
	return actions
}

// pendingTransfers returns the sum of the pending transfers to all peers.
func (a *Allocation) pendingTransfers() int64 {
	var sum int64
	for _, transfers := range a.Transfers {
		sum += transfers.Pending
	}
	return sum
}

// resendTransfers sends again the transfers that reachable peers have not
// acknowledged.
func (m *Manager[S]) resendTransfers(allocation *Allocation, now time.Time) Actions {
	var actions Actions
	for _, peer := range m.Peers {
		transfers := allocation.Transfers[peer]
		if transfers.SentTotal <= transfers.AckedTotal || now.Sub(transfers.SentAt) < TransferRetryDelay {
			continue
		}
		transfers.SentAt = now
		allocation.Transfers[peer] = transfers
		actions.Transfers = append(actions.Transfers, m.newTransfer(allocation, peer, now))
	}
	return actions
}
