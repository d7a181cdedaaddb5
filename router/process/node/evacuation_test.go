package node_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/router/process/node"
)

// evacuatedState is the state of a process with the endpoint a in the zone hall and the
// endpoint b in the zone depot.
type evacuatedState struct {
	relayingState
	t *testing.T
}

// newEvacuatedState returns the state of a process that has just started. With links it is
// linked to as many peers in each of both zones as make a large fleet.
func newEvacuatedState(t *testing.T, bound time.Duration, links bool, log io.Writer) evacuatedState {
	t.Helper()
	settings := node.DefaultSettings()
	settings.Platform.EvacuationBound = bound
	settings.Platform.Regions = "hall:western,depot:central"
	self := member.Member{Incarnation: "self", VM: "vm-0", State: member.Live, Sequence: 1, Locality: localityOf("hall")}
	out := &discardIO{}
	state := node.NewState(self, settings, nil, clock.NewFake(), event.NewLog(log, logrus.InfoLevel), out)
	made := evacuatedState{relayingState{State: state, io: out}, t}
	zones := []string{"hall", "depot"}
	for index := 0; links && index < 2*node.SmallFleetSize; index++ {
		made.linkUp(ident.Incarnation(fmt.Sprint("n", index)), zones[index%2])
	}
	node.VMListRead{List: vm.List{Version: 1, VMs: zonedVMs()}}.Apply(state)
	made.activate()
	out.sent = nil
	return made
}

func localityOf(zone string) vm.Locality {
	return vm.Locality{Region: "region", AvailabilityZone: zone}
}

func zonedVMs() []vm.VM {
	a, b := engineVM("a"), engineVM("b")
	a.Locality, b.Locality = localityOf("hall"), localityOf("depot")
	return []vm.VM{a, b}
}

// activate gives the process a generation.
func (s evacuatedState) activate() {
	s.t.Helper()
	set := declaration.Set{Pools: []declaration.Pool{{Name: "engines", Kind: declaration.EndpointPool, Port: 80}}}
	received, err := generation.New(1, set)
	if err != nil {
		s.t.Fatal(err)
	}
	node.GenerationReceived{Generation: received}.Apply(s.State)
}

func (s evacuatedState) linkUp(remote ident.Incarnation, zone string) {
	linked := member.Member{
		Incarnation: remote, VM: "vm-" + string(remote), State: member.Live, Sequence: 1, Locality: localityOf(zone),
	}
	node.LinkUp{Remote: remote, Hello: peer.Hello{Member: linked}}.Apply(s.State)
}

func (s evacuatedState) read(version store.Version, zones ...string) {
	node.EvacuationsRead{Reading: evacuation.Reading{Version: version, Zones: zones}}.Apply(s.State)
}

func (s evacuatedState) receive(from ident.Incarnation, version store.Version, zones ...string) {
	reading := evacuation.Reading{Version: version, Zones: zones}
	node.PeerMessage{Message: peer.Message{From: from, Evacuations: &reading}}.Apply(s.State)
}

// sent returns the readings that were sent since the last call, by peer.
func (s evacuatedState) sent() map[ident.Incarnation]evacuation.Reading {
	found := make(map[ident.Incarnation]evacuation.Reading)
	for _, message := range s.io.sent {
		if message.Evacuations != nil {
			found[message.To] = *message.Evacuations
		}
	}
	s.io.sent = nil
	return found
}

func (s evacuatedState) check(step, want string) {
	s.t.Helper()
	if got := s.endpoints(); got != want {
		s.t.Errorf("%s: got endpoints %s, want %s", step, got, want)
	}
}

const evacuationBound = 5 * time.Second

