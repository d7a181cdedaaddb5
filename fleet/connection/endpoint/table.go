package endpoint

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/connection/coldstart"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
)

// Config sets the limits and timeouts of a Table, its Poller and its clients.
type Config struct {
	// Locality is the region and availability zone of this process.
	Locality vm.Locality
	// Incarnation makes processes of the same locality poll different endpoints.
	Incarnation ident.Incarnation
	// VM is the name of the VM of this process, and EntryPool the pool of the VMs on which
	// routers run. They determine the share of this process at cold endpoints.
	VM        string
	EntryPool string
	// LeavingHold is how long a leaving endpoint stays excluded although the list of VMs
	// reports it as live.
	LeavingHold time.Duration
	// MaxPolled bounds the endpoints that this process polls, nearest first.
	MaxPolled int
	// PollInterval is the time between two polls of an endpoint.
	PollInterval time.Duration
	// PollTimeout bounds one poll.
	PollTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections to one endpoint.
	MaxIdle int
	// Dialect encodes the headers exchanged with endpoints. Nil is NativeDialect.
	Dialect Dialect
}

func (c Config) dialect() Dialect {
	if c.Dialect == nil {
		return NativeDialect{}
	}
	return c.Dialect
}

// Defaults returns the configuration for a process of that locality.
func Defaults(locality vm.Locality, incarnation ident.Incarnation) Config {
	return Config{
		Locality:     locality,
		Incarnation:  incarnation,
		LeavingHold:  30 * time.Second,
		MaxPolled:    16,
		PollInterval: time.Second,
		PollTimeout:  800 * time.Millisecond,
		DialTimeout:  time.Second,
		IdleTimeout:  30 * time.Second,
		MaxIdle:      32,
	}
}

// RetiringHold is how long an endpoint that announced that it leaves for good stays known
// after it was removed from the list of VMs: an outage of the platform can remove and
// restore an entry.
const RetiringHold = time.Minute

// SlowFactor is the time that work takes, relative to usual, from which an endpoint counts
// as slow for operators.
const SlowFactor = 1.5

// key identifies an endpoint. A VM that is listed again with another address or
// incarnation is another endpoint.
type key struct {
	name        string
	address     string
	incarnation string
}

// View is a snapshot of the table. It is immutable.
type View struct {
	pools  map[string][]*State
	polled []*State
}

// InPool returns the endpoints of the pool that are listed as live and not evacuated,
// nearest first. The caller must not change the slice.
func (v *View) InPool(pool string) []*State {
	return v.pools[pool]
}

// Polled returns the endpoints that this process polls. The caller must not change the
// slice.
func (v *View) Polled() []*State {
	return v.polled
}

// Table holds the endpoints of each pool. Only the control thread may call Update and
// SetEvacuated; View is safe for concurrent use.
type Table struct {
	config  Config
	clock   clock.Clock
	current atomic.Pointer[View]

	entries map[key]*entry
	// evacuated has the availability zones whose endpoints get no new requests.
	evacuated []string
	// settledAt is when the process may use its share at cold endpoints.
	settledAt time.Time
}

// entry is a listed endpoint, or one that was removed from the list of VMs less than
// Config.LeavingHold ago.
type entry struct {
	state *State
	cold  coldReport
	// unlistedSince is zero while the endpoint is listed.
	unlistedSince time.Time
}

// NewTable returns an empty table.
func NewTable(config Config, clk clock.Clock) *Table {
	table := &Table{config: config, clock: clk, entries: make(map[key]*entry), settledAt: clk.Now().Add(coldstart.SettleTime)}
	table.current.Store(&View{})
	return table
}

// View returns the current snapshot.
func (t *Table) View() *View {
	return t.current.Load()
}

