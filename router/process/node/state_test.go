package node_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/router/process/node"
)

func TestGenerationNeverReverts(t *testing.T) {
	router := newTestRouter(t, 100)
	tests := []struct {
		received int64
		want     int64
	}{{3, 3}, {2, 3}, {3, 3}, {4, 4}, {1, 4}}
	for _, test := range tests {
		router.receiveGeneration(t, test.received, 100)
		if got := router.generationNumber(); got != test.want {
			t.Errorf("after generation %d: got %d, want %d", test.received, got, test.want)
		}
	}
}

func TestReserveUntilBudgetIsExhausted(t *testing.T) {
	router := newTestRouter(t, 100)
	balance, ok := router.credits.Reserve(context.Background(), "hall", 60)
	if !ok {
		t.Fatal("first reserve: got refused, want granted")
	}
	if _, ok := router.credits.Reserve(context.Background(), "hall", 60); ok {
		t.Error("reserve beyond what was purchased: got granted, want refused")
	}
	balance.Settle(60, 10)
	if _, ok := router.credits.Reserve(context.Background(), "hall", 90); !ok {
		t.Error("reserve of the rest: got refused, want granted")
	}
}

func TestAllocationIsCreatedOnFirstUse(t *testing.T) {
	router := newTestRouter(t, 100)
	allocations := func() []string {
		return control.Query(router.thread, func(state *node.State) []string {
			return slices.Sorted(maps.Keys(state.Quota.Allocations))
		})
	}
	router.clock.Advance(node.QuotaInterval)
	router.thread.Send(node.Tick{})
	if got := allocations(); len(got) != 0 {
		t.Errorf("before any use: got allocations %v, want none", got)
	}
	if got := len(router.io.page.Accounts); got != 0 {
		t.Errorf("before any use: got %d accounts opened, want 0", got)
	}
	if _, ok := router.credits.Reserve(context.Background(), "hall", 10); !ok {
		t.Error("first use: got refused, want granted")
	}
	if got, want := allocations(), []string{"hall"}; !slices.Equal(got, want) {
		t.Errorf("after first use: got allocations %v, want %v", got, want)
	}
}

func TestTopUpEndsRefusals(t *testing.T) {
	router := newTestRouter(t, 100)
	if _, ok := router.credits.Reserve(context.Background(), "hall", 150); ok {
		t.Fatal("before the top-up: got granted, want refused")
	}
	router.receiveGeneration(t, 2, 200)
	if _, ok := router.credits.Reserve(context.Background(), "hall", 150); !ok {
		t.Error("after the top-up: got refused, want granted")
	}
}

func TestStoreOutageAllowsOnlyHeldCredits(t *testing.T) {
	router := newTestRouter(t, 1_000)
	balance, _ := router.credits.Reserve(context.Background(), "hall", 100)
	balance.Settle(100, 40)
	control.Query(router.thread, func(*node.State) bool {
		router.io.down = true
		return true
	})
	held := balance.Level().Available
	if _, ok := router.credits.Reserve(context.Background(), "hall", held+1); ok {
		t.Error("more than the held credits: got granted, want refused")
	}
	if _, ok := router.credits.Reserve(context.Background(), "hall", held); !ok {
		t.Error("the held credits: got refused, want granted")
	}
}

func TestRecordIsRefusedIfNotDurable(t *testing.T) {
	router := newTestRouter(t, 100)
	open := journal.Entry{Request: "self-a", State: journal.Open, Budget: "hall"}
	if err := router.recorder.Open(context.Background(), open); err != nil {
		t.Fatalf("store up: got %v, want nil", err)
	}
	control.Query(router.thread, func(*node.State) bool {
		router.io.down = true
		return true
	})
	expired, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if err := router.recorder.Open(expired, open); err == nil {
		t.Error("store down: got nil, want an error")
	}
	// The entry is applied, and then the result of its write. Without that the wait for
	// the second entry can end before its write failed, and the third is appended.
	for range 2 {
		control.Query(router.thread, func(*node.State) bool { return true })
	}
	if err := router.recorder.Open(context.Background(), open); !errors.Is(err, node.ErrUnreachable) {
		t.Errorf("store known down: got %v, want %v", err, node.ErrUnreachable)
	}
}

func TestDrainReturnsUnspentCredits(t *testing.T) {
	router := newTestRouter(t, 1_000)
	balance, _ := router.credits.Reserve(context.Background(), "hall", 100)
	balance.Settle(100, 40)
	router.thread.Send(node.StartDrain{})
	router.thread.Send(node.CloseQuotaAndJournal{})
	control.Query(router.thread, func(*node.State) bool { return true })
	control.Query(router.thread, func(*node.State) bool { return true })

	got := control.Query(router.thread, func(*node.State) int64 {
		router.io.page.Compact()
		return router.io.page.Accounts["hall"].Outstanding()
	})
	if want := int64(40); got != want {
		t.Errorf("outstanding credits after the drain: got %d, want %d", got, want)
	}
}

