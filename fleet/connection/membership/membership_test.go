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
	// guard ends a test that waits for something that never comes.
	guard = 30 * time.Second
	// step is how far the clock moves between two looks at the fleet.
	step = 100 * time.Millisecond
	// never keeps timeouts of the links out of these tests.
	never = 1000 * time.Hour
)

// process is one router's membership with a control thread of its own.
type process struct {
	self    member.Member
	hub     *peer.Hub
	server  *httptest.Server
	control chan func()
	keeper  *membership.Manager
	clock   *clock.Fake
	relayed sync.Map
}

func (p *process) post(act func(now time.Time)) {
	p.control <- func() { act(p.clock.Now()) }
}

func (p *process) HandleMessage(message peer.Message) {
	p.post(func(now time.Time) {
		p.keeper.HandleMessage(message, now)
		if message.Hops > 0 {
			p.relayed.Store(message.From, true)
		}
	})
}

func (p *process) LinkUp(remote ident.Incarnation, hello peer.Hello) {
	p.post(func(now time.Time) { p.keeper.LinkUp(remote, hello, now) })
}

func (p *process) LinkDown(remote ident.Incarnation, reason peer.Reason) {
	p.post(func(now time.Time) { p.keeper.LinkDown(remote, reason, now) })
}

func (p *process) DialFailed(target member.Member, _ error) {
	p.post(func(now time.Time) { p.keeper.DialFailed(target, now) })
}

// do runs the act on the control thread and waits for it.
func (p *process) do(act func(now time.Time)) {
	done := make(chan struct{})
	p.post(func(now time.Time) {
		act(now)
		close(done)
	})
	<-done
}

// fleet is processes that share a clock and the platform's list.
type fleet struct {
	t         *testing.T
	clock     *clock.Fake
	processes []*process
	list      []vm.VM
}

func (f *fleet) start(name string, zone int, listener *httptest.Server) *process {
	f.t.Helper()
	mux := http.NewServeMux()
	server := listener
	if server == nil {
		server = httptest.NewServer(mux)
	} else {
		server.Config.Handler = mux
		server.Start()
	}
	made := &process{
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
	made.hub = peer.New(peer.Settings{
		Self:             made.self,
		Secret:           []byte("the secret of the fleet"),
		Clock:            f.clock,
		Receiver:         made,
		SilenceLimit:     never,
		WriteTimeout:     never,
		HandshakeTimeout: never,
	})
	made.keeper = membership.New(made.self, made.hub, f.clock.Now())
	mux.Handle(peer.Path, made.hub)
	f.run(made)
	f.processes = append(f.processes, made)
	return made
}

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

// kill cuts every link without a word.
func (p *process) kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.hub.Close(ctx)
	p.server.Close()
}

// settle moves the clock until the processes see what is wanted.
func (f *fleet) settle(what string, wanted func(*process) bool) {
	f.t.Helper()
	deadline := time.Now().Add(guard)
	for !f.all(wanted) {
		if time.Now().After(deadline) {
			f.t.Fatalf("fleet: got no agreement, want %s", what)
		}
		f.clock.Advance(step)
		for _, each := range f.processes {
			each.do(each.keeper.Tick)
		}
	}
}

func (f *fleet) all(wanted func(*process) bool) bool {
	met := true
	for _, each := range f.processes {
		each.do(func(time.Time) { met = met && wanted(each) })
	}
	return met
}

// announce gives every process the platform's list.
func (f *fleet) announce() {
	list := f.list
	for _, each := range f.processes {
		each.do(func(time.Time) { each.keeper.SetVMList(list, peerAddress) })
	}
}

// peerAddress reads the address of these tests' VMs, which holds the port.
func peerAddress(machine vm.VM) string {
	return machine.Address
}

func sees(name ident.Incarnation, state member.State) func(*process) bool {
	return func(p *process) bool {
		held, ok := p.keeper.View().Member(name)
		return ok && held.State == state
	}
}

func seesLive(count int) func(*process) bool {
	return func(p *process) bool {
		live := 0
		for _, held := range p.keeper.View().Members() {
			if held.State == member.Live {
				live++
			}
		}
		return live == count
	}
}

// newFleet returns processes that have found each other through the list.
func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, clock: clock.NewFake()}
	for index := range size {
		name := fmt.Sprint("vm-", index)
		started := f.start(name, index%5, nil)
		f.list = append(f.list, vm.VM{Name: name, Address: started.self.PeerAddress, Locality: started.self.Locality, State: vm.Live})
	}
	f.announce()
	f.settle("all members live", seesLive(size))
	return f
}

func TestFleetFindsItselfAndItsLosses(t *testing.T) {
	for _, size := range []int{8, 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size)
			killed := f.processes[0]
			f.processes = f.processes[1:]
			killed.kill()
			f.settle("the killed process suspected", sees(killed.self.Incarnation, member.Suspected))
			f.list = f.list[1:]
			f.announce()
			f.settle("the unlisted process gone", sees(killed.self.Incarnation, member.Gone))

			draining := f.processes[0]
			draining.do(func(now time.Time) { draining.keeper.SetState(member.Draining, now) })
			f.settle("the draining process", sees(draining.self.Incarnation, member.Draining))
		})
	}
}

func TestSuccessorJoinsAtTheAddress(t *testing.T) {
	const size = 8
	f := newFleet(t, size)
	killed := f.processes[0]
	f.processes = f.processes[1:]
	killed.kill()
	f.clock.Advance(step)
	address := strings.TrimPrefix(killed.server.URL, "http://")
	successor := f.start(killed.self.VM, 0, listenAt(t, address))
	f.announce()
	f.settle("the predecessor gone", func(p *process) bool {
		return p == successor || sees(killed.self.Incarnation, member.Gone)(p)
	})
	f.settle("the successor live", sees(successor.self.Incarnation, member.Live))
	f.settle("all live", seesLive(size))
}

// TestRelayReachesDistantMembers sends to all members without a link, of which
// there are many once the links of the first meetings are retired.
func TestRelayReachesDistantMembers(t *testing.T) {
	const size = 20
	f := newFleet(t, size)
	first := f.processes[0]
	f.settle("half of the fleet reached by relay", func(p *process) bool {
		if p == first {
			f.sendToDistant(first)
		}
		return f.reachedByRelay(first) >= size/2
	})
	f.settle("few links each", func(p *process) bool { return len(p.hub.Dump().Links) < size/2 })
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
