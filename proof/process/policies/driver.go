package policies

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

const (
	runTime     = 6 * time.Hour
	cutFrom     = time.Hour
	cutUntil    = 5 * time.Hour
	topUpAt     = 3 * time.Hour
	killAt      = 2 * time.Hour
	noticeAfter = time.Minute
	replaceTime = 30 * time.Second
	storeDelay  = 3 * time.Millisecond
	callTimeout = time.Second
	nearDelay   = time.Millisecond
	farDelay    = 15 * time.Millisecond
	tickTime    = time.Second
	pollTime    = 100 * time.Millisecond
	maxWait     = 2 * time.Second
	noticeable  = 100 * time.Millisecond
	meanService = 3 * time.Second
)

// fault is what goes wrong during a run.
type fault string

const (
	noFault    fault = "none"
	partition  fault = "partition 4 h"
	kill       fault = "one crash"
	exhaustion fault = "exhaustion"
)

// workload is the callers' side: how many requests a second, of which budget
// and at which router.
type workload struct {
	name    string
	regions []int
	rate    float64
	budgets []float64
	at      func(budget, router int, now time.Duration) float64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type request struct {
	budget   int
	reserve  int64
	cost     int64
	service  time.Duration
	deadline time.Duration
	oracle   bool
	side     bool
	early    bool
}

type router struct {
	id      ident.Incarnation
	slot    int
	region  int
	alive   bool
	book    *quota.Manager[quota.SizingPolicy]
	guard   *quota.Witness
	purses  []*quota.Balance
	waiting [][]*request
}

// pot is a central counter with no delay.
type pot struct {
	left int64
}

func (p *pot) admit(f *fleet, r *request) bool {
	if p == nil || p.left < r.reserve {
		return false
	}
	p.left -= r.reserve
	f.after(r.service, func() { p.left += r.reserve - r.cost })
	return true
}

type ledger struct {
	name      string
	purchased int64
	page      account.Page
	oracle    pot
	sides     [2]*pot
	hearing   [2]int64
}

type counts struct {
	admitted, refused           int
	earlyAdmitted, earlyRefused int
	sideAdmitted, sideRefused   int
	delayed                     int
	messages, reads, writes     int
	overspend, writtenOff       int64
	purchased                   int64
}

type fleet struct {
	load    workload
	fault   fault
	sizer   quota.SizingPolicy
	rand    *rand.Rand
	now     time.Duration
	seq     int
	agenda  agenda
	cut     bool
	slots   []*router
	all     []*router
	ledgers []*ledger
	counts  counts
}

func newFleet(load workload, kind fault, sizer quota.SizingPolicy, seed uint64) *fleet {
	f := &fleet{load: load, fault: kind, sizer: sizer, rand: rand.New(rand.NewPCG(seed, 1))}
	factor := map[fault]float64{noFault: 1.2, partition: 0.8, kill: 1.2, exhaustion: 0.7}[kind]
	for i, weight := range load.budgets {
		credits := int64(factor * weight * load.rate * runTime.Seconds() * meanCost)
		page, _ := account.Decode(nil)
		f.ledgers = append(f.ledgers, &ledger{
			name: fmt.Sprintf("budget-%d", i), purchased: credits, page: page,
			oracle: pot{left: credits}, hearing: [2]int64{credits, credits},
		})
	}
	for region, routers := range load.regions {
		for range routers {
			f.slots = append(f.slots, nil)
			f.start(len(f.slots)-1, region)
		}
	}
	return f
}

func (f *fleet) start(slot, region int) {
	purses := &quota.Balances{}
	id := ident.Incarnation(fmt.Sprintf("r%02d", len(f.all)))
	r := &router{id: id, slot: slot, region: region, alive: true, guard: quota.NewWitness()}
	r.book = quota.New(id, f.sizer, purses)
	r.waiting = make([][]*request, len(f.ledgers))
	for _, account := range f.ledgers {
		r.purses = append(r.purses, purses.Get(account.name))
	}
	f.slots[slot] = r
	f.all = append(f.all, r)
	f.connect()
	f.after(0, func() { f.tick(r) })
}

// connect tells every router which peers it reaches, the nearest first.
func (f *fleet) connect() {
	for _, r := range f.slots {
		if r == nil {
			continue
		}
		var peers []ident.Incarnation
		for _, near := range []bool{true, false} {
			for step := 1; step < len(f.slots); step++ {
				other := f.slots[(r.slot+step)%len(f.slots)]
				if other != nil && other.alive && (other.region == r.region) == near && f.reaches(r, other) {
					peers = append(peers, other.id)
				}
			}
		}
		r.book.SetPeers(peers)
		for _, account := range f.ledgers {
			r.book.SetPurchased(account.name, account.hearing[f.side(r)])
		}
	}
}

// side is 0 for the part of the fleet that reaches the store in a partition.
func (f *fleet) side(r *router) int        { return min(r.region, 1) }
func (f *fleet) reaches(a, b *router) bool { return !f.cut || f.side(a) == f.side(b) }
func (f *fleet) clock() time.Time          { return time.Unix(0, 0).Add(f.now) }
func (f *fleet) index(name string) (index int) {
	_, _ = fmt.Sscanf(name, "budget-%d", &index)
	return index
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.agenda, event{at: f.now + delay, seq: f.seq, run: run})
}

