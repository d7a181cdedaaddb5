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

// TestMain gives the property tests a fixed seed unless the flags set another.
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

// node is one incarnation.
type node struct {
	id      ident.Incarnation
	state   state
	manager *quota.Manager[quota.SizingPolicy]
	balance *quota.Balance
	// witness holds what the node acknowledged for others.
	witness *quota.Witness
	// reserved holds the amounts that the requests of the node have reserved.
	reserved []int64
	// seenVersion is the latest version of the page that the node has read.
	seenVersion int
	recoveries  []*quota.Recovery
}

// write is a conditional update in progress. An empty value is a read.
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

// cluster simulates a store with one account, the nodes, and the messages and writes
// in flight.
type cluster struct {
	supplied  bool
	now       time.Time
	purchased int64
	version   int
	value     []byte
	nodes     []*node
	writes    []write
	messages  []any
}

func newCluster(nodes int, purchased int64, policy quota.SizingPolicy) *cluster {
	w := &cluster{now: time.Unix(0, 0), purchased: purchased, supplied: policy == policies["banked"]}
	for range nodes {
		w.add(policy)
	}
	w.connect()
	return w
}

func (w *cluster) add(policy quota.SizingPolicy) *node {
	id := ident.Incarnation(string(rune('a' + len(w.nodes))))
	balances := &quota.Balances{}
	fresh := &node{
		id:      id,
		state:   running,
		manager: quota.New(id, policy, balances),
		balance: balances.Get(budget),
		witness: quota.NewWitness(),
	}
	fresh.manager.SetPurchased(budget, w.purchased)
	w.nodes = append(w.nodes, fresh)
	return fresh
}

// connect makes all running nodes reachable to each other.
func (w *cluster) connect() {
	for _, n := range w.nodes {
		var peers []ident.Incarnation
		for _, other := range w.nodes {
			if other != n && other.state == running {
				peers = append(peers, other.id)
			}
		}
		n.manager.SetPeers(peers)
		if w.supplied {
			n.manager.SetSupply(w.supply(n))
		}
	}
}

// supply makes the first running node the supplier of all others.
func (w *cluster) supply(n *node) quota.Supply {
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

func (w *cluster) page() account.Page {
	page, err := account.Decode(w.value)
	if err != nil {
		panic(err)
	}
	return page
}

// execute starts the writes and queues the messages of the actions of a node.
func (w *cluster) execute(n *node, actions quota.Actions) {
	for _, request := range actions.GrantRequests {
		w.startWrite(n, func(page account.Page) bool { return page.Grant(request, n.manager.Allocation(budget).Purchased) })
	}
	for _, request := range actions.Refunds {
		w.startWrite(n, func(page account.Page) bool { return page.Refund(request) })
	}
	for _, request := range actions.Returns {
		w.startWrite(n, func(page account.Page) bool { return page.Return(request) })
	}
	w.messages = appendAll(w.messages, actions.Transfers)
	w.messages = appendAll(w.messages, actions.TransferAcks)
	w.messages = appendAll(w.messages, actions.TransferRequests)
	w.messages = appendAll(w.messages, actions.CeilingRequests)
}

func appendAll[M any](mail []any, messages []M) []any {
	for _, message := range messages {
		mail = append(mail, message)
	}
	return mail
}

// startWrite starts a conditional update of the current page.
func (w *cluster) startWrite(n *node, change func(account.Page) bool) {
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

// apply lets a write take effect if the page still has its version, and returns the
// reply of the store.
func (w *cluster) apply(started write) reply {
	if started.value != nil && started.version == w.version {
		w.version++
		w.value = started.value
	}
	n := started.node
	view := w.page().View(budget, n.id, n.manager.Allocation(budget).Purchased)
	return reply{node: n, version: w.version, view: view}
}

// receiver returns the node to which a message is addressed.
func (w *cluster) receiver(message any) *node {
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

// deliver passes a message to its receiver, which must be running.
func (w *cluster) deliver(message any) {
	n := w.receiver(message)
	switch m := message.(type) {
	case reply:
		if m.version < n.seenVersion {
			w.execute(n, n.manager.HandleStoreFailure(budget, w.now))
			return
		}
		n.seenVersion = m.version
		w.execute(n, n.manager.HandleAccount(budget, m.view, w.now))
	case quota.Transfer:
		w.execute(n, n.manager.HandleTransfer(m, w.now))
	case quota.TransferAck:
		n.manager.HandleTransferAck(m)
	case quota.TransferRequest:
		w.execute(n, n.manager.HandleTransferRequest(m, w.now))
	case quota.CeilingRequest:
		w.messages = append(w.messages, n.witness.Acknowledge(m))
	case quota.CeilingReply:
		w.execute(n, n.manager.HandleCeilingReply(m, w.now))
	case quota.FenceRequest:
		w.messages = append(w.messages, n.witness.Fence(m))
	case quota.FenceReply:
		for _, recovery := range n.recoveries {
			recovery.HandleFenceReply(m)
		}
	}
}

// deliverAll applies the writes and delivers the messages in flight, in order, until
// none is left.
func (w *cluster) deliverAll() {
	for len(w.writes)+len(w.messages) > 0 {
		for _, started := range w.takeWrites() {
			w.messages = append(w.messages, w.apply(started))
		}
		messages := w.messages
		w.messages = nil
		for _, message := range messages {
			if w.receiver(message).state == running {
				w.deliver(message)
			}
		}
	}
}

func (w *cluster) takeWrites() []write {
	writes := w.writes
	w.writes = nil
	return writes
}

// tick advances the time and calls Tick at every running node.
func (w *cluster) tick(step time.Duration) {
	w.now = w.now.Add(step)
	for _, n := range w.nodes {
		if n.state == running {
			w.execute(n, n.manager.Tick(w.now))
		}
	}
}

// used returns the credits that all nodes spent or reserved, and those that are still
// available at nodes that did not crash.
func (w *cluster) used() (used, usable int64) {
	for _, n := range w.nodes {
		level := n.balance.Level()
		used += level.Spent + level.Reserved
		if n.state != crashed {
			usable += level.Available
		}
	}
	return used, usable
}
