package quota_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// TestMain gives the property tests a fixed seed unless one is asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{
		"rapid.seed":       "20261204",
		"rapid.nofailfile": "true",
		"rapid.checks":     "120",
		"rapid.steps":      "150",
		"rapid.shrinktime": "2s",
	}
	flag.Visit(func(given *flag.Flag) { delete(fixed, given.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const budget = "festival"

type state string

const (
	running state = "running"
	paused  state = "paused"
	crashed state = "crashed"
)

// node is one incarnation: its book, its pledges as a guard and the amounts
// that its requests have reserved.
type node struct {
	id         ident.Incarnation
	state      state
	book       *quota.Manager[quota.SizingPolicy]
	purse      *quota.Balance
	guard      *quota.Witness
	reserved   []int64
	seen       int
	recoveries []*quota.Recovery
}

// write is a conditional update under way. An empty value is a mere read.
type write struct {
	node    *node
	version int
	value   []byte
}

type reply struct {
	node    *node
	version int
	view    account.View
}

// world is a store with one account, the nodes and all that is in flight.
type world struct {
	banked    bool
	now       time.Time
	purchased int64
	version   int
	value     []byte
	nodes     []*node
	writes    []write
	mail      []any
}

func newWorld(nodes int, purchased int64, sizer quota.SizingPolicy) *world {
	w := &world{now: time.Unix(0, 0), purchased: purchased, banked: sizer == sizers["banked"]}
	for range nodes {
		w.add(sizer)
	}
	w.connect()
	return w
}

func (w *world) add(sizer quota.SizingPolicy) *node {
	id := ident.Incarnation(string(rune('a' + len(w.nodes))))
	purses := &quota.Balances{}
	fresh := &node{
		id:    id,
		state: running,
		book:  quota.New(id, sizer, purses),
		purse: purses.Get(budget),
		guard: quota.NewWitness(),
	}
	fresh.book.SetPurchased(budget, w.purchased)
	w.nodes = append(w.nodes, fresh)
	return fresh
}

// connect tells every node of all others that run.
func (w *world) connect() {
	for _, n := range w.nodes {
		var peers []ident.Incarnation
		for _, other := range w.nodes {
			if other != n && other.state == running {
				peers = append(peers, other.id)
			}
		}
		n.book.SetPeers(peers)
		if w.banked {
			n.book.SetSupply(w.banking(n))
		}
	}
}

// banking makes the first node that runs the banker of all others.
func (w *world) banking(n *node) quota.Supply {
	for _, other := range w.nodes {
		if other.state != running {
			continue
		}
		if other == n {
			return quota.Supply{Supplies: true, DirectHolders: 1}
		}
		return quota.Supply{Suppliers: []ident.Incarnation{other.id}, DirectHolders: 1}
	}
	return quota.Supply{}
}

func (w *world) page() account.Page {
	page, err := account.Decode(w.value)
	if err != nil {
		panic(err)
	}
	return page
}

// obey puts the orders of a node on their way.
func (w *world) obey(n *node, orders quota.Actions) {
	for _, draw := range orders.GrantRequests {
		w.try(n, func(page account.Page) bool { return page.Grant(draw, n.book.Allocation(budget).Purchased) })
	}
	for _, request := range orders.Refunds {
		w.try(n, func(page account.Page) bool { return page.Refund(request) })
	}
	for _, request := range orders.Returns {
		w.try(n, func(page account.Page) bool { return page.Return(request) })
	}
	w.mail = appendAll(w.mail, orders.Transfers)
	w.mail = appendAll(w.mail, orders.TransferAcks)
	w.mail = appendAll(w.mail, orders.TransferRequests)
	w.mail = appendAll(w.mail, orders.CeilingRequests)
}

func appendAll[M any](mail []any, messages []M) []any {
	for _, message := range messages {
		mail = append(mail, message)
	}
	return mail
}

// try starts a conditional update of the page as it is now.
func (w *world) try(n *node, change func(account.Page) bool) {
	page := w.page()
	started := write{node: n, version: w.version}
	if change(page) {
		page.Compact()
		value, err := page.Encode()
		if err != nil {
			panic(err)
		}
		started.value = value
	}
	w.writes = append(w.writes, started)
}

// land lets an update take effect if the page still has its version.
func (w *world) land(started write) reply {
	if started.value != nil && started.version == w.version {
		w.version++
		w.value = started.value
	}
	n := started.node
	view := w.page().View(budget, n.id, n.book.Allocation(budget).Purchased)
	return reply{node: n, version: w.version, view: view}
}

// node returns the receiver of a message.
func (w *world) receiver(message any) *node {
	var id ident.Incarnation
	switch m := message.(type) {
	case reply:
		return m.node
	case quota.Transfer:
		id = m.To
	case quota.TransferAck:
		id = m.To
	case quota.TransferRequest:
		id = m.To
	case quota.CeilingRequest:
		id = m.Witness
	case quota.CeilingReply:
		id = m.Holder
	case quota.FenceRequest:
		id = m.Witness
	case quota.FenceReply:
		id = m.To
	}
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	panic("no receiver")
}

// deliver hands a message to its receiver, which runs.
func (w *world) deliver(message any) {
	n := w.receiver(message)
	switch m := message.(type) {
	case reply:
		if m.version < n.seen {
			w.obey(n, n.book.HandleStoreFailure(budget, w.now))
			return
		}
		n.seen = m.version
		w.obey(n, n.book.HandleAccount(budget, m.view, w.now))
	case quota.Transfer:
		w.obey(n, n.book.HandleTransfer(m, w.now))
	case quota.TransferAck:
		n.book.HandleTransferAck(m)
	case quota.TransferRequest:
		w.obey(n, n.book.HandleTransferRequest(m, w.now))
	case quota.CeilingRequest:
		w.mail = append(w.mail, n.guard.Acknowledge(m))
	case quota.CeilingReply:
		w.obey(n, n.book.HandleCeilingReply(m, w.now))
	case quota.FenceRequest:
		w.mail = append(w.mail, n.guard.Fence(m))
	case quota.FenceReply:
		for _, recovery := range n.recoveries {
			recovery.HandleFenceReply(m)
		}
	}
}

// settle delivers everything in flight, in order, until nothing is left.
func (w *world) settle() {
	for len(w.writes)+len(w.mail) > 0 {
		for _, started := range w.take() {
			w.mail = append(w.mail, w.land(started))
		}
		mail := w.mail
		w.mail = nil
		for _, message := range mail {
			if w.receiver(message).state == running {
				w.deliver(message)
			}
		}
	}
}

func (w *world) take() []write {
	writes := w.writes
	w.writes = nil
	return writes
}

// tick advances the time and lets every running node look after its rights.
func (w *world) tick(step time.Duration) {
	w.now = w.now.Add(step)
	for _, n := range w.nodes {
		if n.state == running {
			w.obey(n, n.book.Tick(w.now))
		}
	}
}

// used returns what all incarnations spent or reserved, and usable what those
// that did not crash may use besides.
func (w *world) used() (used, usable int64) {
	for _, n := range w.nodes {
		level := n.purse.Level()
		used += level.Spent + level.Reserved
		if n.state != crashed {
			usable += level.Available
		}
	}
	return used, usable
}