func (f *fleet) byID(id ident.Incarnation) *router {
	return f.all[slices.IndexFunc(f.all, func(r *router) bool { return r.id == id })]
}

// send runs the handler at the receiver unless the message is lost.
func (f *fleet) send(from *router, to ident.Incarnation, budget string, handle func(*router) quota.Actions) {
	f.counts.messages++
	target := f.byID(to)
	delay := farDelay
	if target.region == from.region {
		delay = nearDelay
	}
	f.after(delay, func() {
		if target.alive && f.reaches(from, target) {
			f.obey(target, handle(target))
			f.serve(target, f.index(budget))
		}
	})
}

func (f *fleet) obey(r *router, orders quota.Actions) {
	for _, m := range orders.Transfers {
		f.send(r, m.To, m.Budget, func(to *router) quota.Actions { return to.book.HandleTransfer(m, f.clock()) })
	}
	for _, m := range orders.TransferAcks {
		f.send(r, m.To, m.Budget, func(to *router) quota.Actions {
			to.book.HandleTransferAck(m)
			return quota.Actions{}
		})
	}
	for _, m := range orders.TransferRequests {
		f.send(r, m.To, m.Budget, func(to *router) quota.Actions { return to.book.HandleTransferRequest(m, f.clock()) })
	}
	for _, m := range orders.CeilingRequests {
		f.send(r, m.Witness, m.Budget, func(guard *router) quota.Actions {
			answer := guard.guard.Acknowledge(m)
			f.send(guard, m.Holder, m.Budget, func(to *router) quota.Actions { return to.book.HandleCeilingReply(answer, f.clock()) })
			return quota.Actions{}
		})
	}
	for _, draw := range orders.GrantRequests {
		f.draw(r, f.ledgers[f.index(draw.Budget)], draw)
	}
}

// draw reads the account and updates it if that changes it.
func (f *fleet) draw(r *router, to *ledger, draw account.GrantRequest) {
	f.counts.reads++
	if f.cut && f.side(r) == 1 {
		f.after(callTimeout, func() {
			f.obey(r, r.book.HandleStoreFailure(draw.Budget, f.clock()))
			f.serve(r, f.index(draw.Budget))
		})
		return
	}
	f.after(storeDelay, func() {
		purchased := to.hearing[f.side(r)]
		if to.page.Grant(draw, purchased) {
			f.counts.writes++
		}
		view := to.page.View(draw.Budget, r.id, purchased)
		f.after(storeDelay, func() {
			f.obey(r, r.book.HandleAccount(draw.Budget, view, f.clock()))
			f.serve(r, f.index(draw.Budget))
		})
	})
}

func (f *fleet) tick(r *router) {
	if !r.alive {
		return
	}
	f.obey(r, r.book.Tick(f.clock()))
	f.after(tickTime, func() { f.tick(r) })
}

