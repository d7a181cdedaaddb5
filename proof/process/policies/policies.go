// Package policies measures how the policies for sizing rights do against one
// central counter without delay: a discrete-event driver runs the real books,
// guards and account pages. docs/budgets-table.md describes workloads and faults.
//
// # Usage
//
//	err := policies.Print(os.Stdout, 20261204)
package policies

import (
	"container/heap"
	"fmt"
	"io"
	"time"

	"jacinthpaddle.example/fleet/process/quota"
)

// share returns what the routers of one side have not spent, and on the side of
// the store also what it has left.
func (f *fleet) share(budget, side int) int64 {
	to := f.ledgers[budget]
	var sum int64
	if side == 0 {
		sum = to.purchased - to.page.Accounts[to.name].Outstanding()
	}
	for _, r := range f.slots {
		if r.alive && f.side(r) == side {
			sum += r.book.Allocation(to.name).Held()
		}
	}
	return sum
}

func (f *fleet) split() {
	f.cut = true
	for i, to := range f.ledgers {
		to.sides = [2]*pot{{left: f.share(i, 0)}, {left: f.share(i, 1)}}
	}
	f.connect()
}

func (f *fleet) heal() {
	f.cut = false
	for _, to := range f.ledgers {
		to.sides = [2]*pot{}
		to.hearing[1] = to.hearing[0]
	}
	f.connect()
}

func (f *fleet) topUp() {
	for i, to := range f.ledgers {
		more := int64(0.4 * f.load.budgets[i] * f.load.rate * runTime.Seconds() * meanCost)
		to.purchased += more
		to.hearing[0] += more
		to.oracle.left += more
		to.sides[0].left += more
	}
	f.connect()
}

// crash stops the first router for good. Peers reclaim what guards attest once
// they have noticed, or else write it off.
func (f *fleet) crash() {
	lost := f.slots[0]
	lost.alive = false
	for i := range f.ledgers {
		for _, waiting := range lost.waiting[i] {
			f.count(waiting, true)
		}
	}
	f.connect()
	f.after(replaceTime, func() { f.start(lost.slot, lost.region) })
	f.after(noticeAfter, func() {
		for _, to := range f.ledgers {
			record := to.page.Accounts[to.name].Holders[lost.id]
			recovery, ok := quota.NewRecovery(to.name, lost.id, record)
			for _, freeze := range recovery.FenceRequests("") {
				f.counts.messages += 2
				recovery.HandleFenceReply(f.byID(freeze.Witness).guard.Fence(freeze))
			}
			if reclaim, attested := recovery.Reclaim(); ok && attested {
				to.page.Reclaim(reclaim)
			} else {
				to.page.WriteOff(to.name, lost.id)
			}
			f.counts.writes++
			to.page.Compact()
		}
	})
}

func (f *fleet) run() counts {
	switch f.fault {
	case partition:
		f.after(cutFrom, f.split)
		f.after(topUpAt, f.topUp)
		f.after(cutUntil, f.heal)
	case kill:
		f.after(killAt, f.crash)
	case noFault, exhaustion:
	}
	f.after(time.Minute, f.arrive)
	for f.now < runTime {
		next := heap.Pop(&f.agenda).(event)
		f.now = next.at
		next.run()
	}
	for i, to := range f.ledgers {
		lost := to.page.Accounts[to.name].Outstanding() - f.used(i)
		for _, r := range f.slots {
			lost -= r.book.Allocation(to.name).Held()
		}
		f.counts.writtenOff += lost
		f.counts.purchased += to.purchased
	}
	return f.counts
}

func (w workload) routers() int {
	var sum int
	for _, routers := range w.regions {
		sum += routers
	}
	return sum
}

func homeRegion(regions []int, home float64) func(int, int, time.Duration) float64 {
	var of []int
	for region, routers := range regions {
		for range routers {
			of = append(of, region)
		}
	}
	return func(budget, router int, _ time.Duration) float64 {
		if (budget+router)%3 == 2 {
			return 0
		}
		if of[router] == budget%len(regions) {
			return home
		}
		return 1 - home
	}
}

