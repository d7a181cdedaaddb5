package quota_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

const maxNodes = 9

var policies = map[string]quota.SizingPolicy{
	"horizon": quota.DemandHorizon{Horizon: time.Hour, Ready: time.Minute},
	"shrinking": quota.DemandShrinking{
		Horizon: time.Hour,
		Ready:   10 * time.Second,
		Share:   0.5,
		Holders: 2,
	},
	"spread":   quota.DemandSpread{Horizon: 10 * time.Second, Share: 0.5, Holders: 1, Refill: 0.75},
	"homes":    quota.DemandSpread{Horizon: 8 * time.Second, Share: 0.2, Holders: 1, Refill: 0.75},
	"drawers":  quota.DemandSpread{Horizon: 9 * time.Second, Share: 0.8, Holders: 1, Refill: 0.75},
	"supplied": quota.DemandSpread{Horizon: 8 * time.Second, Share: 1, Holders: 1, Refill: 0.75},
	"split":    quota.EvenSplit{Holders: 4},
}

// machine generates the steps that the property tests interleave. Rapid sorts the steps
// by the names given to Repeat, so that renaming one would change the sequence that a
// seed generates.
type machine struct {
	*cluster
	policy quota.SizingPolicy
	// lateWrites are abandoned by their nodes but may still take effect.
	lateWrites []write
	// staleNodes are the nodes whose late writes took effect.
	staleNodes []*node
}

func (m *machine) pick(t *rapid.T, states ...state) *node {
	var candidates []*node
	for _, n := range m.nodes {
		if slices.Contains(states, n.state) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no node in this state")
	}
	return rapid.SampledFrom(candidates).Draw(t, "node")
}

// message selects one of the first few messages in flight, so that they are reordered.
func (m *machine) message(t *rapid.T) int {
	if len(m.messages) == 0 {
		t.Skip("no message in flight")
	}
	return rapid.IntRange(0, min(5, len(m.messages)-1)).Draw(t, "message")
}

func (m *machine) request(t *rapid.T) {
	n := m.pick(t, running)
	amount := rapid.Int64Range(1, 120).Draw(t, "amount")
	if n.balance.Reserve(amount) {
		n.reserved = append(n.reserved, amount)
		return
	}
	m.execute(n, n.manager.Request(budget, amount, m.now))
	if !n.manager.Searching(budget) {
		n.manager.AddRefused(budget, amount)
	}
}

func (m *machine) finish(t *rapid.T) {
	n := m.pick(t, running)
	if len(n.reserved) == 0 {
		t.Skip("no request")
	}
	reserved := n.reserved[0]
	n.reserved = n.reserved[1:]
	n.balance.Settle(reserved, rapid.Int64Range(0, reserved).Draw(t, "cost"))
}

func (m *machine) receive(t *rapid.T) {
	index := m.message(t)
	message := m.messages[index]
	switch m.receiver(message).state {
	case paused:
		t.Skip("the receiver is paused")
	case running:
		m.deliver(message)
	case crashed:
	}
	_, once := message.(reply)
	if once || rapid.IntRange(0, 4).Draw(t, "copies") > 0 {
		m.messages = slices.Delete(m.messages, index, index+1)
	}
}

func (m *machine) drop(t *rapid.T) {
	index := m.message(t)
	if _, ok := m.messages[index].(reply); ok {
		t.Skip("a reply from the store is lost in update")
	}
	m.messages = slices.Delete(m.messages, index, index+1)
}

// update completes a write: it takes effect or not, at once or late, and its reply
// arrives or is lost.
func (m *machine) update(t *rapid.T) {
	if len(m.writes) == 0 {
		t.Skip("no write")
	}
	index := rapid.IntRange(0, len(m.writes)-1).Draw(t, "write")
	started := m.writes[index]
	outcome := rapid.SampledFrom([]string{"done", "done", "done", "reply lost", "late", "lost"}).Draw(t, "outcome")
	m.writes = slices.Delete(m.writes, index, index+1)
	switch {
	case outcome == "done":
		m.messages = append(m.messages, m.apply(started))
		return
	case outcome == "reply lost":
		m.apply(started)
	}
	if outcome == "late" {
		m.lateWrites = append(m.lateWrites, started)
	}
	if n := started.node; n.state == running {
		m.execute(n, n.manager.HandleStoreFailure(budget, m.now))
	}
}