// TestWitnessReclaimsQuotaOfFailedHolder makes this process and p2 the witnesses of a
// holder that fails with 100 credits granted and a ceiling of 40 acknowledged.
func TestWitnessReclaimsQuotaOfFailedHolder(t *testing.T) {
	tests := []struct {
		name     string
		attested bool
		failed   []ident.Incarnation
		want     int64
	}{
		{"the other witness has not attested", false, []ident.Incarnation{"lost"}, 100},
		{"both witnesses attested", true, []ident.Incarnation{"lost"}, 40},
		{"the other witness failed too", false, []ident.Incarnation{"lost", "p2"}, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := newTestRouter(t, 1_000)
			control.Query(router.thread, func(*node.State) bool {
				held := account.Holder{Granted: 100, Epoch: 1, Witnesses: []ident.Incarnation{"self", "p2"}}
				holders := map[ident.Incarnation]account.Holder{"lost": held}
				router.io.page.Accounts["hall"] = account.Account{Holders: holders}
				return true
			})
			router.deliver("lost", peer.Message{CeilingRequest: &quota.CeilingRequest{Budget: "hall", Holder: "lost", Witness: "self", Ceiling: 25}})
			for _, state := range []member.State{member.Live, member.Gone} {
				for _, name := range test.failed {
					gossiped := member.Member{Incarnation: name, VM: string(name), State: state, Sequence: 1}
					router.deliver("p3", peer.Message{Gossip: &member.Gossip{Changed: []member.Member{gossiped}}})
				}
			}
			router.tick()
			if test.attested {
				router.deliver("p2", peer.Message{FenceReply: &quota.FenceReply{Budget: "hall", Holder: "lost", Witness: "p2", Ceiling: 40}})
			}
			router.tick()
			got := control.Query(router.thread, func(*node.State) int64 { return router.io.page.Accounts["hall"].Outstanding() })
			if got != test.want {
				t.Errorf("outstanding credits: got %d, want %d", got, test.want)
			}
			closed := control.Query(router.thread, func(*node.State) bool {
				router.io.page.Compact()
				return len(router.io.page.Accounts["hall"].Holders) == 0
			})
			if want := test.attested || len(test.failed) == 2; closed != want {
				t.Errorf("record closed: got %t, want %t", closed, want)
			}
		})
	}
}

// A process stores the journal records that it holds for a peer once the peer is
// suspected.
func TestReplicasOfSuspectedPeerAreStored(t *testing.T) {
	router := newTestRouter(t, 100)
	entry := journal.Entry{Request: "lost-1", State: journal.Final, Budget: "hall", Charge: 7}
	held := journal.CopyRequest{Owner: "lost", Records: []journal.Record{{Position: 1, Entry: entry}}}
	for _, state := range []member.State{member.Live, member.Suspected} {
		gossiped := member.Member{Incarnation: "lost", VM: "lost", State: state, Sequence: 1}
		router.deliver("p3", peer.Message{Gossip: &member.Gossip{Changed: []member.Member{gossiped}}})
		router.deliver("lost", peer.Message{CopyRequest: &held})
		router.tick()
	}
	got := control.Query(router.thread, func(*node.State) []journal.Segment { return router.io.segments })
	if len(got) != 1 || got[0].Incarnation != "lost" || len(got[0].Entries) != 1 {
		t.Errorf("segments: got %+v, want one of the suspected process with its entry", got)
	}
}

func TestWitnessesAreSpreadOverFleet(t *testing.T) {
	const size = 95
	members, _ := largeFleet(size)
	log := event.NewLog(io.Discard, logrus.ErrorLevel)
	chosen := make(map[ident.Incarnation]int)
	for self := range size {
		fake := clock.NewFake()
		others := slices.Concat(members[self:], members[:self])
		state := node.NewState(others[0], node.DefaultSettings(), nil, fake, log, &discardIO{})
		join(state, others)
		for _, witness := range state.Quota.Peers[:account.MinWitnesses] {
			chosen[witness]++
		}
	}
	busiest := slices.Max(slices.Collect(maps.Values(chosen)))
	if limit := 5 * account.MinWitnesses; busiest > limit {
		t.Errorf("busiest witness: got %d of %d processes, want at most %d", busiest, size, limit)
	}
}

