package membership_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/membership"
	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

const (
	// testTimeout fails a test whose condition is never met.
	testTimeout = 30 * time.Second
	// clockStep is the time by which the clock advances between two checks of a
	// condition.
	clockStep = 100 * time.Millisecond
	// disabledTimeout is longer than any test, so that links never time out.
	disabledTimeout = 1000 * time.Hour
)

// process is the hub and membership of one router, with a control thread.
type process struct {
	self    member.Member
	hub     *peer.Hub
	server  *httptest.Server
	control chan func()
	manager *membership.Manager
	clock   *clock.Fake
	// relayed has the incarnations of the senders of relayed messages as keys.
	relayed sync.Map
}

func (p *process) postToControl(act func(now time.Time)) {
	p.control <- func() { act(p.clock.Now()) }
}

func (p *process) HandleMessage(message peer.Message) {
	p.postToControl(func(now time.Time) {
		p.manager.HandleMessage(message, now)
		if message.Hops > 0 {
			p.relayed.Store(message.From, true)
		}
	})
}

func (p *process) LinkUp(remote ident.Incarnation, hello peer.Hello) {
	p.postToControl(func(now time.Time) { p.manager.LinkUp(remote, hello, now) })
}

func (p *process) LinkDown(remote ident.Incarnation, reason peer.Reason) {
	p.postToControl(func(now time.Time) { p.manager.LinkDown(remote, reason, now) })
}

func (p *process) DialFailed(target member.Member, _ error) {
	p.postToControl(func(now time.Time) { p.manager.DialFailed(target, now) })
}

// runOnControl runs the function on the control thread and waits until it returns.
func (p *process) runOnControl(act func(now time.Time)) {
	done := make(chan struct{})
	p.postToControl(func(now time.Time) {
		act(now)
		close(done)
	})
	<-done
}

// fleet is a set of processes that share a clock and the platform's list of VMs.
type fleet struct {
	t         *testing.T
	clock     *clock.Fake
	processes []*process
	list      []vm.VM
}

// start starts a process on the unstarted server, or on a new server if that is nil.
func (f *fleet) start(name string, zone int, unstarted *httptest.Server) *process {
	f.t.Helper()
	mux := http.NewServeMux()
	server := unstarted
	if server == nil {
		server = httptest.NewServer(mux)
	} else {
		server.Config.Handler = mux
		server.Start()
	}
	started := &process{
		self: member.Member{
			Incarnation: ident.NewIncarnation(),
			VM:          name,
			PeerAddress: server.Listener.Addr().String(),
			Started:     f.clock.Now(),
			Locality:    vm.Locality{Region: fmt.Sprint("region-", zone%3), AvailabilityZone: fmt.Sprint("az-", zone)},
		},
		server:  server,
		control: make(chan func(), 1<<16),
		clock:   f.clock,
	}
	started.hub = peer.New(peer.Settings{
		Self:             started.self,
		Secret:           []byte("the secret of the fleet"),
		Clock:            f.clock,
		Receiver:         started,
		SilenceLimit:     disabledTimeout,
		WriteTimeout:     disabledTimeout,
		HandshakeTimeout: disabledTimeout,
	})
	started.manager = membership.New(started.self, started.hub, f.clock.Now())
	mux.Handle(peer.Path, started.hub)
	f.run(started)
	f.processes = append(f.processes, started)
	return started
}

// run runs the control thread of a process until the end of the test.
func (f *fleet) run(started *process) {
	var control sync.WaitGroup
	control.Go(func() {
		for act := range started.control {
			act()
		}
	})
	f.t.Cleanup(func() {
		started.kill()
		close(started.control)
		control.Wait()
	})
}

// kill closes all connections without a close frame, like a crash.
func (p *process) kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.hub.Close(ctx)
	p.server.Close()
}

// waitUntil advances the clock until all processes meet the condition.
func (f *fleet) waitUntil(what string, wanted func(*process) bool) {
	f.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !f.all(wanted) {
		if time.Now().After(deadline) {
			f.t.Fatalf("fleet: got a timeout, want %s", what)
		}
		f.clock.Advance(clockStep)
		for _, each := range f.processes {
			each.runOnControl(each.manager.Tick)
		}
	}
}