func workloads() []workload {
	teams := []float64{0.25, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.04, 0.03, 0.03}
	skewed := []float64{0.48, 0.2, 0.1, 0.08, 0.06, 0.04, 0.03, 0.01}
	authority := []int{3, 3, 2}
	kowhai := []int{3, 2, 2}
	return []workload{
		{name: "Authority", regions: authority, rate: 4, budgets: teams, at: homeRegion(authority, 0.7)},
		{name: "Kowhai", regions: kowhai, rate: 1, budgets: teams, at: homeRegion(kowhai, 0.8)},
		{name: "hot budget", regions: authority, rate: 4, budgets: []float64{1}, at: func(_, router int, now time.Duration) float64 {
			shift := int(now / (2 * time.Hour))
			return skewed[(router+3*shift)%len(skewed)]
		}},
	}
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", share(part, whole))
}

func row(f *fleet, policy string, got counts) string {
	minutes := runTime.Minutes()
	return fmt.Sprintf("| %s | %s | %s | %d | %s | %s | %s | %s | %.2f | %.0f | %.1f | %.1f |",
		f.load.name, f.fault, policy, max(0, got.overspend),
		percent(got.earlyRefused, got.earlyAdmitted), percent(got.refused, got.admitted),
		percent(got.sideRefused, got.sideAdmitted),
		percent(got.delayed, got.admitted),
		100*float64(got.writtenOff)/float64(got.purchased),
		float64(got.messages)/minutes, float64(got.reads)/minutes, float64(got.writes)/minutes)
}

// policy is one way of sizing rights, for a fleet of so many routers.
type policy struct {
	name  string
	sizer func(routers int) quota.SizingPolicy
}

// ChosenPolicy is the name of the policy that routers use.
const ChosenPolicy = "shrinking, guarded (chosen)"

func policies() []policy {
	return []policy{
		{"even split", func(routers int) quota.SizingPolicy { return quota.EvenSplit{Holders: routers} }},
		{"demand horizon", func(int) quota.SizingPolicy {
			return quota.DemandHorizon{Horizon: 30 * time.Minute, Ready: time.Minute}
		}},
		{"shrinking, guarded, share 0.5", func(routers int) quota.SizingPolicy {
			sizer := quota.NewDemandShrinking(routers)
			sizer.Share = 0.5
			return sizer
		}},
		{ChosenPolicy, func(routers int) quota.SizingPolicy { return quota.NewDemandShrinking(routers) }},
	}
}

const header = "| Workload | Fault | Policy | Overspend | False refusals until 99 % spent, % | in all, % " +
	"| of the side's own share, % | Admitted after 100 ms or more, % | Written off, % " +
	"| Messages/min | Reads/min | Writes/min |\n|---|---|---|---|---|---|---|---|---|---|---|---|"

// OverspendError says that a policy let more be spent than was purchased.
type OverspendError struct {
	Workload string
	Policy   string
	Credits  int64
}

// Error implements error.
func (e *OverspendError) Error() string {
	return fmt.Sprintf("%s, %s: %d credits overspent", e.Workload, e.Policy, e.Credits)
}

// Result is what one run came to, in percent of the requests that the oracle
// admitted.
type Result struct {
	Overspend    int64
	EarlyRefused float64
	SideRefused  float64
}

// Print runs every policy under every workload and fault and prints the table.
func Print(out io.Writer, seed uint64) error {
	_, _ = fmt.Fprintln(out, header)
	for _, load := range workloads() {
		for _, kind := range []fault{noFault, partition, kill, exhaustion} {
			for _, policy := range policies() {
				f := newFleet(load, kind, policy.sizer(load.routers()), seed)
				got := f.run()
				if got.overspend > 0 {
					return &OverspendError{Workload: load.name, Policy: policy.name, Credits: got.overspend}
				}
				_, _ = fmt.Fprintln(out, row(f, policy.name, got))
			}
		}
	}
	return nil
}

// Run runs the chosen policy under one workload, until it is used up or in a
// partition.
func Run(seed uint64, workload string, cut bool) Result {
	kind := exhaustion
	if cut {
		kind = partition
	}
	for _, load := range workloads() {
		if load.name == workload {
			f := newFleet(load, kind, quota.NewDemandShrinking(load.routers()), seed)
			return f.run().result()
		}
	}
	return Result{}
}

func (c counts) result() Result {
	return Result{
		Overspend:    max(0, c.overspend),
		EarlyRefused: share(c.earlyRefused, c.earlyAdmitted),
		SideRefused:  share(c.sideRefused, c.sideAdmitted),
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
