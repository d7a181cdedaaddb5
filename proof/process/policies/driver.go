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

// Simulated times of a run.
const (
	runTime          = 6 * time.Hour
	partitionStart   = time.Hour
	partitionEnd     = 5 * time.Hour
	topUpAt          = 3 * time.Hour
	crashAt          = 2 * time.Hour
	recoveryDelay    = time.Minute           // from a crash until peers recover the quota of the router
	replacementDelay = 30 * time.Second      // from a crash until a new router starts in its place
	storeDelay       = 3 * time.Millisecond  // one way
	callTimeout      = time.Second           // of a store call during a partition
	sameRegionDelay  = time.Millisecond      // one way
	crossRegionDelay = 15 * time.Millisecond // one way
	tickInterval     = time.Second
	pollInterval     = 100 * time.Millisecond
	maxWait          = 2 * time.Second        // from arrival to refusal
	delayedThreshold = 100 * time.Millisecond // wait above which an admission counts as delayed
	meanServiceTime  = 3 * time.Second        // from admission to settlement
)

// fault is the failure or shortage simulated in a run.
type fault string

const (
	noFault    fault = "none"
	partition  fault = "partition 4 h"
	crash      fault = "one crash"
	exhaustion fault = "exhaustion"
)

// workload describes the fleet and the requests of its callers.
type workload struct {
	name string
	// regions is the number of routers in each region.
	regions []int
	// rate is in requests per second, over the whole fleet.
	rate float64
	// budgets is the fraction of the requests for each budget.
	budgets []float64
	// routerWeight returns the relative rate of requests for the budget at the router.
	routerWeight func(budget, router int, now time.Duration) float64
}

// event is a step of the simulation. Events at the same time run in the order in which
// they were scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type request struct {
	budget   int
	reserve  int64         // credits reserved at admission
	cost     int64         // credits settled after the service time
	service  time.Duration // from admission to settlement
	deadline time.Duration // of admission
	// centralAdmitted reports whether the central counter of the budget admitted it.
	centralAdmitted bool
	// sideAdmitted reports whether the central counter of its side of the partition
	// admitted it.
	sideAdmitted bool
	// early reports that less than 99 % of the budget was used at its arrival.
	early bool
}

type router struct {
	id       ident.Incarnation
	slot     int // index in fleet.slots; a replacement takes the slot of the crashed router
	region   int
	alive    bool
	manager  *quota.Manager[quota.SizingPolicy]
	witness  *quota.Witness
	balances []*quota.Balance // by budget
	waiting  [][]*request     // by budget, in order of arrival
}

// centralCounter is the reference that policies are compared with: one counter of the
// remaining credits that all routers reach without delay.
type centralCounter struct {
	remaining int64
}

// admit reserves credits if enough remain, and settles them to the cost after the service
// time. A nil counter, outside a partition, admits nothing.
func (c *centralCounter) admit(f *fleet, r *request) bool {
	if c == nil || c.remaining < r.reserve {
		return false
	}
	c.remaining -= r.reserve
	f.schedule(r.service, func() { c.remaining += r.reserve - r.cost })
	return true
}

// budgetState is a budget with its account in the store.
type budgetState struct {
	name      string
	purchased int64
	page      account.Page
	central   centralCounter
	// sideCentral holds, during a partition, a central counter for each side. It starts
	// with the own share of the side: the credits unspent there when the partition began.
	sideCentral [2]*centralCounter
	// knownPurchased is the purchased amount in the active configuration of each side.
	// During a partition a top-up reaches only the side of the store.
	knownPurchased [2]int64
}

// counts are the totals of one run. The fields admitted, earlyAdmitted and sideAdmitted
// count requests that a central counter admitted, and the refused field beside each those
// among them that the policy refused (false refusals).
type counts struct {
	admitted, refused           int // by the counter of the budget
	earlyAdmitted, earlyRefused int // the same, for requests that arrived before 99 % of the budget was used
	sideAdmitted, sideRefused   int // by the counter of the side, during a partition
	delayed                     int // of all requests, admitted by the policy after more than delayedThreshold
	messages, reads, writes     int
	// overspend is the highest excess of used over purchased credits of a budget.
	// writtenOff are the granted credits that no router used or holds at the end.
	overspend, writtenOff int64
	purchased             int64 // of all budgets
}

