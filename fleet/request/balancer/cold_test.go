package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/coldstart"
	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/version/declaration"
)

const (
	coldZones       = 6
	enginesPerZone  = 15
	coldRate        = 10
	coldTime        = 3 * time.Second
	serviceTime     = 4 * time.Second
	requestInterval = 25 * time.Millisecond
)

var coldPool = declaration.Pool{
	Name: "engines", Kind: declaration.EndpointPool, Port: 80, ColdRate: coldRate, ColdTime: coldTime,
}

// coldRouter is a router with its own table of endpoints.
type coldRouter struct {
	table  *endpoint.Table
	picker *balancer.Picker
	// open has the endpoints of the requests in progress, in the order of their start.
	open []openRequest
}

type openRequest struct {
	state *endpoint.State
	until time.Time
}

// coldFleet is a fleet of two routers and 15 engines in each availability zone.
type coldFleet struct {
	clock   *clock.Fake
	list    []vm.VM
	routers []*coldRouter
	// sent has the times of the requests to each engine.
	sent    map[string][]time.Time
	refused int
}

func coldLocality(zone int) vm.Locality {
	return vm.Locality{Region: fmt.Sprint("region-", zone/2), AvailabilityZone: fmt.Sprint("zone-", zone)}
}

func newColdFleet() *coldFleet {
	fleet := &coldFleet{clock: clock.NewFake(), sent: make(map[string][]time.Time)}
	for index := range 2 * coldZones {
		name := fmt.Sprint("router-", index)
		locality := coldLocality(index / 2)
		config := endpoint.Defaults(locality, "")
		config.VM, config.EntryPool = name, "entry"
		fleet.routers = append(fleet.routers, &coldRouter{
			table:  endpoint.NewTable(config, fleet.clock),
			picker: balancer.New(balancer.Defaults(locality), rand.New(rand.NewPCG(1, uint64(index)))),
		})
		fleet.list = append(fleet.list, vm.VM{Name: name, Pool: "entry", State: vm.Live, Locality: locality, Power: 0.8})
	}
	for zone := range coldZones {
		for index := range enginesPerZone {
			fleet.list = append(fleet.list, vm.VM{
				Name: fmt.Sprintf("engine-%d-%d", zone, index), Address: "10.0.0.1", Pool: coldPool.Name,
				State: vm.Live, Locality: coldLocality(zone),
			})
		}
	}
	fleet.update()
	fleet.clock.Advance(coldstart.SettleTime)
	return fleet
}

// update sends the list to all routers.
func (f *coldFleet) update() {
	for _, router := range f.routers {
		router.table.Update(f.list, []declaration.Pool{coldPool})
	}
}

// restart has the engines of the zone listed as new ones that are cold.
func (f *coldFleet) restart(zone int, generation string) {
	for index := range f.list {
		machine := &f.list[index]
		if machine.Pool == coldPool.Name && machine.Locality == coldLocality(zone) {
			machine.Incarnation, machine.ColdLeft, machine.ColdRevision = generation, coldTime, machine.ColdRevision+1
		}
	}
	f.update()
}

// serve has each router send a request at each interval for the duration.
func (f *coldFleet) serve(duration time.Duration) {
	for end := f.clock.Now().Add(duration); f.clock.Now().Before(end); f.clock.Advance(requestInterval) {
		for _, router := range f.routers {
			f.send(router)
		}
	}
}

func (f *coldFleet) send(router *coldRouter) {
	now := f.clock.Now()
	members := router.table.View().InPool(coldPool.Name)
	for len(router.open) > 0 && !now.Before(router.open[0].until) {
		router.picker.Done(members, router.open[0].state, balancer.Success, now)
		router.open = router.open[1:]
	}
	state, ok := router.picker.Pick(members, balancer.Request{Now: now, PromptTokens: 2_000})
	if !ok {
		f.refused++
		return
	}
	router.open = append(router.open, openRequest{state, now.Add(serviceTime)})
	f.sent[state.VM.Name] = append(f.sent[state.VM.Name], now)
}

