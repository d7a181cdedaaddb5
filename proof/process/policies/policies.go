// Package policies compares quota sizing policies with a central counter without delay.
// A discrete-event simulation runs the quota managers, witnesses and account pages of the
// routers under several workloads and faults, which docs/budgets-table.md describes.
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

// unspent returns the credits that the routers of one side hold unspent. On the side of the
// store it includes the credits that are not granted.
func (f *fleet) unspent(budget, side int) int64 {
	state := f.budgets[budget]
	var sum int64
	if side == 0 {
		sum = state.purchased - state.page.Accounts[state.name].Outstanding()
	}
	for _, r := range f.slots {
		if r.alive && f.side(r) == side {
			sum += r.manager.Allocation(state.name).Held()
		}
	}
	return sum
}

// startPartition separates the two sides and starts a central counter for each, with the
// credits unspent on that side.
func (f *fleet) startPartition() {
	f.partitioned = true
	for i, state := range f.budgets {
		state.sideCentral = [2]*centralCounter{{remaining: f.unspent(i, 0)}, {remaining: f.unspent(i, 1)}}
	}
	f.updatePeers()
}

// endPartition connects both sides again and distributes the top-up to side 1.
func (f *fleet) endPartition() {
	f.partitioned = false
	for _, state := range f.budgets {
		state.sideCentral = [2]*centralCounter{}
		state.knownPurchased[1] = state.knownPurchased[0]
	}
	f.updatePeers()
}

// topUp purchases more credits for each budget during a partition, 40 % of the expected
// cost of all its requests. Only the side of the store receives the configuration.
func (f *fleet) topUp() {
	for i, state := range f.budgets {
		added := int64(0.4 * f.workload.budgets[i] * f.workload.rate * runTime.Seconds() * meanCost)
		state.purchased += added
		state.knownPurchased[0] += added
		state.central.remaining += added
		state.sideCentral[0].remaining += added
	}
	f.updatePeers()
}

// crashRouter stops the first router permanently and schedules its replacement. After
// recoveryDelay its unused quota is reclaimed if the witnesses attest its ceiling, and
// written off otherwise. Requests that waited at the router count as refused.
func (f *fleet) crashRouter() {
	crashed := f.slots[0]
	crashed.alive = false
	for i := range f.budgets {
		for _, waiting := range crashed.waiting[i] {
			f.count(waiting, true)
		}
	}
	f.updatePeers()
	f.schedule(replacementDelay, func() { f.startRouter(crashed.slot, crashed.region) })
	f.schedule(recoveryDelay, func() {
		for _, state := range f.budgets {
			record := state.page.Accounts[state.name].Holders[crashed.id]
			recovery, ok := quota.NewRecovery(state.name, crashed.id, record)
			for _, request := range recovery.FenceRequests("") {
				f.counts.messages += 2
				recovery.HandleFenceReply(f.byID(request.Witness).witness.Fence(request))
			}
			if reclaim, attested := recovery.Reclaim(); ok && attested {
				state.page.Reclaim(reclaim)
			} else {
				state.page.WriteOff(state.name, crashed.id)
			}
			f.counts.writes++
			state.page.Compact()
		}
	})
}

// run runs the simulation and returns its totals.
func (f *fleet) run() counts {
	switch f.fault {
	case partition:
		f.schedule(partitionStart, f.startPartition)
		f.schedule(topUpAt, f.topUp)
		f.schedule(partitionEnd, f.endPartition)
	case crash:
		f.schedule(crashAt, f.crashRouter)
	case noFault, exhaustion:
	}
	f.schedule(time.Minute, f.arrive)
	for f.now < runTime {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	for i, state := range f.budgets {
		missing := state.page.Accounts[state.name].Outstanding() - f.used(i)
		for _, r := range f.slots {
			missing -= r.manager.Allocation(state.name).Held()
		}
		f.counts.writtenOff += missing
		f.counts.purchased += state.purchased
	}
	return f.counts
}

// routers returns the number of routers in all regions.
func (w workload) routers() int {
	var sum int
	for _, routers := range w.regions {
		sum += routers
	}
	return sum
}

// homeRegionWeights returns router weights for budgets with a home region: its routers have
// the weight home and the others 1 - home. For each budget every third router has weight
// zero.
func homeRegionWeights(regions []int, home float64) func(int, int, time.Duration) float64 {
	var regionOf []int
	for region, routers := range regions {
		for range routers {
			regionOf = append(regionOf, region)
		}
	}
	return func(budget, router int, _ time.Duration) float64 {
		if (budget+router)%3 == 2 {
			return 0
		}
		if regionOf[router] == budget%len(regions) {
			return home
		}
		return 1 - home
	}
}

// workloads returns the workloads of the table. In "hot budget" one budget has all
// requests, and the uneven weights of the routers rotate by three routers every two hours.
func workloads() []workload {
	// Fractions of the requests, by budget and by router.
	teams := []float64{0.25, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.04, 0.03, 0.03}
	skewed := []float64{0.48, 0.2, 0.1, 0.08, 0.06, 0.04, 0.03, 0.01}
	authority := []int{3, 3, 2}
	kowhai := []int{3, 2, 2}
	return []workload{
		{name: "Authority", regions: authority, rate: 4, budgets: teams, routerWeight: homeRegionWeights(authority, 0.7)},
		{name: "Kowhai", regions: kowhai, rate: 1, budgets: teams, routerWeight: homeRegionWeights(kowhai, 0.8)},
		{name: "hot budget", regions: authority, rate: 4, budgets: []float64{1}, routerWeight: func(_, router int, now time.Duration) float64 {
			shift := int(now / (2 * time.Hour))
			return skewed[(router+3*shift)%len(skewed)]
		}},
	}
}

// formatPercent formats the part as a percentage, or as "-" if the whole is zero.
func formatPercent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", percentage(part, whole))
}

