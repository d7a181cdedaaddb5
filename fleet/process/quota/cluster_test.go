package quota_test

import (
	"flag"
	"os"
	"slices"
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
	change  func(account.Page) bool
}

// reply is the reply of the store to a write or read, with the page version and the
// view of the node.
type reply struct {
	node    *node
	version int
	view    account.View
}

// cluster simulates a store with one account, the nodes, and the messages and writes
// in flight.
type cluster struct {
	// supplied reports that the first running node is the supplier of all others.
	supplied bool
	// drawers reports that the first two running nodes are the suppliers of all.
	drawers bool
	// homes reports that all running nodes can be the home of the budget.
	homes     bool
	now       time.Time
	purchased int64
	version   int
	value     []byte
	nodes     []*node
	writes    []write
	messages  []any
}

func newCluster(nodes int, purchased int64, policy quota.SizingPolicy) *cluster {
	c := &cluster{now: time.Unix(0, 0), purchased: purchased, supplied: policy == policies["supplied"], drawers: policy == policies["drawers"], homes: policy == policies["homes"]}
	for range nodes {
		c.add(policy)
	}
	c.connect()
	return c
}

func (c *cluster) add(policy quota.SizingPolicy) *node {
	id := ident.Incarnation(string(rune('a' + len(c.nodes))))
	balances := &quota.Balances{}
	fresh := &node{
		id:      id,
		state:   running,
		manager: quota.New(id, policy, balances),
		balance: balances.Get(budget),
		witness: quota.NewWitness(),
	}
	fresh.manager.SetPurchased(budget, c.purchased)
	c.nodes = append(c.nodes, fresh)
	return fresh
}

// connect makes all running nodes reachable to each other.
func (c *cluster) connect() {
	for _, n := range c.nodes {
		var peers []ident.Incarnation
		for _, other := range c.nodes {
			if other != n && other.state == running {
				peers = append(peers, other.id)
			}
		}
		n.manager.SetPeers(peers)
		if c.supplied {
			n.manager.SetSupply(c.supply(n))
		}
		if c.drawers {
			suppliers := c.firstRunning(2)
			n.manager.SetSupply(quota.Supply{
				Suppliers: suppliers, Supplies: slices.Contains(suppliers, n.id), DirectHolders: len(suppliers), Homes: suppliers,
			})
		}
		if c.homes {
			homes := append(slices.Clone(peers), n.id)
			n.manager.SetSupply(quota.Supply{Supplies: true, DirectHolders: len(homes), Homes: homes})
		}
	}
}

// firstRunning returns the first running nodes, up to the count.
func (c *cluster) firstRunning(count int) []ident.Incarnation {
	var first []ident.Incarnation
	for _, n := range c.nodes {
		if n.state == running && len(first) < count {
			first = append(first, n.id)
		}
	}
	return first
}

// supply makes the first running node the supplier of all others.
func (c *cluster) supply(n *node) quota.Supply {
	for _, other := range c.nodes {
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

func (c *cluster) page() account.Page {
	page, err := account.Decode(c.value)
	if err != nil {
		panic(err)
	}
	return page
}

// execute starts the writes and queues the messages of the actions of a node.
func (c *cluster) execute(n *node, actions quota.Actions) {
	for _, request := range actions.GrantRequests {
		c.startWrite(n, func(page account.Page) bool { return page.Grant(request, n.manager.Allocation(budget).Purchased) })
	}
	for _, request := range actions.Refunds {
		c.startWrite(n, func(page account.Page) bool { return page.Refund(request) })
	}
	for _, request := range actions.Returns {
		c.startWrite(n, func(page account.Page) bool { return page.Return(request) })
	}
	c.messages = appendAll(c.messages, actions.Transfers)
	c.messages = appendAll(c.messages, actions.TransferAcks)
	c.messages = appendAll(c.messages, actions.TransferRequests)
	c.messages = appendAll(c.messages, actions.CeilingRequests)
}

func appendAll[M any](queue []any, messages []M) []any {
	for _, message := range messages {
		queue = append(queue, message)
	}
	return queue
}

// startWrite starts a conditional update of the current page.
func (c *cluster) startWrite(n *node, change func(account.Page) bool) {
	page := c.page()
	started := write{node: n, version: c.version, change: change}
	if change(page) {
		page.Compact()
		value, err := page.Encode()
		if err != nil {
			panic(err)
		}
		started.value = value
	}
	c.writes = append(c.writes, started)
}

// apply lets a write take effect if the page still has its version, and returns the
// reply of the store.
func (c *cluster) apply(started write) reply {
	if started.value != nil && started.version == c.version {
		c.version++
		c.value = started.value
	}
	n := started.node
	view := c.page().View(budget, n.id, n.manager.Allocation(budget).Purchased)
	return reply{node: n, version: c.version, view: view}
}

// receiver returns the node to which a message is addressed.
func (c *cluster) receiver(message any) *node {
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
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	panic("no receiver")
}

// deliver passes a message to its receiver, which must be running.
func (c *cluster) deliver(message any) {
	n := c.receiver(message)
	switch m := message.(type) {
	case reply:
		if m.version < n.seenVersion {
			c.execute(n, n.manager.HandleStoreFailure(budget, c.now))
			return
		}
		n.seenVersion = m.version
		c.execute(n, n.manager.HandleAccount(budget, m.view, c.now))
	case quota.Transfer:
		c.execute(n, n.manager.HandleTransfer(m, c.now))
	case quota.TransferAck:
		n.manager.HandleTransferAck(m)
	case quota.TransferRequest:
		c.execute(n, n.manager.HandleTransferRequest(m, c.now))
	case quota.CeilingRequest:
		c.messages = append(c.messages, n.witness.Acknowledge(m))
	case quota.CeilingReply:
		c.execute(n, n.manager.HandleCeilingReply(m, c.now))
	case quota.FenceRequest:
		c.messages = append(c.messages, n.witness.Fence(m))
	case quota.FenceReply:
		for _, recovery := range n.recoveries {
			recovery.HandleFenceReply(m)
		}
	}
}

// deliverAll applies the writes and delivers the messages in flight, in order, until
// none is left.
func (c *cluster) deliverAll() {
	for len(c.writes)+len(c.messages) > 0 {
		for _, started := range c.takeWrites() {
			if started.value != nil && started.version != c.version {
				// A writer repeats its change after a conflict.
				c.startWrite(started.node, started.change)
				continue
			}
			c.messages = append(c.messages, c.apply(started))
		}
		messages := c.messages
		c.messages = nil
		for _, message := range messages {
			if c.receiver(message).state == running {
				c.deliver(message)
			}
		}
	}
}

func (c *cluster) takeWrites() []write {
	writes := c.writes
	c.writes = nil
	return writes
}

// tick advances the time and calls Tick at every running node.
func (c *cluster) tick(step time.Duration) {
	c.now = c.now.Add(step)
	for _, n := range c.nodes {
		if n.state == running {
			c.execute(n, n.manager.Tick(c.now))
		}
	}
}

// used returns the credits that all nodes spent or reserved, and those that are still
// available at nodes that did not crash.
func (c *cluster) used() (used, usable int64) {
	for _, n := range c.nodes {
		level := n.balance.Level()
		used += level.Spent + level.Reserved
		if n.state != crashed {
			usable += level.Available
		}
	}
	return used, usable
}
