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

var sizers = map[string]quota.SizingPolicy{
	"horizon": quota.DemandHorizon{Horizon: time.Hour, Ready: time.Minute},
	"shrinking": quota.DemandShrinking{
		Horizon: time.Hour,
		Ready:   10 * time.Second,
		Share:   0.5,
		Holders: 2,
	},
	"spread": quota.DemandSpread{Horizon: 10 * time.Second, Share: 0.5, Holders: 1, Refill: 0.75},
	"banked": quota.DemandSpread{Horizon: 8 * time.Second, Share: 1, Holders: 1, Refill: 0.75},
	"split":  quota.EvenSplit{Holders: 4},
}

// machine draws the steps that the property tests interleave.
type machine struct {
	*world
	sizer quota.SizingPolicy
	late  []write
	stale []*node
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

// message draws one of the first few in flight, so that order changes.
func (m *machine) message(t *rapid.T) int {
	if len(m.mail) == 0 {
		t.Skip("no mail")
	}
	return rapid.IntRange(0, min(5, len(m.mail)-1)).Draw(t, "message")
}

func (m *machine) request(t *rapid.T) {
	n := m.pick(t, running)
	amount := rapid.Int64Range(1, 120).Draw(t, "amount")
	if n.purse.Reserve(amount) {
		n.reserved = append(n.reserved, amount)
		return
	}
	m.obey(n, n.book.Request(budget, amount, m.now))
	if !n.book.Searching(budget) {
		n.book.AddRefused(budget, amount)
	}
}

func (m *machine) finish(t *rapid.T) {
	n := m.pick(t, running)
	if len(n.reserved) == 0 {
		t.Skip("no request")
	}
	reserved := n.reserved[0]
	n.reserved = n.reserved[1:]
	n.purse.Settle(reserved, rapid.Int64Range(0, reserved).Draw(t, "cost"))
}

func (m *machine) receive(t *rapid.T) {
	index := m.message(t)
	message := m.mail[index]
	switch m.receiver(message).state {
	case paused:
		t.Skip("the receiver is paused")
	case running:
		m.deliver(message)
	case crashed:
	}
	_, once := message.(reply)
	if once || rapid.IntRange(0, 4).Draw(t, "copies") > 0 {
		m.mail = slices.Delete(m.mail, index, index+1)
	}
}

func (m *machine) lose(t *rapid.T) {
	index := m.message(t)
	if _, ok := m.mail[index].(reply); ok {
		t.Skip("a reply from the store is lost in update")
	}
	m.mail = slices.Delete(m.mail, index, index+1)
}

// update lets a write land, or not, with or without a reply.
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
		m.mail = append(m.mail, m.land(started))
		return
	case outcome == "reply lost":
		m.land(started)
	}
	if outcome == "late" {
		m.late = append(m.late, started)
	}
	if n := started.node; n.state == running {
		m.obey(n, n.book.HandleStoreFailure(budget, m.now))
	}
}

