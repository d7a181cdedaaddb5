package quota_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/quota"
)

// fleetDay plays the requests for one budget at a fleet whose processes all end several
// times. The store replies at once.
type fleetDay struct {
	*cluster
	policy quota.SizingPolicy
	random *rand.Rand
	// ends has the reservations in progress by the step in which they are settled.
	ends map[int][]reservation
}

type reservation struct {
	balance *quota.Balance
	amount  int64
}

const (
	dayStep      = 50 * time.Millisecond
	fleetSize    = 8
	requestSize  = 12_000
	stepsPerCall = 4
	serviceSteps = 12
)

func newFleetDay(policy quota.SizingPolicy, purchased int64) *fleetDay {
	day := &fleetDay{
		cluster: &cluster{now: time.Unix(0, 0), purchased: purchased},
		policy:  policy,
		random:  rand.New(rand.NewPCG(28, 0)),
		ends:    make(map[int][]reservation),
	}
	day.start()
	return day
}

// start adds a process on each VM.
func (d *fleetDay) start() {
	for number := range fleetSize {
		n := d.add(d.policy)
		n.manager.VM = "vm-" + strconv.Itoa(number)
		n.manager.Window = 12 * time.Second
	}
	d.connect()
	for _, n := range d.running() {
		n.manager.SetSupply(quota.Supply{DirectHolders: fleetSize})
	}
}

// lose ends all processes.
func (d *fleetDay) lose() {
	for _, n := range d.nodes {
		n.state = crashed
	}
	clear(d.ends)
}

func (d *fleetDay) running() []*node {
	return slices.DeleteFunc(slices.Clone(d.nodes), func(n *node) bool { return n.state != running })
}

// serve sends requests for the time and returns how many were sent and served.
func (d *fleetDay) serve(span time.Duration) (sent, served int) {
	steps := int(span / dayStep)
	for step := range steps {
		d.now = d.now.Add(dayStep)
		settleAll(d.ends[step])
		if step%int(time.Second/dayStep) == 0 {
			d.tick(0)
		}
		if step%stepsPerCall == 0 {
			sent++
			if d.request(step + serviceSteps) {
				served++
			}
		}
		d.deliverAll()
	}
	for _, reservations := range d.ends {
		settleAll(reservations)
	}
	clear(d.ends)
	return sent, served
}

func settleAll(ended []reservation) {
	for _, one := range ended {
		one.balance.Settle(one.amount, one.amount)
	}
}

// request sends a request to any running process and reports whether it found credits.
func (d *fleetDay) request(end int) bool {
	nodes := d.running()
	n := nodes[d.random.IntN(len(nodes))]
	if !n.balance.Reserve(requestSize) {
		d.execute(n, n.manager.Request(budget, requestSize, d.now))
		d.deliverAll()
		found := n.balance.Reserve(requestSize)
		d.execute(n, n.manager.Request(budget, 0, d.now))
		if !found {
			n.manager.AddRefused(budget, requestSize)
			return false
		}
	}
	d.ends[end] = append(d.ends[end], reservation{balance: n.balance, amount: requestSize})
	return true
}

// Service did not come back after several losses of all processes, since each of them took
// the credits that the processes held: of 9.2 million credits 7.9 million were written off
// with processes that had not used them (kowhai-remind, RECOVER).
func TestServiceReturnsAfterLossesOfAllProcesses(t *testing.T) {
	const (
		losses = 6
		calm   = 4 * time.Second
		// Enough for all requests of the day, and a tenth more.
		purchased = 1.1 * (losses*4 + 16) * 5 * requestSize
	)
	policy := quota.DemandSpread{Horizon: 20 * time.Second, Share: 0.6, Holders: 1, Refill: 0.75, MaxLoss: 0.25}
	day := newFleetDay(policy, purchased)
	for range losses {
		day.serve(calm)
		day.lose()
		day.start()
	}
	day.serve(calm)
	sent, served := day.serve(12 * time.Second)
	if served < sent/4 {
		t.Errorf("served after %d losses: got %d of %d, want at least a quarter", losses, served, sent)
	}
	if outstanding := day.page().Accounts[budget].Outstanding(); outstanding > day.purchased {
		t.Errorf("outstanding: got %d, want at most %d", outstanding, day.purchased)
	}
}