func TestGenerationIsRequestedFromOnePeerAtATime(t *testing.T) {
	router := newTestRouter(t, 100)
	requestedPeers := func() []ident.Incarnation {
		return control.Query(router.thread, func(*node.State) []ident.Incarnation {
			var peers []ident.Incarnation
			for _, sent := range router.io.sent {
				if sent.Generation != nil && sent.Generation.Wanted {
					peers = append(peers, sent.To)
				}
			}
			return peers
		})
	}
	check := func(step string, want ...ident.Incarnation) {
		t.Helper()
		if got := requestedPeers(); !slices.Equal(got, want) {
			t.Errorf("%s: got requests to %v, want %v", step, got, want)
		}
	}
	for _, from := range []ident.Incarnation{"a", "b", "b"} {
		router.thread.Send(node.PeerMessage{Message: peer.Message{From: from, Generation: &peer.Generation{Number: 2}}})
	}
	check("three announcements", "a")
	retry := func() {
		router.clock.Advance(node.GenerationRequestTimeout)
		router.thread.Send(node.Tick{})
	}
	retry()
	check("no reply", "a", "b")
	retry()
	check("no reply again", "a", "b", "a")
	router.receiveGeneration(t, 2, 100)
	retry()
	check("generation received", "a", "b", "a")
	router.thread.Send(node.PeerMessage{Message: peer.Message{From: "b", Generation: &peer.Generation{Number: 3}}})
	check("newer generation announced", "a", "b", "a", "b")
}

// Members of processes that were replaced stay in the view for minutes and must not count
// for the size of the fleet: in a fleet of three VMs every process watches the store. When
// they were counted, a process received a configuration 6 s late (randomized run trouble-2,
// seed 327904958249).
func TestReplacedProcessesDoNotCountForFleetSize(t *testing.T) {
	fake := clock.NewFake()
	log := event.NewLog(io.Discard, logrus.ErrorLevel)
	locality := vm.Locality{Region: "western", AvailabilityZone: "hall"}
	member := func(name ident.Incarnation, machine string) member.Member {
		return member.Member{Incarnation: name, VM: machine, CallerAddress: machine, Locality: locality, State: member.Live, Sequence: 1, Started: fake.Now()}
	}
	others := []ident.Incarnation{}
	state := node.NewState(member("zz", "vm-0"), node.DefaultSettings(), nil, fake, log, &discardIO{})
	for index := range 3 * node.SmallFleetSize {
		name := ident.Incarnation(fmt.Sprintf("a%02d", index))
		hello := peer.Hello{Member: member(name, fmt.Sprintf("vm-%d", index%3))}
		node.LinkUp{Remote: name, Hello: hello}.Apply(state)
		others = append(others, name)
	}
	if !state.WatchesStore.Load() {
		t.Errorf("watches: got false with %d records of 3 VMs, want true", len(others))
	}
}

// The entries of VMs that are missing when the platform becomes available again may have
// expired during the outage, so that these VMs stay in use for the grace period. A VM that
// leaves the list later is removed at once (randomized run hunt-fc67-27).
func TestMissingEndpointsAreRetainedAfterOutage(t *testing.T) {
	fake := clock.NewFake()
	settings := node.DefaultSettings()
	settings.Platform.ReturnGrace = 2 * time.Second
	self := member.Member{Incarnation: "self", VM: "vm-0", State: member.Live, Sequence: 1}
	state := node.NewState(self, settings, nil, fake, event.NewLog(io.Discard, logrus.ErrorLevel), &discardIO{})
	state.Generation.Set.Pools = []declaration.Pool{{Name: "engines", Kind: declaration.EndpointPool, Port: 80}}
	machine := func(name string) vm.VM { return vm.VM{Name: name, Address: name, Pool: "engines", State: vm.Live} }
	check := func(step string, want ...string) {
		t.Helper()
		var got []string
		for _, endpoint := range state.Endpoints.View().InPool("engines") {
			got = append(got, endpoint.VM.Name)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", step, got, want)
		}
	}
	node.VMListRead{List: vm.List{VMs: []vm.VM{machine("a"), machine("b"), machine("c")}}}.Apply(state)
	node.VMListRead{List: vm.List{VMs: []vm.VM{machine("a"), machine("b")}}, Recovered: true, RetainFor: settings.Platform.ReturnGrace}.Apply(state)
	check("platform available again", "a", "b", "c")
	node.VMListRead{List: vm.List{VMs: []vm.VM{machine("a")}}}.Apply(state)
	check("one VM left later", "a", "c")
	fake.Advance(settings.Platform.ReturnGrace)
	node.Tick{}.Apply(state)
	check("after the grace period", "a")
}