func (m *machine) pass(t *rapid.T) {
	m.tick(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) topUp(t *rapid.T) {
	m.purchased += rapid.Int64Range(1, 300).Draw(t, "credits")
	m.pick(t, running, paused).book.SetPurchased(budget, m.purchased)
}

func (m *machine) suspend(t *rapid.T) { m.pick(t, running).state = paused }
func (m *machine) wake(t *rapid.T)    { m.pick(t, paused).state = running }

func (m *machine) crash(t *rapid.T) {
	if len(m.nodes) == maxNodes {
		t.Skip("enough nodes")
	}
	m.pick(t, running, paused).state = crashed
	m.add(m.sizer)
	m.connect()
}

func (m *machine) leave(t *rapid.T) {
	n := m.pick(t, running)
	m.obey(n, n.book.Close(budget, m.now))
}

func (m *machine) part(t *rapid.T) {
	n := m.pick(t, running)
	var peers []ident.Incarnation
	for _, other := range m.nodes {
		if other != n && rapid.Bool().Draw(t, "reachable") {
			peers = append(peers, other.id)
		}
	}
	n.book.SetPeers(peers)
}

// refunding reports whether credits are on their way back to the store.
func (m *machine) refunding() bool {
	return slices.ContainsFunc(m.nodes, func(n *node) bool {
		holding := n.book.Allocation(budget)
		return holding.Refunded > holding.RefundStored
	})
}

// recover starts or goes on to reclaim the rights of any node, lost or not.
func (m *machine) recover(t *rapid.T) {
	by := m.pick(t, running)
	lost := m.pick(t, running, paused, crashed)
	if lost == by {
		t.Skip("itself")
	}
	for _, recovery := range by.recoveries {
		m.mail = appendAll(m.mail, recovery.FenceRequests(by.id))
		if reclaim, ok := recovery.Reclaim(); ok {
			m.try(by, func(page account.Page) bool { return page.Reclaim(reclaim) })
		}
	}
	record := m.page().Accounts[budget].Holders[lost.id]
	if recovery, ok := quota.NewRecovery(budget, lost.id, record); ok {
		by.recoveries = append(by.recoveries, recovery)
		m.mail = appendAll(m.mail, recovery.FenceRequests(by.id))
	} else {
		m.try(by, func(page account.Page) bool { return page.WriteOff(budget, lost.id) })
	}
}

// check holds at every step: what was and can still be spent is within what the
// store has out, and that within what was purchased.
func (m *machine) check(t *rapid.T) {
	used, usable := m.used()
	out := m.page().Accounts[budget].Outstanding()
	if used+usable > out {
		t.Fatalf("used and usable: got %d + %d, want at most %d", used, usable, out)
	}
	if out > m.purchased {
		t.Fatalf("out: got %d, want at most %d", out, m.purchased)
	}
}

// delayed lets a write take effect long after its writer gave it up.
func (m *machine) delayed(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("no late write")
	}
	index := rapid.IntRange(0, len(m.late)-1).Draw(t, "write")
	m.land(m.late[index])
	m.stale = append(m.stale, m.late[index].node)
	m.late = slices.Delete(m.late, index, index+1)
}

// calm lets all that is in flight arrive.
func (m *machine) calm(*rapid.T) { m.settle() }

func TestNothingIsSpentBeyondPurchased(t *testing.T) {
	for name, sizer := range sizers {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			m := &machine{world: newWorld(4, 1000, sizer), sizer: sizer}
			t.Repeat(map[string]func(*rapid.T){
				"":        m.check,
				"request": m.request,
				"again":   m.request,
				"finish":  m.finish,
				"receive": m.receive,
				"next":    m.receive,
				"lose":    m.lose,
				"update":  m.update,
				"delayed": m.delayed,
				"pass":    m.pass,
				"top up":  m.topUp,
				"suspend": m.suspend,
				"wake":    m.wake,
				"crash":   m.crash,
				"leave":   m.leave,
				"part":    m.part,
				"recover": m.recover,
				"calm":    m.calm,
			})
		}))
	}
}

// TestRightsAreConserved loses and reorders messages and writes but no node:
// in the end, what the store has granted is all there.
func TestRightsAreConserved(t *testing.T) {
	for name, sizer := range sizers {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			m := &machine{world: newWorld(4, 1000, sizer), sizer: sizer}
			t.Repeat(map[string]func(*rapid.T){
				"":        m.check,
				"request": m.request,
				"again":   m.request,
				"finish":  m.finish,
				"receive": m.receive,
				"lose":    m.lose,
				"update":  m.update,
				"pass":    m.pass,
				"top up":  m.topUp,
				"leave":   m.leave,
				"part":    m.part,
				"delayed": m.delayed,
			})
			for _, n := range m.stale {
				m.try(n, func(account.Page) bool { return false })
			}
			m.connect()
			for range 10 {
				m.settle()
				m.tick(10 * time.Second)
			}
			m.settle()
			for rounds := 0; m.refunding(); rounds++ {
				if rounds == 100 {
					t.Fatal("refunds never reach the store")
				}
				m.settle()
				m.tick(time.Second)
				m.settle()
			}
			used, usable := m.used()
			for _, n := range m.nodes {
				usable += n.book.Allocation(budget).Unacknowledged()
			}
			if out := m.page().Accounts[budget].Outstanding(); used+usable != out {
				t.Fatalf("used and held: got %d + %d, want %d", used, usable, out)
			}
		}))
	}
}