// mostPerSecond returns the largest number of requests to one engine of the zone in any
// second, and that of all its requests.
func (f *coldFleet) mostPerSecond(zone int) (most, total int) {
	for index := range enginesPerZone {
		times := f.sent[fmt.Sprintf("engine-%d-%d", zone, index)]
		total += len(times)
		for position, first := range times {
			count := 0
			for _, at := range times[position:] {
				if at.Sub(first) < time.Second {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most, total
}

// A zone of 15 idle engines returns at once, while the routers send 480 requests a second
// and all other engines are busy.
func TestZoneReturnsColdUnderLoad(t *testing.T) {
	fleet := newColdFleet()
	fleet.serve(serviceTime)
	fleet.sent = make(map[string][]time.Time)
	fleet.restart(1, "second")
	fleet.serve(coldTime)
	most, total := fleet.mostPerSecond(1)
	if most > coldRate {
		t.Errorf("requests in one second to a cold engine: got %d, want at most %d", most, coldRate)
	}
	if total == 0 {
		t.Error("requests to the zone that returned: got none, want some")
	}
	if fleet.refused > 0 {
		t.Errorf("refused while warm engines were free: got %d requests, want 0", fleet.refused)
	}
}

// All engines of the pool are cold: what exceeds their rate is refused at once.
func TestAllEnginesColdRefuseAtOnce(t *testing.T) {
	fleet := newColdFleet()
	for index := range fleet.list {
		if fleet.list[index].Pool == coldPool.Name && fleet.list[index].Locality != coldLocality(0) {
			fleet.list[index].State = vm.Leaving
		}
	}
	fleet.update()
	fleet.restart(0, "second")
	fleet.serve(coldTime)
	most, total := fleet.mostPerSecond(0)
	if most > coldRate {
		t.Errorf("requests in one second to a cold engine: got %d, want at most %d", most, coldRate)
	}
	if total == 0 || fleet.refused == 0 {
		t.Errorf("sent and refused: got %d and %d, want some of both", total, fleet.refused)
	}
	if got := fleet.routers[0].picker.HeldBack(); got == 0 {
		t.Error("picks that passed over a cold engine: got 0, want some")
	}
}

// A zone returns a second time before the routers took it as warm, and once after.
func TestZoneBecomesColdAgain(t *testing.T) {
	for _, pause := range []time.Duration{coldTime / 2, 2 * coldTime} {
		fleet := newColdFleet()
		fleet.restart(1, "second")
		fleet.serve(pause)
		fleet.sent = make(map[string][]time.Time)
		fleet.restart(1, "second")
		fleet.serve(coldTime)
		if most, _ := fleet.mostPerSecond(1); most > coldRate {
			t.Errorf("cold again after %s: got %d requests in one second, want at most %d", pause, most, coldRate)
		}
	}
}

// The news that a zone is cold reaches half of the routers a second late. The others keep
// to their shares, and all do once they know.
func TestNewsOfColdZoneIsLateAtHalfOfTheRouters(t *testing.T) {
	fleet := newColdFleet()
	fleet.serve(time.Second)
	all := fleet.routers
	fleet.routers = all[:len(all)/2]
	fleet.restart(5, "")
	fleet.sent = make(map[string][]time.Time)
	fleet.serve(time.Second)
	if most, _ := fleet.mostPerSecond(5); most > coldRate {
		t.Errorf("requests of the routers that know: got %d in one second, want at most %d", most, coldRate)
	}
	fleet.routers = all
	fleet.update()
	fleet.sent = make(map[string][]time.Time)
	fleet.serve(coldTime - time.Second)
	if most, _ := fleet.mostPerSecond(5); most > coldRate {
		t.Errorf("once all know: got %d requests in one second, want at most %d", most, coldRate)
	}
}

// An endpoint that failed may have started anew without news of it, while the platform is
// unavailable.
func TestReadmittedEndpointIsPresumedCold(t *testing.T) {
	fleet := newColdFleet()
	router := fleet.routers[0]
	members := router.table.View().InPool(coldPool.Name)
	state := members[0]
	failRepeatedly(router.picker, members, state, fleet.clock.Now())
	fleet.clock.Advance(time.Minute)
	state.TrialInFlight.Store(true)
	state.InFlight.Add(1)
	router.picker.Done(members, state, balancer.Success, fleet.clock.Now())
	if got := state.Cold.Cold(fleet.clock.Now()); got == nil || got.Source != coldstart.ByReturn {
		t.Errorf("after an ejection: got %+v, want presumed cold", got)
	}
	if got := state.Cold.Cold(fleet.clock.Now().Add(coldTime)); got != nil {
		t.Errorf("after the cold time of the pool: got %+v, want warm", got)
	}
}