// serve admits the requests that wait at the router as far as the purse goes,
// and refuses the rest when the book has no more hope.
func (f *fleet) serve(r *router, budget int) {
	queue := r.waiting[budget]
	if len(queue) == 0 || !r.alive {
		return
	}
	var need int64
	r.waiting[budget] = nil
	for _, waiting := range queue {
		switch {
		case r.purses[budget].Reserve(waiting.reserve):
			f.admit(r, waiting)
		case f.now >= waiting.deadline:
			f.refuse(r, waiting)
		default:
			need += waiting.reserve
			r.waiting[budget] = append(r.waiting[budget], waiting)
		}
	}
	name := f.ledgers[budget].name
	f.obey(r, r.book.Request(name, need, f.clock()))
	if need > 0 && !r.book.Searching(name) {
		for _, waiting := range r.waiting[budget] {
			f.refuse(r, waiting)
		}
		r.waiting[budget] = nil
	}
}

func (f *fleet) admit(r *router, admitted *request) {
	f.count(admitted, false)
	if f.now-admitted.deadline+maxWait > noticeable {
		f.counts.delayed++
	}
	purse := r.purses[admitted.budget]
	f.after(admitted.service, func() {
		if r.alive {
			purse.Settle(admitted.reserve, admitted.cost)
		}
	})
	over := f.used(admitted.budget) - f.ledgers[admitted.budget].purchased
	f.counts.overspend = max(f.counts.overspend, over)
}

func (f *fleet) refuse(r *router, refused *request) {
	r.book.AddRefused(f.ledgers[refused.budget].name, refused.reserve)
	f.count(refused, true)
}

func (f *fleet) used(budget int) int64 {
	var used int64
	for _, r := range f.all {
		level := r.purses[budget].Level()
		used += level.Spent + level.Reserved
	}
	return used
}

func (f *fleet) count(r *request, refused bool) {
	one := 0
	if refused {
		one = 1
	}
	if r.oracle {
		f.counts.admitted++
		f.counts.refused += one
	}
	if r.oracle && r.early {
		f.counts.earlyAdmitted++
		f.counts.earlyRefused += one
	}
	if r.side {
		f.counts.sideAdmitted++
		f.counts.sideRefused += one
	}
}

const meanCost = 0.7*1500*1.197*0.55 + 0.3*100

// draft draws a request: a chat completion or a call at a fixed price.
func (f *fleet) draft(budget int) *request {
	r := &request{budget: budget, reserve: 100, cost: 100, deadline: f.now + maxWait}
	r.service = time.Duration(f.rand.ExpFloat64() * float64(meanService))
	if f.rand.Float64() < 0.7 {
		r.reserve = int64(min(8000, 1500*math.Exp(0.6*f.rand.NormFloat64())))
		r.cost = int64(float64(r.reserve) * (0.2 + 0.7*f.rand.Float64()))
	}
	return r
}

// arrive lets one request arrive and draws the time of the next.
func (f *fleet) arrive() {
	f.after(time.Duration(f.rand.ExpFloat64()/f.load.rate*float64(time.Second)), f.arrive)
	budget := pickWeight(f.rand, len(f.load.budgets), func(i int) float64 { return f.load.budgets[i] })
	r := f.slots[pickWeight(f.rand, len(f.slots), func(i int) float64 {
		if !f.slots[i].alive {
			return 0
		}
		return f.load.at(budget, i, f.now)
	})]
	to := f.ledgers[budget]
	drafted := f.draft(budget)
	drafted.early = f.used(budget) < to.purchased/100*99
	drafted.oracle = to.oracle.admit(f, drafted)
	drafted.side = to.sides[f.side(r)].admit(f, drafted)
	r.waiting[budget] = append(r.waiting[budget], drafted)
	f.serve(r, budget)
	f.poll(r, drafted)
}

func (f *fleet) poll(r *router, waiting *request) {
	if slices.Contains(r.waiting[waiting.budget], waiting) {
		f.after(pollTime, func() {
			f.serve(r, waiting.budget)
			f.poll(r, waiting)
		})
	}
}

func pickWeight(random *rand.Rand, n int, weight func(int) float64) int {
	var sum float64
	for i := range n {
		sum += weight(i)
	}
	at := random.Float64() * sum
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}