// tableRow formats the totals of a run as a row below tableHeader.
func tableRow(f *fleet, policy string, got counts) string {
	minutes := runTime.Minutes()
	return fmt.Sprintf("| %s | %s | %s | %d | %s | %s | %s | %s | %.2f | %.0f | %.1f | %.1f |",
		f.workload.name, f.fault, policy, max(0, got.overspend),
		formatPercent(got.earlyRefused, got.earlyAdmitted), formatPercent(got.refused, got.admitted),
		formatPercent(got.sideRefused, got.sideAdmitted),
		formatPercent(got.delayed, got.admitted),
		100*float64(got.writtenOff)/float64(got.purchased),
		float64(got.messages)/minutes, float64(got.reads)/minutes, float64(got.writes)/minutes)
}

// policy is a named sizing policy, constructed for the number of routers in the fleet.
type policy struct {
	name      string
	newSizing func(routers int) quota.SizingPolicy
}

// ChosenPolicy is the name of the policy that the routers use in production. In the names
// of policies, "guarded" means that peers witness the ceiling of a holder.
const ChosenPolicy = "shrinking, guarded (chosen)"

func policies() []policy {
	return []policy{
		{"even split", func(routers int) quota.SizingPolicy { return quota.EvenSplit{Holders: routers} }},
		{"demand horizon", func(int) quota.SizingPolicy {
			return quota.DemandHorizon{Horizon: 30 * time.Minute, Ready: time.Minute}
		}},
		{"shrinking, guarded, share 0.5", func(routers int) quota.SizingPolicy {
			sizing := quota.NewDemandShrinking(routers)
			sizing.Share = 0.5
			return sizing
		}},
		{ChosenPolicy, func(routers int) quota.SizingPolicy { return quota.NewDemandShrinking(routers) }},
	}
}

const tableHeader = "| Workload | Fault | Policy | Overspend | False refusals until 99 % spent, % | in all, % " +
	"| of the side's own share, % | Admitted after 100 ms or more, % | Written off, % " +
	"| Messages/min | Reads/min | Writes/min |\n|---|---|---|---|---|---|---|---|---|---|---|---|"

// OverspendError reports that more credits of a budget were used than purchased under a
// policy.
type OverspendError struct {
	Workload string
	Policy   string
	Credits  int64 // highest excess during the run
}

// Error implements error.
func (e *OverspendError) Error() string {
	return fmt.Sprintf("%s, %s: %d credits overspent", e.Workload, e.Policy, e.Credits)
}

// Result is the outcome of one run. A false refusal is a request that the policy refused
// although a central counter without delay admitted it. The figures are in percent of the
// requests that the central counter admitted.
type Result struct {
	// Overspend is the highest excess of used over purchased credits of a budget.
	Overspend int64
	// EarlyRefused are the false refusals of requests that arrived before 99 % of their
	// budget was used.
	EarlyRefused float64
	// SideRefused are the false refusals during a partition, compared with a central
	// counter on each side that starts with the credits unspent there.
	SideRefused float64
}

// Print runs every policy under every workload and fault and prints a Markdown table. It
// stops with an OverspendError at the first run that overspends.
func Print(out io.Writer, seed uint64) error {
	_, _ = fmt.Fprintln(out, tableHeader)
	for _, w := range workloads() {
		for _, kind := range []fault{noFault, partition, crash, exhaustion} {
			for _, policy := range policies() {
				f := newFleet(w, kind, policy.newSizing(w.routers()), seed)
				got := f.run()
				if got.overspend > 0 {
					return &OverspendError{Workload: w.name, Policy: policy.name, Credits: got.overspend}
				}
				_, _ = fmt.Fprintln(out, tableRow(f, policy.name, got))
			}
		}
	}
	return nil
}

// Run runs the chosen policy under the named workload: with the partition fault if
// partitioned is set, and otherwise until the budgets are exhausted. The result is zero if
// there is no workload of that name.
func Run(seed uint64, workload string, partitioned bool) Result {
	kind := exhaustion
	if partitioned {
		kind = partition
	}
	for _, w := range workloads() {
		if w.name == workload {
			f := newFleet(w, kind, quota.NewDemandShrinking(w.routers()), seed)
			return f.run().result()
		}
	}
	return Result{}
}

func (c counts) result() Result {
	return Result{
		Overspend:    max(0, c.overspend),
		EarlyRefused: percentage(c.earlyRefused, c.earlyAdmitted),
		SideRefused:  percentage(c.sideRefused, c.sideAdmitted),
	}
}

// percentage returns the part in percent of the whole, or zero if the whole is zero.
func percentage(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