func (f *fleet) all(wanted func(*process) bool) bool {
	met := true
	for _, each := range f.processes {
		each.runOnControl(func(time.Time) { met = met && wanted(each) })
	}
	return met
}

// setVMList sets the platform's list of VMs at every process.
func (f *fleet) setVMList() {
	list := f.list
	for _, each := range f.processes {
		each.runOnControl(func(time.Time) { each.manager.SetVMList(list, peerAddress) })
	}
}

// peerAddress returns the peer address of a VM, whose Address includes the port in these
// tests.
func peerAddress(machine vm.VM) string {
	return machine.Address
}

func hasState(name ident.Incarnation, state member.State) func(*process) bool {
	return func(p *process) bool {
		m, ok := p.manager.View().Member(name)
		return ok && m.State == state
	}
}

func hasLiveCount(count int) func(*process) bool {
	return func(p *process) bool {
		live := 0
		for _, m := range p.manager.View().Members() {
			if m.State == member.Live {
				live++
			}
		}
		return live == count
	}
}

// newFleet starts processes and waits until they have found each other through the
// platform's list.
func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, clock: clock.NewFake()}
	for index := range size {
		name := fmt.Sprint("vm-", index)
		started := f.start(name, index%5, nil)
		f.list = append(f.list, vm.VM{Name: name, Address: started.self.PeerAddress, Locality: started.self.Locality, State: vm.Live})
	}
	f.setVMList()
	f.waitUntil("all members live", hasLiveCount(size))
	return f
}

func TestFleetConvergesAndDetectsFailures(t *testing.T) {
	for _, size := range []int{8, 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size)
			killed := f.processes[0]
			f.processes = f.processes[1:]
			killed.kill()
			f.waitUntil("the killed process to be suspected", hasState(killed.self.Incarnation, member.Suspected))
			f.list = f.list[1:]
			f.setVMList()
			f.waitUntil("the unlisted process to be gone", hasState(killed.self.Incarnation, member.Gone))

			draining := f.processes[0]
			draining.runOnControl(func(now time.Time) { draining.manager.SetState(member.Draining, now) })
			f.waitUntil("the draining state of a process", hasState(draining.self.Incarnation, member.Draining))
		})
	}
}

func TestSuccessorJoinsAtAddressOfPredecessor(t *testing.T) {
	const size = 8
	f := newFleet(t, size)
	killed := f.processes[0]
	f.processes = f.processes[1:]
	killed.kill()
	f.clock.Advance(clockStep)
	address := strings.TrimPrefix(killed.server.URL, "http://")
	successor := f.start(killed.self.VM, 0, listenAt(t, address))
	f.setVMList()
	f.waitUntil("the predecessor gone", func(p *process) bool {
		return p == successor || hasState(killed.self.Incarnation, member.Gone)(p)
	})
	f.waitUntil("the successor live", hasState(successor.self.Incarnation, member.Live))
	f.waitUntil("all live", hasLiveCount(size))
}

// TestRelayReachesDistantMembers sends to distant members, those without a direct link.
// While the views are incomplete, processes dial more members than the final topology
// has; most members become distant once those links are retired.
func TestRelayReachesDistantMembers(t *testing.T) {
	const size = 20
	f := newFleet(t, size)
	first := f.processes[0]
	f.waitUntil("half of the fleet reached by relay", func(p *process) bool {
		if p == first {
			f.sendToDistant(first)
		}
		return f.reachedByRelay(first) >= size/2
	})
	f.waitUntil("few links each", func(p *process) bool { return len(p.hub.Dump().Links) < size/2 })
}

func (f *fleet) sendToDistant(from *process) {
	for _, each := range f.processes {
		if each != from && !linked(each, from) {
			_ = from.hub.Send(each.self.Incarnation, peer.Message{Heartbeat: &peer.Heartbeat{}})
		}
	}
}

func (f *fleet) reachedByRelay(from *process) int {
	reached := 0
	for _, each := range f.processes {
		if _, ok := each.relayed.Load(from.self.Incarnation); ok {
			reached++
		}
	}
	return reached
}

func linked(p, other *process) bool {
	return slices.ContainsFunc(p.hub.Dump().Links, func(l peer.LinkDump) bool {
		return l.Remote == other.self.Incarnation
	})
}