// fleet is the state of one run of the simulation. Times are since its start.
type fleet struct {
	workload    workload
	fault       fault
	sizing      quota.SizingPolicy
	rand        *rand.Rand
	now         time.Duration
	seq         int // of the last scheduled event
	events      eventQueue
	partitioned bool
	slots       []*router // routers that run, and a crashed one until its replacement starts
	all         []*router // slots and the crashed routers that were replaced
	budgets     []*budgetState
	counts      counts
}

func newFleet(w workload, kind fault, sizing quota.SizingPolicy, seed uint64) *fleet {
	f := &fleet{workload: w, fault: kind, sizing: sizing, rand: rand.New(rand.NewPCG(seed, 1))}
	// Purchased credits relative to the expected cost of all requests.
	factor := map[fault]float64{noFault: 1.2, partition: 0.8, crash: 1.2, exhaustion: 0.7}[kind]
	for i, weight := range w.budgets {
		credits := int64(factor * weight * w.rate * runTime.Seconds() * meanCost)
		page, _ := account.Decode(nil)
		f.budgets = append(f.budgets, &budgetState{
			name: fmt.Sprintf("budget-%d", i), purchased: credits, page: page,
			central: centralCounter{remaining: credits}, knownPurchased: [2]int64{credits, credits},
		})
	}
	for region, routers := range w.regions {
		for range routers {
			f.slots = append(f.slots, nil)
			f.startRouter(len(f.slots)-1, region)
		}
	}
	return f
}

// startRouter starts a router in the slot, which replaces one that crashed there.
func (f *fleet) startRouter(slot, region int) {
	balances := &quota.Balances{}
	id := ident.Incarnation(fmt.Sprintf("r%02d", len(f.all)))
	r := &router{id: id, slot: slot, region: region, alive: true, witness: quota.NewWitness()}
	r.manager = quota.New(id, f.sizing, balances)
	r.waiting = make([][]*request, len(f.budgets))
	for _, state := range f.budgets {
		r.balances = append(r.balances, balances.Get(state.name))
	}
	f.slots[slot] = r
	f.all = append(f.all, r)
	f.updatePeers()
	f.schedule(0, func() { f.tick(r) })
}

// updatePeers sets at each router the reachable peers, those of its own region first, and
// the purchased amounts that are known on its side.
func (f *fleet) updatePeers() {
	for _, r := range f.slots {
		if r == nil {
			continue
		}
		var peers []ident.Incarnation
		for _, sameRegion := range []bool{true, false} {
			for step := 1; step < len(f.slots); step++ {
				other := f.slots[(r.slot+step)%len(f.slots)]
				if other != nil && other.alive && (other.region == r.region) == sameRegion && f.reaches(r, other) {
					peers = append(peers, other.id)
				}
			}
		}
		r.manager.SetPeers(peers)
		for _, state := range f.budgets {
			r.manager.SetPurchased(state.name, state.knownPurchased[f.side(r)])
		}
	}
}

// side returns 0 for the part of the fleet that reaches the store during a partition, the
// routers of the first region, and 1 for the rest.
func (f *fleet) side(r *router) int        { return min(r.region, 1) }
func (f *fleet) reaches(a, b *router) bool { return !f.partitioned || f.side(a) == f.side(b) }
func (f *fleet) simulatedTime() time.Time  { return time.Unix(0, 0).Add(f.now) }
func (f *fleet) budgetIndex(name string) (index int) {
	_, _ = fmt.Sscanf(name, "budget-%d", &index)
	return index
}

func (f *fleet) schedule(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + delay, seq: f.seq, run: run})
}

func (f *fleet) byID(id ident.Incarnation) *router {
	return f.all[slices.IndexFunc(f.all, func(r *router) bool { return r.id == id })]
}

