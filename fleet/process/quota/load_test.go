package quota_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

const (
	// pageUpdates is how many updates of one account page the store takes in a dayStep.
	pageUpdates = 2
	// patience is how many steps a request waits for credits.
	patience = 10
	// callTimeout is how many steps a call to a store in an outage takes.
	callTimeout       = 20
	suppliersPerZone  = 3
	creditsPerRequest = 1_000
)

// waiting is the requests that came to one node in one step.
type waiting struct {
	count int
	until int
}

// load plays requests for one budget at a large fleet whose zones have suppliers.
type load struct {
	*cluster
	random *rand.Rand
	step   int
	zones  [][]*node
	// rates has the requests a second at each node.
	rates map[*node]float64
	// due has the part of a request that each node has accrued.
	due    map[*node]float64
	queues map[*node][]waiting
	ends   map[int][]reservation
	// losing nodes never win a conflict for the page.
	losing map[*node]bool
	// outage reports that the store is out of reach.
	outage bool
	failed map[int][]*node

	sent, refused, calls int
}

// newLoad returns a fleet whose budget covers the requests a second for 45 s.
func newLoad(zones, routersPerZone int, requestsPerSecond float64) *load {
	l := &load{
		cluster: &cluster{now: time.Unix(0, 0), purchased: int64(45 * requestsPerSecond * creditsPerRequest)},
		random:  rand.New(rand.NewPCG(38, 0)),
		rates:   make(map[*node]float64),
		due:     make(map[*node]float64),
		queues:  make(map[*node][]waiting),
		ends:    make(map[int][]reservation),
		losing:  make(map[*node]bool),
		failed:  make(map[int][]*node),
	}
	policy := quota.DemandSpread{Horizon: 20 * time.Second, Share: 0.6, Holders: 1, Refill: 0.75, MaxLoss: 0.25}
	for range zones {
		var zone []*node
		for range routersPerZone {
			n := l.add(policy)
			n.manager.Window = 12 * time.Second
			zone = append(zone, n)
		}
		l.zones = append(l.zones, zone)
	}
	l.connect()
	l.supplyZones()
	return l
}

// supplyZones makes the first nodes of each zone its suppliers.
func (l *load) supplyZones() {
	var homes []ident.Incarnation
	for _, zone := range l.zones {
		for _, n := range zone[:suppliersPerZone] {
			homes = append(homes, n.id)
		}
	}
	for number, zone := range l.zones {
		suppliers := homes[number*suppliersPerZone : (number+1)*suppliersPerZone]
		for index, n := range zone {
			n.manager.SetSupply(quota.Supply{
				Suppliers: suppliers, Supplies: index < suppliersPerZone, DirectHolders: len(homes), Homes: homes,
			})
		}
	}
}

// demand spreads the requests a second over the suppliers of all zones, where callers are
// directed.
func (l *load) demand(requestsPerSecond float64) {
	for _, zone := range l.zones {
		for _, n := range zone[:suppliersPerZone] {
			l.rates[n] = requestsPerSecond / float64(len(l.zones)*suppliersPerZone)
		}
	}
}

// play runs the fleet for the time and returns the fraction of the requests refused in it.
func (l *load) play(span time.Duration) float64 {
	sent, refused := l.sent, l.refused
	for range int(span / dayStep) {
		l.step++
		l.now = l.now.Add(dayStep)
		settleAll(l.ends[l.step])
		delete(l.ends, l.step)
		for _, n := range l.nodes {
			l.arrive(n)
		}
		if l.step%int(time.Second/dayStep) == 0 {
			l.tick(0)
		}
		l.exchange()
		l.update()
		l.exchange()
		for _, n := range l.nodes {
			l.expire(n)
		}
	}
	return float64(l.refused-refused) / float64(max(1, l.sent-sent))
}

// arrive adds the requests of one step to the queue of the node.
func (l *load) arrive(n *node) {
	l.due[n] += l.rates[n] * dayStep.Seconds()
	count := int(l.due[n])
	if count == 0 {
		return
	}
	l.due[n] -= float64(count)
	l.sent += count
	l.queues[n] = append(l.queues[n], waiting{count: count, until: l.step + patience})
	l.serve(n)
}

// serve reserves for the waiting requests and searches for the credits that they lack.
func (l *load) serve(n *node) {
	var need int64
	queue := l.queues[n][:0]
	for _, each := range l.queues[n] {
		for each.count > 0 && n.balance.Reserve(creditsPerRequest) {
			each.count--
			end := l.step + serviceSteps
			l.ends[end] = append(l.ends[end], reservation{balance: n.balance, amount: creditsPerRequest})
		}
		if each.count > 0 {
			queue = append(queue, each)
			need += int64(each.count) * creditsPerRequest
		}
	}
	l.queues[n] = queue
	l.execute(n, n.manager.Request(budget, need, l.now))
	if need > 0 && !n.manager.Searching(budget) {
		l.refuse(n, l.step+patience)
	}
}

// expire refuses the requests that have waited long enough.
func (l *load) expire(n *node) {
	if len(l.queues[n]) > 0 {
		l.serve(n)
		l.refuse(n, l.step)
	}
}

func (l *load) refuse(n *node, until int) {
	l.queues[n] = slices.DeleteFunc(l.queues[n], func(each waiting) bool {
		if each.until > until {
			return false
		}
		l.refused += each.count
		n.manager.AddRefused(budget, int64(each.count)*creditsPerRequest)
		return true
	})
}

// exchange delivers all messages and serves the receivers.
func (l *load) exchange() {
	for len(l.messages) > 0 {
		messages := l.messages
		l.messages = nil
		for _, message := range messages {
			n := l.receiver(message)
			l.deliver(message)
			l.serve(n)
		}
	}
}