// Most processes of a large fleet do not watch the store, and those of a zone may all be
// new: a process that waited for the processes of its own zone learned of an evacuation
// only when it read the store itself.
func TestEvacuationIsRelayedToAllZones(t *testing.T) {
	made := newEvacuatedState(t, evacuationBound, true, io.Discard)
	made.read(5)
	made.sent()
	made.receive("n1", 7, "depot")
	made.check("after a change", "[a]")
	if got, want := len(made.sent()), 2*node.SmallFleetSize; got != want {
		t.Errorf("change: got relayed to %d peers, want %d", got, want)
	}
	made.receive("n0", 7, "depot")
	made.read(8, "depot")
	if got := len(made.sent()); got != 0 {
		t.Errorf("the same zones: got relayed to %d peers, want none", got)
	}
	made.read(9)
	made.check("after the withdrawal", "[a b]")
	if got, want := len(made.sent()), 2*node.SmallFleetSize; got != want {
		t.Errorf("withdrawal: got relayed to %d peers, want %d", got, want)
	}
}

// TestOlderReadingDoesNotWithdraw has a peer that was cut off before the evacuation. The
// third reading is one of a zone that was withdrawn and evacuated again in between, so that
// only the versions tell the order.
func TestOlderReadingDoesNotWithdraw(t *testing.T) {
	made := newEvacuatedState(t, evacuationBound, true, io.Discard)
	made.read(9, "hall")
	made.sent()
	made.receive("n3", 6)
	made.check("older reading", "[b]")
	if got := made.sent(); len(got) != 1 || got["n3"].Version != 9 {
		t.Errorf("sent: got %v, want version 9 to the peer with the older reading", got)
	}
	made.read(12, "hall")
	made.receive("n3", 11)
	made.check("withdrawal before the second evacuation", "[b]")
	made.receive("n3", 4, "hall")
	if got := made.sent()["n3"]; got.Version != 12 {
		t.Errorf("sent: got %v, want version 12", got)
	}
}

// TestRestartServesAfterFirstReading guards against requests to an evacuated zone from a
// process that has the configuration before it knows of the evacuation.
func TestRestartServesAfterFirstReading(t *testing.T) {
	tests := []struct {
		name  string
		learn func(evacuatedState)
	}{
		{"from the store", func(made evacuatedState) { made.read(9, "hall") }},
		{"from a peer", func(made evacuatedState) { made.receive("n1", 9, "hall") }},
		{"with the list of VMs", func(made evacuatedState) {
			list := peer.VMList{
				Delta:       vm.Diff(vm.List{}, vm.List{Version: 3, VMs: zonedVMs()}),
				Evacuations: &evacuation.Reading{Version: 9, Zones: []string{"hall"}},
			}
			node.PeerMessage{Message: peer.Message{From: "n0", VMList: &list}}.Apply(made.State)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			made := newEvacuatedState(t, evacuationBound, true, io.Discard)
			if _, ok := made.ActiveSnapshot.Load(); ok {
				t.Error("configuration before the first reading: got an active one, want none")
			}
			test.learn(made)
			if _, ok := made.ActiveSnapshot.Load(); !ok {
				t.Error("configuration after the first reading: got none, want an active one")
			}
			made.check("after the first reading", "[b]")
		})
	}
	off := newEvacuatedState(t, 0, true, io.Discard)
	if _, ok := off.ActiveSnapshot.Load(); !ok {
		t.Error("configuration with evacuations off: got none, want an active one")
	}
}

// TestEvacuationHoldsThroughOutage has a store that is down for longer than any entry of an
// endpoint lasts, and endpoints that are retained after it.
func TestEvacuationHoldsThroughOutage(t *testing.T) {
	made := newEvacuatedState(t, evacuationBound, true, io.Discard)
	made.read(9, "hall")
	fake := made.Clock.(*clock.Fake)
	for range 10 {
		fake.Advance(time.Minute)
		node.Tick{}.Apply(made.State)
	}
	made.check("during the outage", "[b]")
	node.VMListRead{List: vm.List{Version: 20}, Recovered: true, RetainFor: 2 * time.Second}.Apply(made.State)
	made.check("with the entries lost", "[b]")
	node.VMListRead{List: vm.List{Version: 21, VMs: zonedVMs()}}.Apply(made.State)
	made.check("with the entries back", "[b]")
	made.read(22)
	made.check("after a newer reading", "[a b]")
}