// send delivers a message about the budget after the network delay: it runs the handler
// at the receiver and executes the resulting actions. The message is lost if the receiver
// crashed or is unreachable at that time.
func (f *fleet) send(from *router, to ident.Incarnation, budget string, handle func(*router) quota.Actions) {
	f.counts.messages++
	target := f.byID(to)
	delay := crossRegionDelay
	if target.region == from.region {
		delay = sameRegionDelay
	}
	f.schedule(delay, func() {
		if target.alive && f.reaches(from, target) {
			f.execute(target, handle(target))
			f.admitWaiting(target, f.budgetIndex(budget))
		}
	})
}

// execute sends the messages and applies the grant requests that the quota manager of the
// router returned.
func (f *fleet) execute(r *router, actions quota.Actions) {
	for _, m := range actions.Transfers {
		f.send(r, m.To, m.Budget, func(to *router) quota.Actions { return to.manager.HandleTransfer(m, f.simulatedTime()) })
	}
	for _, m := range actions.TransferAcks {
		f.send(r, m.To, m.Budget, func(to *router) quota.Actions {
			to.manager.HandleTransferAck(m)
			return quota.Actions{}
		})
	}
	for _, m := range actions.TransferRequests {
		f.send(r, m.To, m.Budget, func(to *router) quota.Actions { return to.manager.HandleTransferRequest(m, f.simulatedTime()) })
	}
	for _, m := range actions.CeilingRequests {
		f.send(r, m.Witness, m.Budget, func(receiver *router) quota.Actions {
			reply := receiver.witness.Acknowledge(m)
			f.send(receiver, m.Holder, m.Budget, func(to *router) quota.Actions { return to.manager.HandleCeilingReply(reply, f.simulatedTime()) })
			return quota.Actions{}
		})
	}
	for _, request := range actions.GrantRequests {
		f.updateAccount(r, f.budgets[f.budgetIndex(request.Budget)], request)
	}
}

// updateAccount applies a grant request to the account in the store and returns the result
// to the router. The account is written only if the request changes it. During a
// partition the call of a router on side 1 fails after callTimeout.
func (f *fleet) updateAccount(r *router, state *budgetState, request account.GrantRequest) {
	f.counts.reads++
	if f.partitioned && f.side(r) == 1 {
		f.schedule(callTimeout, func() {
			f.execute(r, r.manager.HandleStoreFailure(request.Budget, f.simulatedTime()))
			f.admitWaiting(r, f.budgetIndex(request.Budget))
		})
		return
	}
	f.schedule(storeDelay, func() {
		purchased := state.knownPurchased[f.side(r)]
		if state.page.Grant(request, purchased) {
			f.counts.writes++
		}
		view := state.page.View(request.Budget, r.id, purchased)
		f.schedule(storeDelay, func() {
			f.execute(r, r.manager.HandleAccount(request.Budget, view, f.simulatedTime()))
			f.admitWaiting(r, f.budgetIndex(request.Budget))
		})
	})
}

// tick runs the periodic work of the quota manager as long as the router is alive.
func (f *fleet) tick(r *router) {
	if !r.alive {
		return
	}
	f.execute(r, r.manager.Tick(f.simulatedTime()))
	f.schedule(tickInterval, func() { f.tick(r) })
}

// admitWaiting admits the waiting requests for which the balance has enough credits, and
// refuses those that are past their deadline. It requests credits for the rest, and refuses
// them too when no search for credits is in progress.
func (f *fleet) admitWaiting(r *router, budget int) {
	queue := r.waiting[budget]
	if len(queue) == 0 || !r.alive {
		return
	}
	var need int64
	r.waiting[budget] = nil
	for _, waiting := range queue {
		switch {
		case r.balances[budget].Reserve(waiting.reserve):
			f.admit(r, waiting)
		case f.now >= waiting.deadline:
			f.refuse(r, waiting)
		default:
			need += waiting.reserve
			r.waiting[budget] = append(r.waiting[budget], waiting)
		}
	}
	name := f.budgets[budget].name
	f.execute(r, r.manager.Request(name, need, f.simulatedTime()))
	if need > 0 && !r.manager.Searching(name) {
		for _, waiting := range r.waiting[budget] {
			f.refuse(r, waiting)
		}
		r.waiting[budget] = nil
	}
}

