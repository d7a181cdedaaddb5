package quota

import (
	"maps"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// HandleTransfer takes rights from a peer, or its answer that it has none.
func (b *Manager[S]) HandleTransfer(message Transfer, now time.Time) Actions {
	if message.To != b.Self {
		return Actions{}
	}
	allocation := b.Allocation(message.Budget)
	transfers := allocation.Transfers[message.From]
	if gain := message.Total - transfers.ReceivedTotal; gain > 0 {
		transfers.ReceivedTotal = message.Total
		allocation.Balance.Add(gain)
		allocation.resetSearchBackoff()
		allocation.Transfers[message.From] = transfers
	}
	if allocation.Search.Need > 0 {
		allocation.Search.Replied[message.From] = true
	}
	var actions Actions
	if message.Total > 0 {
		actions.TransferAcks = []TransferAck{{
			Budget: message.Budget,
			From:   b.Self,
			To:     message.From,
			Total:  transfers.ReceivedTotal,
		}}
	}
	actions.Add(b.sendPending(allocation, now))
	actions.Add(b.search(allocation, now))
	return actions
}

// HandleTransferAck takes a peer's receipt.
func (b *Manager[S]) HandleTransferAck(message TransferAck) {
	allocation, ok := b.Allocations[message.Budget]
	if !ok || message.To != b.Self {
		return
	}
	transfers := allocation.Transfers[message.From]
	transfers.AckedTotal = max(transfers.AckedTotal, message.Total)
	allocation.Transfers[message.From] = transfers
}

// HandleTransferRequest answers a peer that lacks credits. What the ceiling does not allow yet
// follows once it is raised, and what a banker lacks once it has drawn it.
func (b *Manager[S]) HandleTransferRequest(message TransferRequest, now time.Time) Actions {
	if message.To != b.Self {
		return Actions{}
	}
	allocation := b.Allocation(message.Budget)
	share := b.transferAmount(allocation, message)
	ready := allocation.Balance.Take(share)
	transfers := allocation.Transfers[message.From]
	transfers.Pending = min(share-ready, allocation.Unacknowledged())
	if b.Supply.Supplies {
		transfers.Pending = max(transfers.Pending, message.Need-ready)
	}
	allocation.Transfers[message.From] = transfers
	actions := b.requestCeiling(allocation, now)
	if b.Supply.Supplies && transfers.Pending > 0 && !now.Before(allocation.SearchRetryAt) {
		if allocation.Remaining == 0 {
			allocation.SearchRetryAt = now.Add(MinSearchBackoff)
		}
		actions.Add(b.requestGrant(allocation, now))
	}
	if ready > 0 || transfers.Pending == 0 {
		actions.Add(b.send(allocation, message.From, ready, now))
	}
	return actions
}

// transferAmount returns how much of what is held here goes to the puller: its part by
// demand, or its need if that is more. A holder with requests that wait keeps
// everything, unless the puller needs more; the names decide between equals.
func (b *Manager[S]) transferAmount(allocation *Allocation, message TransferRequest) int64 {
	held := max(0, allocation.Held())
	need := allocation.Search.Need
	if need > message.Need || (need > 0 && need == message.Need && b.Self < message.From) {
		return 0
	}
	part := held
	if total := allocation.Demand.Rate + message.Demand; total > 0 {
		part = int64(float64(held) * message.Demand / total)
	}
	return min(held, max(min(part, message.Preferred), message.Need))
}

// send sends credits that were taken from the purse to the peer.
func (b *Manager[S]) send(allocation *Allocation, peer ident.Incarnation, amount int64, now time.Time) Actions {
	transfers := allocation.Transfers[peer]
	transfers.SentTotal += amount
	transfers.SentAt = now
	allocation.Transfers[peer] = transfers
	return Actions{Transfers: []Transfer{b.newTransfer(allocation, peer)}}
}

func (b *Manager[S]) newTransfer(allocation *Allocation, peer ident.Incarnation) Transfer {
	return Transfer{
		Budget: allocation.Budget,
		From:   b.Self,
		To:     peer,
		Total:  allocation.Transfers[peer].SentTotal,
	}
}

// sendPending passes on what is owed, as far as the purse has more than the requests
// that wait here need.
func (b *Manager[S]) sendPending(holding *Allocation, now time.Time) Actions {
	var actions Actions
	for _, peer := range slices.Sorted(maps.Keys(holding.Transfers)) {
		transfers := holding.Transfers[peer]
		spare := holding.Balance.Level().Available - holding.Search.Need
		if transfers.Pending == 0 || spare <= 0 {
			continue
		}
		sent := holding.Balance.Take(min(transfers.Pending, spare))
		transfers.Pending = 0
		holding.Transfers[peer] = transfers
		actions.Add(b.send(holding, peer, sent, now))
	}
	return actions
}

// pendingTransfers returns the sum of the debts to peers.
func (h *Allocation) pendingTransfers() int64 {
	var sum int64
	for _, transfers := range h.Transfers {
		sum += transfers.Pending
	}
	return sum
}

// resendTransfers sends again the transfers that reachable peers have not confirmed.
func (b *Manager[S]) resendTransfers(holding *Allocation, now time.Time) Actions {
	var actions Actions
	for _, peer := range b.Peers {
		transfers := holding.Transfers[peer]
		if transfers.SentTotal <= transfers.AckedTotal || now.Sub(transfers.SentAt) < TransferRetryDelay {
			continue
		}
		transfers.SentAt = now
		holding.Transfers[peer] = transfers
		actions.Transfers = append(actions.Transfers, b.newTransfer(holding, peer))
	}
	return actions
}