// Update rebuilds the table from the list of VMs and the active pools. It keeps the State
// of an endpoint that is still listed.
func (t *Table) Update(list []vm.VM, pools []declaration.Pool) {
	now := t.clock.Now()
	initial := len(t.entries) == 0
	listed := make(map[key]bool)
	view := &View{pools: make(map[string][]*State)}
	stewards := coldstart.NewStewards(vm.InPool(list, t.config.EntryPool))
	for _, pool := range pools {
		if pool.Kind != declaration.EndpointPool {
			continue
		}
		var endpoints []*State
		for _, machine := range vm.InPool(list, pool.Name) {
			state := t.stateOf(machine, pool.Port, now, initial)
			id := keyOf(machine, pool.Port)
			listed[id] = true
			t.updateCold(t.entries[id], machine, pool, stewards, now)
			inUse := t.applyEvacuation(state, now)
			if t.applyListedState(state, machine.State, now) && inUse {
				endpoints = append(endpoints, state)
			}
		}
		t.sort(endpoints)
		view.pools[pool.Name] = endpoints
	}
	t.removeUnlisted(listed, now)
	view.polled = interleave(pools, view.pools, t.config.MaxPolled)
	t.current.Store(view)
}

// stateOf returns the state of the VM and creates it if there is none. A new endpoint
// starts slowly, except for those of the first update.
func (t *Table) stateOf(machine vm.VM, port int, now time.Time, initial bool) *State {
	id := keyOf(machine, port)
	if existing, ok := t.entries[id]; ok {
		existing.unlistedSince = time.Time{}
		return existing.state
	}
	state := &State{
		VM:      machine,
		Address: id.address,
		Client:  NewClient(id.address, t.config, t.clock),
	}
	if !initial {
		state.SlowStartSince.Store(now)
	}
	t.entries[id] = &entry{state: state}
	return state
}

// applyListedState applies the state that the list of VMs reports and returns whether the
// endpoint is listed as live.
func (t *Table) applyListedState(state *State, listed vm.State, now time.Time) bool {
	if listed == vm.Leaving {
		state.MarkLeaving(ByList, now)
		return false
	}
	leaving := state.Leaving.Load()
	if leaving != nil && !leaving.isFinal() && now.Sub(leaving.Since) >= t.config.LeavingHold {
		state.Leaving.CompareAndSwap(leaving, nil)
	}
	return true
}

// removeUnlisted marks endpoints that are no longer listed as leaving, and deletes them
// after Config.LeavingHold, or after RetiringHold if they announced that they leave.
func (t *Table) removeUnlisted(listed map[key]bool, now time.Time) {
	for id, known := range t.entries {
		switch {
		case listed[id]:
		case known.unlistedSince.IsZero():
			known.unlistedSince = now
			known.state.MarkLeaving(ByList, now)
		case now.Sub(known.unlistedSince) >= t.unlistedHold(known.state):
			delete(t.entries, id)
			known.state.Client.CloseIdle()
		}
	}
}

func (t *Table) unlistedHold(state *State) time.Duration {
	if state.Leaving.Load().isFinal() {
		return max(t.config.LeavingHold, RetiringHold)
	}
	return t.config.LeavingHold
}

// sort orders endpoints by distance, and those at the same distance by tieBreaker.
func (t *Table) sort(endpoints []*State) {
	slices.SortFunc(endpoints, func(a, b *State) int {
		return cmp.Or(
			cmp.Compare(t.config.Locality.Distance(a.VM.Locality), t.config.Locality.Distance(b.VM.Locality)),
			cmp.Compare(t.tieBreaker(a), t.tieBreaker(b)),
			cmp.Compare(a.VM.Name, b.VM.Name),
		)
	})
}

// tieBreaker returns a hash of the endpoint that differs between processes, so that they
// poll different ones of several endpoints at the same distance.
func (t *Table) tieBreaker(state *State) uint64 {
	return xxhash.Sum64String(string(t.config.Incarnation) + "/" + state.VM.Name)
}

// interleave returns the nearest endpoint of each pool, then the second nearest, and so
// on, up to the limit.
func interleave(pools []declaration.Pool, endpoints map[string][]*State, limit int) []*State {
	var selected []*State
	for rank := 0; ; rank++ {
		more := false
		for _, pool := range pools {
			states := endpoints[pool.Name]
			if rank >= len(states) {
				continue
			}
			if len(selected) == limit {
				return selected
			}
			selected = append(selected, states[rank])
			more = true
		}
		if !more {
			return selected
		}
	}
}
