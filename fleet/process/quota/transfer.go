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
	holding := b.Allocation(message.Budget)
	exchange := holding.Transfers[message.From]
	if gain := message.Total - exchange.ReceivedTotal; gain > 0 {
		exchange.ReceivedTotal = message.Total
		holding.Balance.Add(gain)
		holding.resetSearchBackoff()
		holding.Transfers[message.From] = exchange
	}
	if holding.Search.Need > 0 {
		holding.Search.Replied[message.From] = true
	}
	var orders Actions
	if message.Total > 0 {
		orders.TransferAcks = []TransferAck{{
			Budget: message.Budget,
			From:   b.Self,
			To:     message.From,
			Total:  exchange.ReceivedTotal,
		}}
	}
	orders.Add(b.sendPending(holding, now))
	orders.Add(b.search(holding, now))
	return orders
}

// HandleTransferAck takes a peer's receipt.
func (b *Manager[S]) HandleTransferAck(message TransferAck) {
	holding, ok := b.Allocations[message.Budget]
	if !ok || message.To != b.Self {
		return
	}
	exchange := holding.Transfers[message.From]
	exchange.AckedTotal = max(exchange.AckedTotal, message.Total)
	holding.Transfers[message.From] = exchange
}

// HandleTransferRequest answers a peer that lacks credits. What the ceiling does not allow yet
// follows once it is raised, and what a banker lacks once it has drawn it.
func (b *Manager[S]) HandleTransferRequest(message TransferRequest, now time.Time) Actions {
	if message.To != b.Self {
		return Actions{}
	}
	holding := b.Allocation(message.Budget)
	share := b.transferAmount(holding, message)
	ready := holding.Balance.Take(share)
	exchange := holding.Transfers[message.From]
	exchange.Pending = min(share-ready, holding.Unacknowledged())
	if b.Supply.Supplies {
		exchange.Pending = max(exchange.Pending, message.Need-ready)
	}
	holding.Transfers[message.From] = exchange
	orders := b.requestCeiling(holding, now)
	if b.Supply.Supplies && exchange.Pending > 0 && !now.Before(holding.SearchRetryAt) {
		if holding.Remaining == 0 {
			holding.SearchRetryAt = now.Add(MinSearchBackoff)
		}
		orders.Add(b.requestGrant(holding, now))
	}
	if ready > 0 || exchange.Pending == 0 {
		orders.Add(b.send(holding, message.From, ready, now))
	}
	return orders
}

// transferAmount returns how much of what is held here goes to the puller: its part by
// demand, or its need if that is more. A holder with requests that wait keeps
// everything, unless the puller needs more; the names decide between equals.
func (b *Manager[S]) transferAmount(holding *Allocation, message TransferRequest) int64 {
	held := max(0, holding.Held())
	need := holding.Search.Need
	if need > message.Need || (need > 0 && need == message.Need && b.Self < message.From) {
		return 0
	}
	part := held
	if total := holding.Demand.Rate + message.Demand; total > 0 {
		part = int64(float64(held) * message.Demand / total)
	}
	return min(held, max(min(part, message.Preferred), message.Need))
}

// send sends credits that were taken from the purse to the peer.
func (b *Manager[S]) send(holding *Allocation, peer ident.Incarnation, amount int64, now time.Time) Actions {
	exchange := holding.Transfers[peer]
	exchange.SentTotal += amount
	exchange.SentAt = now
	holding.Transfers[peer] = exchange
	return Actions{Transfers: []Transfer{b.newTransfer(holding, peer)}}
}

func (b *Manager[S]) newTransfer(holding *Allocation, peer ident.Incarnation) Transfer {
	return Transfer{
		Budget: holding.Budget,
		From:   b.Self,
		To:     peer,
		Total:  holding.Transfers[peer].SentTotal,
	}
}

// sendPending passes on what is owed, as far as the purse has more than the requests
// that wait here need.
func (b *Manager[S]) sendPending(holding *Allocation, now time.Time) Actions {
	var orders Actions
	for _, peer := range slices.Sorted(maps.Keys(holding.Transfers)) {
		exchange := holding.Transfers[peer]
		spare := holding.Balance.Level().Available - holding.Search.Need
		if exchange.Pending == 0 || spare <= 0 {
			continue
		}
		paid := holding.Balance.Take(min(exchange.Pending, spare))
		exchange.Pending = 0
		holding.Transfers[peer] = exchange
		orders.Add(b.send(holding, peer, paid, now))
	}
	return orders
}

// pendingTransfers returns the sum of the debts to peers.
func (h *Allocation) pendingTransfers() int64 {
	var sum int64
	for _, exchange := range h.Transfers {
		sum += exchange.Pending
	}
	return sum
}

// resendTransfers sends again the transfers that reachable peers have not confirmed.
func (b *Manager[S]) resendTransfers(holding *Allocation, now time.Time) Actions {
	var orders Actions
	for _, peer := range b.Peers {
		exchange := holding.Transfers[peer]
		if exchange.SentTotal <= exchange.AckedTotal || now.Sub(exchange.SentAt) < TransferRetryDelay {
			continue
		}
		exchange.SentAt = now
		holding.Transfers[peer] = exchange
		orders.Transfers = append(orders.Transfers, b.newTransfer(holding, peer))
	}
	return orders
}