// admit counts an admitted request and settles it after the service time, unless the router
// crashes before; the credits then stay reserved.
func (f *fleet) admit(r *router, admitted *request) {
	f.count(admitted, false)
	if f.now-admitted.deadline+maxWait > delayedThreshold {
		f.counts.delayed++
	}
	balance := r.balances[admitted.budget]
	f.schedule(admitted.service, func() {
		if r.alive {
			balance.Settle(admitted.reserve, admitted.cost)
		}
	})
	excess := f.used(admitted.budget) - f.budgets[admitted.budget].purchased
	f.counts.overspend = max(f.counts.overspend, excess)
}

func (f *fleet) refuse(r *router, refused *request) {
	r.manager.AddRefused(f.budgets[refused.budget].name, refused.reserve)
	f.count(refused, true)
}

// used returns the spent and reserved credits of the budget over all routers, with those
// that crashed.
func (f *fleet) used(budget int) int64 {
	var used int64
	for _, r := range f.all {
		level := r.balances[budget].Level()
		used += level.Spent + level.Reserved
	}
	return used
}

// count counts a request that the policy admitted or refused.
func (f *fleet) count(r *request, refused bool) {
	falseRefusals := 0
	if refused {
		falseRefusals = 1
	}
	if r.centralAdmitted {
		f.counts.admitted++
		f.counts.refused += falseRefusals
	}
	if r.centralAdmitted && r.early {
		f.counts.earlyAdmitted++
		f.counts.earlyRefused += falseRefusals
	}
	if r.sideAdmitted {
		f.counts.sideAdmitted++
		f.counts.sideRefused += falseRefusals
	}
}

// meanCost is the expected cost of a request of newRequest, in credits. 70 % of the
// requests reserve a log-normal amount with median 1500 and sigma 0.6, whose mean is
// exp(0.6²/2) = 1.197 times the median, and cost 55 % of it on average. 30 % cost 100. The
// limit of 8000 on the reserved amount is neglected.
const meanCost = 0.7*1500*1.197*0.55 + 0.3*100

// newRequest returns a random request: a chat completion (70 %) or a call at a fixed price.
func (f *fleet) newRequest(budget int) *request {
	r := &request{budget: budget, reserve: 100, cost: 100, deadline: f.now + maxWait}
	r.service = time.Duration(f.rand.ExpFloat64() * float64(meanServiceTime))
	if f.rand.Float64() < 0.7 {
		r.reserve = int64(min(8000, 1500*math.Exp(0.6*f.rand.NormFloat64())))
		r.cost = int64(float64(r.reserve) * (0.2 + 0.7*f.rand.Float64()))
	}
	return r
}

// arrive simulates the arrival of one request and schedules the next. Arrivals are a
// Poisson process.
func (f *fleet) arrive() {
	f.schedule(time.Duration(f.rand.ExpFloat64()/f.workload.rate*float64(time.Second)), f.arrive)
	budget := pickWeight(f.rand, len(f.workload.budgets), func(i int) float64 { return f.workload.budgets[i] })
	r := f.slots[pickWeight(f.rand, len(f.slots), func(i int) float64 {
		if !f.slots[i].alive {
			return 0
		}
		return f.workload.routerWeight(budget, i, f.now)
	})]
	state := f.budgets[budget]
	arrived := f.newRequest(budget)
	arrived.early = f.used(budget) < state.purchased/100*99
	arrived.centralAdmitted = state.central.admit(f, arrived)
	arrived.sideAdmitted = state.sideCentral[f.side(r)].admit(f, arrived)
	r.waiting[budget] = append(r.waiting[budget], arrived)
	f.admitWaiting(r, budget)
	f.poll(r, arrived)
}

// poll retries the request every pollInterval as long as it waits, so that it is refused at
// its deadline even if no message arrives.
func (f *fleet) poll(r *router, waiting *request) {
	if slices.Contains(r.waiting[waiting.budget], waiting) {
		f.schedule(pollInterval, func() {
			f.admitWaiting(r, waiting.budget)
			f.poll(r, waiting)
		})
	}
}

// pickWeight returns a random index below n with a probability proportional to its weight.
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