// update lets some updates of the page take effect. The others conflict and are repeated
// in the next step.
func (l *load) update() {
	for _, n := range l.failed[l.step] {
		l.execute(n, n.manager.HandleStoreFailure(budget, l.now))
		l.serve(n)
	}
	started := l.takeWrites()
	l.random.Shuffle(len(started), func(i, j int) { started[i], started[j] = started[j], started[i] })
	done := 0
	for _, each := range started {
		l.calls++
		switch {
		case l.outage:
			l.failed[l.step+callTimeout] = append(l.failed[l.step+callTimeout], each.node)
		case done == pageUpdates || l.losing[each.node]:
			l.writes = append(l.writes, each)
		default:
			done++
			l.startWrite(each.node, each.change)
			last := len(l.writes) - 1
			l.messages = append(l.messages, l.apply(l.writes[last]))
			l.writes = l.writes[:last]
		}
	}
}

// check fails the test if more was used than was purchased.
func (l *load) check(t *testing.T) {
	t.Helper()
	used, usable := l.used()
	if outstanding := l.page().Accounts[budget].Outstanding(); used+usable > outstanding || outstanding > l.purchased {
		t.Errorf("used, usable, outstanding: got %d, %d, %d of %d purchased", used, usable, outstanding, l.purchased)
	}
}

// checkRefused fails the test if the fraction of refused requests is above the limit.
func checkRefused(t *testing.T, what string, got, limit float64) {
	t.Helper()
	if got > limit {
		t.Errorf("refused %s: got %.3f, want at most %.3f", what, got, limit)
	}
}

// checkCalls fails the test if there were more store calls than the limit.
func checkCalls(t *testing.T, what string, got, limit int) {
	t.Helper()
	if got > limit {
		t.Errorf("store calls %s: got %d, want at most %d", what, got, limit)
	}
}

const (
	maxRefusedInReach     = 0.01
	maxRefusedInCut       = 0.05
	callsPerZoneAndSecond = 4
)

// TestWeakRouterWithHalfOfTheDemand has callers of a large team stay with a router to
// which nobody directs them, and whose updates of the account page lose to those of faster
// machines.
func TestWeakRouterWithHalfOfTheDemand(t *testing.T) {
	const rate = 300
	l := newLoad(4, 12, rate)
	weak := l.zones[0][11]
	l.losing[weak] = true
	l.demand(rate / 2)
	l.rates[weak] = rate / 2
	checkRefused(t, "with all in reach", l.play(20*time.Second), maxRefusedInReach)
	l.check(t)
}

// TestDemandThatDoublesInASecond has the demand of all routers rise from one second to the
// next, also at one to which nobody directs callers.
func TestDemandThatDoublesInASecond(t *testing.T) {
	const rate = 300
	l := newLoad(4, 12, 2*rate)
	other := l.zones[1][11]
	l.losing[other] = true
	l.demand(rate / 2)
	l.rates[other] = rate / 2
	l.play(15 * time.Second)
	l.demand(rate)
	l.rates[other] = rate
	calls := l.calls
	checkRefused(t, "after the increase", l.play(10*time.Second), maxRefusedInReach)
	checkCalls(t, "in 10 s", l.calls-calls, 10*len(l.zones)*callsPerZoneAndSecond)
	l.check(t)
}

// TestHotTenantAtSevenTimes has a team send seven times its usual for some seconds, half of
// it to a router to which nobody directs callers.
func TestHotTenantAtSevenTimes(t *testing.T) {
	const rate = 100
	l := newLoad(4, 12, 3*rate)
	other := l.zones[1][11]
	l.losing[other] = true
	l.demand(rate)
	l.play(10 * time.Second)
	l.demand(7 * rate / 2)
	l.rates[other] = 7 * rate / 2
	checkRefused(t, "of the hot tenant", l.play(6*time.Second), maxRefusedInReach)
	l.check(t)
}

// TestUnusedRoutersHoldNothing has callers at 12 of 300 routers.
func TestUnusedRoutersHoldNothing(t *testing.T) {
	const rate = 300
	l := newLoad(6, 50, rate)
	for _, zone := range l.zones {
		for _, n := range zone[:2] {
			l.rates[n] = rate / 12
		}
	}
	checkRefused(t, "with all in reach", l.play(20*time.Second), maxRefusedInReach)
	for number, zone := range l.zones {
		for _, n := range zone[suppliersPerZone:] {
			if got := n.balance.Level().Available; got > 0 {
				t.Errorf("held by unused %s of zone %d: got %d, want 0", n.id, number, got)
			}
		}
	}
	checkCalls(t, "in 20 s", l.calls, 20*len(l.zones)*callsPerZoneAndSecond)
	l.check(t)
}

// TestStoreOutOfReachOfAll has all routers lose the store for 9 s, and one of them, to which
// nobody directs callers, have half of the demand. The links between routers stay.
func TestStoreOutOfReachOfAll(t *testing.T) {
	const rate = 300
	l := newLoad(4, 12, rate)
	weak := l.zones[0][11]
	l.demand(rate / 2)
	l.rates[weak] = rate / 2
	l.play(15 * time.Second)
	l.outage = true
	checkRefused(t, "without the store", l.play(9*time.Second), maxRefusedInCut)
	l.outage = false
	for _, n := range l.nodes {
		n.manager.HandleStoreRecovery()
	}
	l.play(2 * time.Second)
	checkRefused(t, "two seconds after its return", l.play(5*time.Second), maxRefusedInReach)
	l.check(t)
}
