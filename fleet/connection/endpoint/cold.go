package endpoint

import (
	"net"
	"slices"
	"strconv"
	"time"

	"jacinthpaddle.example/fleet/connection/coldstart"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
)

// coldReport is the report in the list of VMs that was last applied to an endpoint.
type coldReport struct {
	left     time.Duration
	revision int64
}

// replaces reports whether the report is another one than the earlier. One with the same
// revision may have less time left, since a process that relays it subtracts its age.
func (r coldReport) replaces(earlier coldReport) bool {
	if r.revision != 0 && r.revision == earlier.revision {
		return false
	}
	return r != earlier
}

// updateCold sets the share of this process at the endpoint while that is cold, and
// applies what the list reports if that changed. An endpoint that is listed as before
// keeps the end of its cold time.
func (t *Table) updateCold(known *entry, machine vm.VM, pool declaration.Pool, stewards coldstart.Stewards, now time.Time) {
	limit := stewards.Limit(t.config.VM, machine, pool.ColdRate)
	limit.NotBefore = t.settledAt
	limit.Duration = pool.ColdTime
	known.state.Cold.Configure(limit)
	report := coldReport{left: machine.ColdLeft, revision: machine.ColdRevision}
	if limit.Interval == 0 || !report.replaces(known.cold) {
		return
	}
	known.cold = report
	if report.left > 0 {
		known.state.Cold.Begin(now.Add(report.left), coldstart.ByList)
		return
	}
	known.state.Cold.End()
}

// WithColdLeft returns a copy of the list in which the cold times are those that are left
// now, for a process to which the list is relayed later than it was received.
func (t *Table) WithColdLeft(list []vm.VM, pools []declaration.Pool) []vm.VM {
	now := t.clock.Now()
	current := slices.Clone(list)
	for index, machine := range current {
		if machine.ColdLeft == 0 {
			continue
		}
		if known, ok := t.entries[keyOf(machine, portOf(machine, pools))]; ok && known.cold.revision == machine.ColdRevision {
			current[index].ColdLeft = 0
			if period := known.state.Cold.Cold(now); period != nil {
				current[index].ColdLeft = period.Until.Sub(now)
			}
		}
	}
	return current
}

// portOf returns the port that the pool of the VM declares, or zero.
func portOf(machine vm.VM, pools []declaration.Pool) int {
	for _, pool := range pools {
		if pool.Name == machine.Pool {
			return pool.Port
		}
	}
	return 0
}

// keyOf returns the key of the endpoint on a VM, whose own port replaces that of its pool.
func keyOf(machine vm.VM, port int) key {
	if machine.Port != 0 {
		port = machine.Port
	}
	return key{machine.Name, net.JoinHostPort(machine.Address, strconv.Itoa(port)), machine.Incarnation}
}

// Slow returns the number of endpoints in all pools at which work is estimated to take at
// least SlowFactor times as long as usual.
func (v *View) Slow(now time.Time) int {
	count := 0
	for _, states := range v.pools {
		for _, state := range states {
			if state.Speed.Factor(now) >= SlowFactor {
				count++
			}
		}
	}
	return count
}

// Cold returns the number of endpoints in all pools that are cold now.
func (v *View) Cold(now time.Time) int {
	count := 0
	for _, states := range v.pools {
		for _, state := range states {
			if state.Cold.Cold(now) != nil {
				count++
			}
		}
	}
	return count
}
