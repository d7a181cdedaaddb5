package coldstart_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/coldstart"
	"jacinthpaddle.example/fleet/process/vm"
)

const (
	coldTime = 3 * time.Second
	// coldRate is in requests per second.
	coldRate = 10
	// step is the time between two attempts of each router to send a request.
	step = 5 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns the VMs of routers in three regions with two availability zones each: two
// strong ones and ten weak ones in each zone.
func fleet() []vm.VM {
	var routers []vm.VM
	for zone := range 6 {
		for index := range 12 {
			power := 0.2
			if index < 2 {
				power = 0.8
			}
			routers = append(routers, router(zone, index, power))
		}
	}
	return routers
}

func router(zone, index int, power float64) vm.VM {
	return vm.VM{
		Name:     fmt.Sprintf("router-%d-%d", zone, index),
		Power:    power,
		State:    vm.Live,
		Locality: vm.Locality{Region: fmt.Sprint("region-", zone/2), AvailabilityZone: fmt.Sprint("zone-", zone)},
	}
}

func endpointIn(zone, index int) vm.VM {
	found := router(zone, 0, 0)
	found.Name = fmt.Sprintf("endpoint-%d-%d", zone, index)
	return found
}

// sender is one router that sends to an endpoint whenever its limiter allows it.
type sender struct {
	limiter coldstart.Limiter
}

// sendAll has all senders send as much as they may until the end, and returns the times.
func sendAll(senders []*sender, from, to time.Time) []time.Time {
	var sent []time.Time
	for now := from; now.Before(to); now = now.Add(step) {
		for _, sender := range senders {
			if sender.limiter.Take(now) {
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// mostPerSecond returns the largest number of times in any second.
func mostPerSecond(times []time.Time) int {
	most := 0
	for index, first := range times {
		count := 0
		for _, at := range times[index:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// sendersOf returns senders of the routers for the endpoint, all of which know the list.
func sendersOf(routers, list []vm.VM, endpoint vm.VM) []*sender {
	stewards := coldstart.NewStewards(list)
	var senders []*sender
	for _, each := range routers {
		created := &sender{}
		created.limiter.Configure(stewards.Limit(each.Name, endpoint, coldRate))
		senders = append(senders, created)
	}
	return senders
}

func beginAll(senders []*sender, until time.Time) {
	for _, sender := range senders {
		sender.limiter.Begin(until, coldstart.ByList)
	}
}

// All routers learn at the same moment that an idle endpoint is back, each with more
// requests than it may send.
func TestAllRoutersSeeOneEndpointReturnCold(t *testing.T) {
	for zone := range 6 {
		endpoint := endpointIn(zone, 1)
		senders := sendersOf(fleet(), fleet(), endpoint)
		beginAll(senders, start.Add(coldTime))
		sent := sendAll(senders, start, start.Add(coldTime))
		if got := mostPerSecond(sent); got != coldRate {
			t.Errorf("requests in one second to a cold endpoint of zone %d: got %d, want %d", zone, got, coldRate)
		}
	}
}

// The two halves of a fleet have lists without a router in common, and each sends to an
// endpoint in a region of the other half.
func TestListsOfTwoHalvesDiffer(t *testing.T) {
	routers := fleet()
	half := len(routers) / 2
	for zone := range 6 {
		endpoint := endpointIn(zone, 0)
		senders := append(sendersOf(routers[:half], routers[:half], endpoint), sendersOf(routers[half:], routers[half:], endpoint)...)
		beginAll(senders, start.Add(coldTime))
		if got := mostPerSecond(sendAll(senders, start, start.Add(coldTime))); got > 2*coldRate {
			t.Errorf("requests in one second with two lists: got %d, want at most %d", got, 2*coldRate)
		}
	}
}

// A partition does not change the list, which comes from the platform.
func TestPartitionedHalvesShareTheRate(t *testing.T) {
	endpoint := endpointIn(2, 7)
	routers := fleet()
	half := len(routers) / 2
	near, far := sendersOf(routers[:half], routers, endpoint), sendersOf(routers[half:], routers, endpoint)
	senders := append(near, far...)
	beginAll(senders, start.Add(coldTime))
	if got := mostPerSecond(sendAll(senders, start, start.Add(coldTime))); got > coldRate {
		t.Errorf("requests in one second of both halves: got %d, want at most %d", got, coldRate)
	}
}

// A steward that is killed does not return its part. The others go on with theirs.
func TestStewardLost(t *testing.T) {
	endpoint := endpointIn(3, 2)
	senders := sendersOf(fleet(), fleet(), endpoint)
	beginAll(senders, start.Add(coldTime))
	var remaining []*sender
	lost := 0
	for _, sender := range senders {
		if sender.limiter.Allows(start) && lost == 0 {
			lost++
			continue
		}
		remaining = append(remaining, sender)
	}
	got := mostPerSecond(sendAll(remaining, start, start.Add(coldTime)))
	if got >= coldRate || got < coldRate/2 {
		t.Errorf("requests in one second without one steward: got %d, want from %d to %d", got, coldRate/2, coldRate-1)
	}
}

// A process that has just started knows no other router and has one part of the rate at
// most, after it had time to learn of others.
func TestRouterThatKnowsOnlyItself(t *testing.T) {
	own := fleet()[:1]
	limit := coldstart.NewStewards(own).Limit(own[0].Name, endpointIn(0, 0), coldRate)
	if got, want := limit.Requests, 3; got != want {
		t.Errorf("part of a router that knows only itself: got %d, want %d", got, want)
	}
	var limiter coldstart.Limiter
	limit.NotBefore = start.Add(coldstart.SettleTime)
	limiter.Configure(limit)
	limiter.Begin(start.Add(time.Minute), coldstart.ByList)
	if limiter.Take(start.Add(coldstart.SettleTime - 1)) {
		t.Error("before the list has settled: got a request, want none")
	}
	if !limiter.Take(start.Add(coldstart.SettleTime)) {
		t.Error("after the list has settled: got no request, want one")
	}
}

// A list change makes another router a steward, which must not renew the part of one
// that keeps it.
func TestChangedListKeepsCountOfRequests(t *testing.T) {
	var limiter coldstart.Limiter
	limiter.Configure(coldstart.Limit{Requests: 3, Interval: time.Second})
	limiter.Begin(start.Add(coldTime), coldstart.ByList)
	for range 3 {
		limiter.Take(start)
	}
	for _, requests := range []int{2, 3} {
		limiter.Configure(coldstart.Limit{Requests: requests, Interval: time.Second})
	}
	taken := 0
	for limiter.Take(start.Add(time.Second - step)) {
		taken++
	}
	if taken > 1 {
		t.Errorf("requests after the part was lowered and raised: got %d more, want at most 1", taken)
	}
}

func TestEndpointIsWarmAtTheEndOfItsColdTime(t *testing.T) {
	var limiter coldstart.Limiter
	limiter.Configure(coldstart.Limit{Interval: time.Second, Duration: coldTime})
	tests := []struct {
		name   string
		change func()
		at     time.Duration
		want   bool
	}{
		{"never cold", func() {}, 0, true},
		{"cold", func() { limiter.Begin(start.Add(coldTime), coldstart.ByList) }, coldTime - 1, false},
		{"at its end", func() {}, coldTime, true},
		{"cold again", func() { limiter.Begin(start.Add(2*coldTime), coldstart.ByResponse) }, coldTime + 1, false},
		{"ended by a report", limiter.End, coldTime + 1, true},
		{"presumed cold", func() { limiter.Presume(start) }, 1, false},
		{"presumed again", func() { limiter.Presume(start.Add(1)) }, coldTime, true},
		{"pool without a rate", func() {
			limiter.Begin(start.Add(coldTime), coldstart.ByList)
			limiter.Configure(coldstart.Limit{})
			limiter.Begin(start.Add(coldTime), coldstart.ByList)
		}, 0, true},
	}
	for _, test := range tests {
		test.change()
		if got := limiter.Take(start.Add(test.at)); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}

func TestRateBelowOnePerSecond(t *testing.T) {
	endpoint := endpointIn(0, 0)
	stewards := coldstart.NewStewards(fleet())
	var senders []*sender
	for _, router := range fleet() {
		sender := &sender{}
		sender.limiter.Configure(stewards.Limit(router.Name, endpoint, 0.4))
		senders = append(senders, sender)
	}
	beginAll(senders, start.Add(time.Minute))
	if got, want := len(sendAll(senders, start, start.Add(10*time.Second))), 4; got != want {
		t.Errorf("requests in 10 s at 0.4 a second: got %d, want %d", got, want)
	}
}

// Without the power of the VMs all routers of the list are candidates.
func TestListWithoutPower(t *testing.T) {
	list := fleet()
	for index := range list {
		list[index].Power = 0
	}
	stewards := coldstart.NewStewards(list)
	found := make(map[string]bool)
	for index := range 100 {
		for _, router := range list {
			if stewards.Limit(router.Name, endpointIn(0, index), coldRate).Requests > 0 {
				found[router.Name] = true
			}
		}
	}
	if got, want := len(found), 24; got != want {
		t.Errorf("stewards of 100 endpoints in one region: got %d, want all %d routers there", got, want)
	}
}

func TestTakeAllocatesNothing(t *testing.T) {
	var limiter coldstart.Limiter
	limiter.Configure(coldstart.Limit{Requests: 3, Interval: time.Second})
	if got := testing.AllocsPerRun(100, func() { limiter.Take(start) }); got != 0 {
		t.Errorf("allocations for a warm endpoint: got %v, want 0", got)
	}
	limiter.Begin(start.Add(coldTime), coldstart.ByList)
	if got := testing.AllocsPerRun(100, func() { limiter.Take(start) }); got != 0 {
		t.Errorf("allocations for a cold endpoint: got %v, want 0", got)
	}
}

func BenchmarkTakeWarm(b *testing.B) {
	var limiter coldstart.Limiter
	limiter.Configure(coldstart.Limit{Requests: 3, Interval: time.Second})
	for b.Loop() {
		limiter.Take(start)
	}
}
