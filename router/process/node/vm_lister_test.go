package node_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/router/process/node"
)

// silentCall is how long a call takes whose connection gives no reply.
const silentCall = 1700 * time.Millisecond

// scriptedVMs is a platform whose readings fail with the errors in turn. A nil error is a
// reading of the list.
type scriptedVMs struct {
	clock  *clock.Fake
	list   vm.List
	errors []error
	outage *node.Outage
}

func (s *scriptedVMs) VMs(context.Context) (vm.List, error) {
	var err error
	if len(s.errors) > 0 {
		err, s.errors = s.errors[0], s.errors[1:]
	}
	var failure *store.UnavailableError
	if errors.As(err, &failure) {
		s.outage.Record(failure)
		if failure.Kind == store.NoReply {
			s.clock.Advance(silentCall)
		}
	}
	s.list.ReadAt = s.clock.Now()
	return s.list, err
}

// applied is a control thread that applies messages at once.
type applied struct {
	state *node.State
}

func (a applied) Send(message control.Message[*node.State]) { message.Apply(a.state) }

// Bounds of the lister.
const (
	returnGrace = 2 * time.Second
	listBound   = 2500 * time.Millisecond
)

// newVMLister returns a lister that watches the platform for the state.
func newVMLister(state *node.State, platform *scriptedVMs) *node.VMLister {
	watches := &atomic.Bool{}
	watches.Store(true)
	return &node.VMLister{
		Clock: state.Clock, VMs: platform, Thread: applied{state}, Log: event.NewLog(io.Discard, logrus.ErrorLevel),
		Policy: node.ReadPolicy{Clock: state.Clock, WatchesStore: watches, ListVersioned: &atomic.Bool{}, ReceivedAt: &atomic.Pointer[time.Time]{}},
		Outage: platform.outage, ReturnGrace: returnGrace, ListBound: listBound,
	}
}

func failureOf(kind store.FailureKind) error {
	return &store.UnavailableError{Operation: "watch", Kind: kind}
}

// TestSilentConnectionIsNoOutage guards against requests to endpoints that had left: a watch
// on a silent connection was taken for an outage, after which missing endpoints stayed in use
// for a grace period from that reading on. 25 requests reached an endpoint later than 2.5 s
// after its removal, and 5 of them were lost with it.
func TestSilentConnectionIsNoOutage(t *testing.T) {
	silent, down, refused := failureOf(store.NoReply), failureOf(store.Unreachable), failureOf(store.Refused)
	// A removal can have followed the reading before at once.
	sinceLastReading := listBound - node.DeliveryTime - silentCall
	tests := []struct {
		name string
		// polls has the results of the calls of each poll, before the list is read without b.
		polls [][]error
		// other is the failure of another call of this process, or nil.
		other error
		// kept is how long b stays in use after the last poll.
		kept time.Duration
	}{
		{"silent connection", [][]error{{silent, nil}}, nil, sinceLastReading},
		{"silent, then a new connection is silent too", [][]error{{silent, silent}, {nil}}, nil, returnGrace},
		{"silent, then the store is down", [][]error{{silent, down}, {nil}}, nil, returnGrace},
		{"outage", [][]error{{down}, {down}, {nil}}, nil, returnGrace},
		{"refused call", [][]error{{refused}, {nil}}, nil, 0},
		{"outage during a silent watch, seen by another call", [][]error{{silent, nil}}, down, returnGrace},
		{"silent connection of another call", [][]error{{silent, nil}}, silent, sinceLastReading},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			made := newListedState(t)
			var failure *store.UnavailableError
			if errors.As(test.other, &failure) {
				made.platform.outage.Record(failure)
			}
			made.removeB()
			for _, results := range test.polls {
				made.poll(results...)
			}
			relayed := made.sentLists()
			if len(relayed) == 0 || !relayed[0].VMList.Recovered || relayed[0].VMList.RetainFor != test.kept {
				t.Errorf("relayed: got %+v, want the list after failed calls with the time %s", relayed, test.kept)
			}
			if test.kept > 0 {
				made.advance(test.kept - 1)
				made.check("[a b]")
				made.advance(1)
			}
			made.check("[a]")
		})
	}
}

// TestSilenceInTurnExtendsNoUse guards against a second silent connection that keeps an
// endpoint which was missing after the first one.
func TestSilenceInTurnExtendsNoUse(t *testing.T) {
	made := newListedState(t)
	made.removeB()
	made.poll(failureOf(store.NoReply), nil)
	made.check("[a b]")
	made.poll(failureOf(store.NoReply), nil)
	made.check("[a]")
}

// listedState is the state of a process that has read a list with the endpoints a and b.
type listedState struct {
	relayingState
	t        *testing.T
	platform *scriptedVMs
	lister   *node.VMLister
}

func newListedState(t *testing.T) listedState {
	t.Helper()
	state := newRelayingState()
	platform := &scriptedVMs{
		clock: state.Clock.(*clock.Fake), outage: &node.Outage{},
		list: vm.List{Version: 5, VMs: []vm.VM{engineVM("a"), engineVM("b")}},
	}
	made := listedState{state, t, platform, newVMLister(state.State, platform)}
	made.poll(nil)
	made.sentLists()
	return made
}

// removeB removes b from the list.
func (s listedState) removeB() {
	s.platform.list = vm.List{Version: 7, VMs: []vm.VM{engineVM("a")}}
}

// poll polls once, with the results of the calls.
func (s listedState) poll(results ...error) {
	s.platform.errors = results
	s.lister.Poll(s.t.Context())
}

func (s listedState) advance(by time.Duration) {
	s.platform.clock.Advance(by)
}

func (s listedState) check(want string) {
	s.t.Helper()
	node.Tick{}.Apply(s.State)
	if got := s.endpoints(); got != want {
		s.t.Errorf("endpoints: got %s, want %s", got, want)
	}
}

// TestOutageKeepsEndpointsOnce guards against endpoints in use beyond the grace period of
// the first reading after they went missing, and against those kept that had said they
// leave or left the list again.
func TestOutageKeepsEndpointsOnce(t *testing.T) {
	state := newRelayingState()
	fake := state.Clock.(*clock.Fake)
	grace := 2 * time.Second
	version := int64(1)
	read := func(step string, recovered bool, want string, listed ...vm.VM) {
		t.Helper()
		version++
		retainFor := time.Duration(0)
		if recovered {
			retainFor = grace
		}
		node.VMListRead{List: vm.List{Version: version, VMs: listed}, Recovered: recovered, RetainFor: retainFor}.Apply(state.State)
		if got := state.endpoints(); got != want {
			t.Errorf("%s: got %s, want %s", step, got, want)
		}
	}
	advance := func(step string, by time.Duration, want string) {
		t.Helper()
		fake.Advance(by)
		node.Tick{}.Apply(state.State)
		if got := state.endpoints(); got != want {
			t.Errorf("%s: got %s, want %s", step, got, want)
		}
	}
	a, b, c := engineVM("a"), engineVM("b"), engineVM("c")
	leaving := engineVM("d")
	leaving.State = vm.Leaving
	read("start", false, "[a b c]", a, b, c, leaving)
	read("after an outage", true, "[a b c]", a)
	advance("within the grace period", grace/2, "[a b c]")
	read("after another outage", true, "[a b c]", a, c)
	read("c left the list again", false, "[a b]", a)
	advance("at the end of the first grace period", grace-grace/2, "[a]")
	advance("later", grace, "[a]")
}