// A message to a link that breaks is lost. What a peer missed arrives with a later list of
// VMs, and with the whole list that it requests.
func TestEvacuationMissedByAPeerIsRepeated(t *testing.T) {
	made := newEvacuatedState(t, evacuationBound, true, io.Discard)
	made.read(9, "hall")
	made.io.sent = nil
	check := func(step string, messages []peer.Message) {
		t.Helper()
		if len(messages) == 0 {
			t.Fatalf("%s: got no message", step)
		}
		for _, message := range messages {
			if got := message.VMList.Evacuations; got == nil || got.Version != 9 {
				t.Errorf("%s: got %v to %s, want version 9", step, got, message.To)
			}
		}
	}
	node.VMListRead{List: vm.List{Version: 10, VMs: zonedVMs()}}.Apply(made.State)
	check("list of VMs", made.sentLists())
	node.PeerMessage{Message: peer.Message{From: "n0", VMList: &peer.VMList{Wanted: true}}}.Apply(made.State)
	check("whole list", made.sentLists())
}

// TestEvacuationWithdrawnWhileCutOff has a process that was separated from the store and
// all peers during the withdrawal, and both sides of the link that comes up after it.
func TestEvacuationWithdrawnWhileCutOff(t *testing.T) {
	cut := newEvacuatedState(t, evacuationBound, false, io.Discard)
	cut.read(9, "hall")
	cut.check("while cut off", "[b]")
	cut.sent()
	cut.linkUp("n1", "depot")
	old, ok := cut.sent()["n1"]
	if !ok || old.Version != 9 {
		t.Fatalf("sent at the link: got %v, want version 9", old)
	}

	other := newEvacuatedState(t, evacuationBound, true, io.Discard)
	other.read(12)
	other.sent()
	other.receive("n1", old.Version, old.Zones...)
	other.check("at the peer", "[a b]")
	newer, ok := other.sent()["n1"]
	if !ok {
		t.Fatal("peer: got no reply to the older reading")
	}
	cut.Clock.(*clock.Fake).Advance(time.Minute)
	cut.receive("n1", newer.Version, newer.Zones...)
	cut.check("after the reply", "[a b]")
	for _, state := range cut.Endpoints.View().InPool("engines") {
		started := state.SlowStartSince.Load()
		if want := state.VM.Name == "a"; started.Equal(cut.Clock.Now()) != want {
			t.Errorf("slow start of %s: got %s, want now %t", state.VM.Name, started, want)
		}
	}
}

func TestUnknownZoneIsLoggedAndEvacuatesNothing(t *testing.T) {
	var log bytes.Buffer
	made := newEvacuatedState(t, evacuationBound, false, &log)
	made.read(9, "attic", "depot")
	made.check("unknown zone", "[a]")
	for _, want := range []string{
		`"event":2103`, `"object":"evacuation/zones"`, `"field":"zones"`, `"zone":"attic"`, `"reason":"is not`,
		`"event":2101`, `"zone":"depot"`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("log: got %s, want %s", log.String(), want)
		}
	}
	made.read(10, "attic")
	if want := `"event":2102`; !strings.Contains(log.String(), want) {
		t.Errorf("log after the withdrawal: got %s, want %s", log.String(), want)
	}
}

// A process whose settings do not ask for evacuations takes none from peers that read them.
func TestEvacuationsOfPeersAreIgnoredWhenOff(t *testing.T) {
	made := newEvacuatedState(t, 0, true, io.Discard)
	made.receive("n1", 9, "hall")
	made.linkUp("n30", "hall")
	node.VMListRead{List: vm.List{Version: 10, VMs: zonedVMs()}}.Apply(made.State)
	made.check("evacuations off", "[a b]")
	for _, message := range made.io.sent {
		if message.Evacuations != nil || message.VMList != nil && message.VMList.Evacuations != nil {
			t.Errorf("sent: got %+v, want no evacuations", message)
		}
	}
}
