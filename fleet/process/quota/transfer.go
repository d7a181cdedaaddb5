package quota

import (
	"maps"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// HandleTransfer adds the credits that a peer sent to the balance. A transfer without
// new credits is the reply of a peer that has none to send.
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

// HandleTransferAck records the total that a peer has received.
func (b *Manager[S]) HandleTransferAck(message TransferAck) {
	allocation, ok := b.Allocations[message.Budget]
	if !ok || message.To != b.Self {
		return
	}
	transfers := allocation.Transfers[message.From]
	transfers.AckedTotal = max(transfers.AckedTotal, message.Total)
	allocation.Transfers[message.From] = transfers
}

// HandleTransferRequest sends credits to a peer that lacks them. Credits that the
// ceiling does not allow yet are sent once it is raised, and those that a supplier
// lacks once they are granted.
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

// transferAmount returns how many of the credits held here to send to the requester: a
// part in proportion to the demand of both, or its need if that is more. A holder with
// waiting requests keeps everything unless the requester needs more; equal needs are
// decided by the incarnation names.
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
	return min(held, max(min(part, message.ShareLimit), message.Need))
}

// send records the amount, which was taken from the balance, as sent to the peer and
// returns the transfer.
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

// sendPending sends the pending transfers as far as the balance exceeds the need of
// the requests that wait here.
func (b *Manager[S]) sendPending(allocation *Allocation, now time.Time) Actions {
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
		actions.Add(b.send(allocation, peer, sent, now))
	}
	return actions
}

// pendingTransfers returns the sum of the pending transfers to all peers.
func (h *Allocation) pendingTransfers() int64 {
	var sum int64
	for _, transfers := range h.Transfers {
		sum += transfers.Pending
	}
	return sum
}

// resendTransfers sends again the transfers that reachable peers have not
// acknowledged.
func (b *Manager[S]) resendTransfers(allocation *Allocation, now time.Time) Actions {
	var actions Actions
	for _, peer := range b.Peers {
		transfers := allocation.Transfers[peer]
		if transfers.SentTotal <= transfers.AckedTotal || now.Sub(transfers.SentAt) < TransferRetryDelay {
			continue
		}
		transfers.SentAt = now
		allocation.Transfers[peer] = transfers
		actions.Transfers = append(actions.Transfers, b.newTransfer(allocation, peer))
	}
	return actions
}