func (m *machine) advance(t *rapid.T) {
	m.tick(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) topUp(t *rapid.T) {
	m.purchased += rapid.Int64Range(1, 300).Draw(t, "credits")
	m.pick(t, running, paused).manager.SetPurchased(budget, m.purchased)
}

func (m *machine) pause(t *rapid.T)  { m.pick(t, running).state = paused }
func (m *machine) resume(t *rapid.T) { m.pick(t, paused).state = running }

func (m *machine) crash(t *rapid.T) {
	if len(m.nodes) == maxNodes {
		t.Skip("enough nodes")
	}
	m.pick(t, running, paused).state = crashed
	m.add(m.policy)
	m.connect()
}

func (m *machine) closeNode(t *rapid.T) {
	n := m.pick(t, running)
	m.execute(n, n.manager.Close(budget, m.now))
}

func (m *machine) partition(t *rapid.T) {
	n := m.pick(t, running)
	var peers []ident.Incarnation
	for _, other := range m.nodes {
		if other != n && rapid.Bool().Draw(t, "reachable") {
			peers = append(peers, other.id)
		}
	}
	n.manager.SetPeers(peers)
}

// refunding reports whether a refund has not been recorded in the store yet.
func (m *machine) refunding() bool {
	return slices.ContainsFunc(m.nodes, func(n *node) bool {
		allocation := n.manager.Allocation(budget)
		return allocation.Refunded > allocation.RefundStored
	})
}

// recover starts or continues the recovery of the quota of any node, failed or not.
func (m *machine) recover(t *rapid.T) {
	by := m.pick(t, running)
	holder := m.pick(t, running, paused, crashed)
	if holder == by {
		t.Skip("itself")
	}
	for _, recovery := range by.recoveries {
		m.messages = appendAll(m.messages, recovery.FenceRequests(by.id))
		if reclaim, ok := recovery.Reclaim(); ok {
			m.startWrite(by, func(page account.Page) bool { return page.Reclaim(reclaim) })
		}
	}
	record := m.page().Accounts[budget].Holders[holder.id]
	if recovery, ok := quota.NewRecovery(budget, holder.id, record); ok {
		by.recoveries = append(by.recoveries, recovery)
		m.messages = appendAll(m.messages, recovery.FenceRequests(by.id))
	} else {
		m.startWrite(by, func(page account.Page) bool { return page.WriteOff(budget, holder.id) })
	}
}

// check checks the invariant after every step: what was used and can still be used is
// within the outstanding credits of the account, and those are within what was
// purchased.
func (m *machine) check(t *rapid.T) {
	used, usable := m.used()
	outstanding := m.page().Accounts[budget].Outstanding()
	if used+usable > outstanding {
		t.Fatalf("used and usable: got %d + %d, want at most %d", used, usable, outstanding)
	}
	if outstanding > m.purchased {
		t.Fatalf("outstanding: got %d, want at most %d", outstanding, m.purchased)
	}
}

// applyLate lets a write take effect long after its writer abandoned it.
func (m *machine) applyLate(t *rapid.T) {
	if len(m.lateWrites) == 0 {
		t.Skip("no late write")
	}
	index := rapid.IntRange(0, len(m.lateWrites)-1).Draw(t, "write")
	m.apply(m.lateWrites[index])
	m.staleNodes = append(m.staleNodes, m.lateWrites[index].node)
	m.lateWrites = slices.Delete(m.lateWrites, index, index+1)
}

// quiesce delivers everything in flight.
func (m *machine) quiesce(*rapid.T) { m.deliverAll() }

func TestNothingIsSpentBeyondPurchased(t *testing.T) {
	for name, policy := range policies {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			m := &machine{cluster: newCluster(4, 1000, policy), policy: policy}
			t.Repeat(map[string]func(*rapid.T){
				"":        m.check,
				"request": m.request,
				"again":   m.request,
				"finish":  m.finish,
				"receive": m.receive,
				"next":    m.receive,
				"lose":    m.drop,
				"update":  m.update,
				"delayed": m.applyLate,
				"pass":    m.advance,
				"top up":  m.topUp,
				"suspend": m.pause,
				"wake":    m.resume,
				"crash":   m.crash,
				"leave":   m.closeNode,
				"part":    m.partition,
				"recover": m.recover,
				"calm":    m.quiesce,
			})
		}))
	}
}

// TestQuotaIsConserved loses and reorders messages and writes but crashes no node: at
// the end, all credits that the store has granted are accounted for.
func TestQuotaIsConserved(t *testing.T) {
	for name, policy := range policies {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			m := &machine{cluster: newCluster(4, 1000, policy), policy: policy}
			t.Repeat(map[string]func(*rapid.T){
				"":        m.check,
				"request": m.request,
				"again":   m.request,
				"finish":  m.finish,
				"receive": m.receive,
				"lose":    m.drop,
				"update":  m.update,
				"pass":    m.advance,
				"top up":  m.topUp,
				"leave":   m.closeNode,
				"part":    m.partition,
				"delayed": m.applyLate,
			})
			for _, n := range m.staleNodes {
				m.startWrite(n, func(account.Page) bool { return false })
			}
			m.connect()
			for range 10 {
				m.deliverAll()
				m.tick(10 * time.Second)
			}
			m.deliverAll()
			for rounds := 0; m.refunding(); rounds++ {
				if rounds == 100 {
					t.Fatal("refunds never reach the store")
				}
				m.deliverAll()
				m.tick(time.Second)
				m.deliverAll()
			}
			used, usable := m.used()
			for _, n := range m.nodes {
				usable += n.manager.Allocation(budget).Unacknowledged()
			}
			if outstanding := m.page().Accounts[budget].Outstanding(); used+usable != outstanding {
				t.Fatalf("used and held: got %d + %d, want %d", used, usable, outstanding)
			}
		}))
	}
}
