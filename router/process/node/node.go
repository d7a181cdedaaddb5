// Package node is the router process: it wires its parts once, runs them, and
// stops them in order.
//
// One control thread owns the State: rights, journal, membership and the
// generation in force. Requests run on goroutines of their own, which read the
// version in force and spend from purses without asking that thread.
//
// # Usage
//
//	settings, err := node.LoadSettings(content)
//	router, err := node.New(settings, node.Deps{Clock: clock.New(), Log: log})
//	err = router.Run(ctx) // until the context ends or a drain is over
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/router/connection/listener"
	"jacinthpaddle.example/router/request/frontend"
)

// Intervals of a router's own work.
const (
	// TickInterval is how often the journal and waiting requests are looked at.
	TickInterval = 100 * time.Millisecond
	// QuotaInterval is how often demand is estimated and rights are refilled.
	QuotaInterval = time.Second
	// PrefetchDelay is how long a process gets to know the fleet before it holds budgets
	// that nobody asked for.
	PrefetchDelay = 2 * time.Second
	// WatchRetry is the pause after a failed watch.
	WatchRetry = time.Second
	// OfferTimeout is how long a peer has to send a generation before another is asked.
	OfferTimeout = time.Second
	// WatchMargin is how long a watch may stay silent after its wait. With the
	// default wait a silent one is replaced within 11 s.
	WatchMargin = 3 * time.Second
	// PointerInterval is how often a process that does not watch reads the pointer.
	PointerInterval = time.Minute
	// CloseTimeout bounds the return of rights and the last journal write.
	CloseTimeout = 10 * time.Second
	// IdleTimeout bounds the time between two requests of a caller's connection.
	IdleTimeout = 2 * time.Minute
)

// Bounds that keep a large fleet within the platform's rates.
const (
	// MaxPrefetchedBudgets is up to how many budgets a process holds before their first use.
	MaxPrefetchedBudgets = 64
	// SmallFleetSize is the size up to which every process watches the store.
	SmallFleetSize = 12
	// WatchersPerZone is how many processes of an availability zone watch the store
	// in a larger fleet.
	WatchersPerZone = 2
	// HoldersPerRefillInterval is by how many drawing processes the interval between refills grows
	// by its own length.
	HoldersPerRefillInterval = 12
	// MembersPerListInterval is by how many members the list interval grows by its own length.
	MembersPerListInterval = 64
	// MembersPerFlushInterval is by how many members the journal's interval grows by its own
	// length. Peers hold copies of what is not stored yet.
	MembersPerFlushInterval = 8
)

// Deps are what a router is given.
type Deps struct {
	Clock clock.Clock
	Log   *event.Log
	// LinesDropped, if set, returns how many log lines were not written.
	LinesDropped func() int64
	// Fatal ends the process after a fault that leaves its state unsure.
	Fatal func(value any)
	// Adapter speaks the protocols of another platform in place of the fleet's
	// own. Nil is the fleet's own.
	Adapter Adapter
}

// Node is one router process.
type Node struct {
	Deps
	Settings Settings
	Self     ident.Incarnation

	state           *State
	thread          *Thread
	platform        Platform
	hub             *peer.Hub
	runner          *serve.Runner
	frontend        *frontend.Handler
	idempotent      idempotent
	locator         *locator
	metrics         *meter.Metrics
	listeners       listeners
	loadedSettings  Settings
	stopping        atomic.Bool
	draining        atomic.Bool
	adapterRequests atomic.Int64
	drainRequested  chan struct{}
	stop            context.CancelFunc
	ctx             context.Context
}

type listeners struct {
	callers   []*listener.Listener
	peers     *listener.Listener
	operators *listener.Listener
	metrics   *listener.Listener
}

// New wires a router and opens its sockets.
func New(settings Settings, deps Deps) (*Node, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	self := ident.NewIncarnation()
	node := &Node{
		Deps:           deps,
		Settings:       settings,
		Self:           self,
		loadedSettings: settings,
		metrics:        metrics,
		drainRequested: make(chan struct{}, 1),
	}
	node.ctx, node.stop = context.WithCancel(context.Background())
	node.platform = node.newPlatform()
	node.wireControl()
	node.wireTraffic()
	if err := metrics.ObservePeers(node.peerBytes); err != nil {
		return nil, err
	}
	if deps.LinesDropped != nil {
		if err := metrics.ObserveLog(deps.LinesDropped); err != nil {
			return nil, err
		}
	}
	return node, node.listen()
}

// wireControl joins the control thread and the hub. Each needs the other: the
// hub hears nothing before its socket is open, which is after both are set.
func (n *Node) wireControl() {
	self := n.member()
	receiver := &Receiver{}
	n.hub = peer.New(peer.Settings{
		Self:     self,
		Secret:   secret.Key(n.Settings.Fleet.Secret),
		Clock:    n.Clock,
		Receiver: receiver,
	})
	worker := &ioWorker{Hub: n.hub, ctx: n.ctx, self: n.Self, objects: n.platform}
	n.state = NewState(self, n.Settings, n.dialect(), n.Clock, n.Log, worker)
	n.state.OnEvicted = n.Drain
	n.thread = control.New(n.state, n.Deps.Fatal)
	receiver.thread = n.thread
	worker.thread = n.thread
}

// peerBytes returns the bytes exchanged with peers since the start.
func (n *Node) peerBytes() (received, sent int64) {
	counters := n.hub.Dump().Counters
	for _, traffic := range counters.In {
		received += traffic.Bytes
	}
	for _, traffic := range counters.Out {
		sent += traffic.Bytes
	}
	return received, sent
}

func (n *Node) member() member.Member {
	return member.Member{
		Incarnation:      n.Self,
		VM:               n.Settings.VM.Name,
		Address:          n.Settings.VM.Address,
		PeerAddress:      n.Settings.HostPort(n.Settings.Listen.PeerPort),
		CallerAddress:    n.Settings.callerAddress(),
		OperatorsAddress: n.Settings.HostPort(n.Settings.Listen.OperatorsPort),
		Locality:         n.Settings.Locality(),
		Power:            n.Settings.VM.Cores * n.Settings.VM.CPUShare,
		State:            member.Live,
		Started:          n.Clock.Now(),
	}
}

func (n *Node) listen() error {
	limits := listener.Limits{
		MaxHeaderBytes:    n.Settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: n.Settings.Limits.ReadHeaderTimeout,
		ReadTimeout:       n.Settings.Limits.ReadBodyTimeout,
		IdleTimeout:       IdleTimeout,
	}
	internalLimits := listener.Limits{ReadHeaderTimeout: n.Settings.Limits.ReadHeaderTimeout}
	var err error
	ports := n.Settings.Listen
	for _, callerFrontend := range n.callerFrontends() {
		opened, err := listener.Open(callerFrontend.Address, limits, callerFrontend.Handler)
		if err != nil {
			return err
		}
		n.listeners.callers = append(n.listeners.callers, opened)
	}
	if n.listeners.peers, err = listener.Open(n.Settings.HostPort(ports.PeerPort), internalLimits, n.peerMux()); err != nil {
		return err
	}
	if n.listeners.operators, err = listener.Open(n.Settings.HostPort(ports.OperatorsPort), internalLimits, n.operatorsMux()); err != nil {
		return err
	}
	n.listeners.metrics, err = listener.Open(n.Settings.HostPort(ports.MetricsPort), internalLimits, n.metrics.Handler)
	return err
}

// Run serves until the context ends or a drain is asked for, then drains.
func (n *Node) Run(ctx context.Context) error {
	n.Log.Emit(event.Started, event.Text("address", n.Settings.VM.Address))
	failed := make(chan error, 3+len(n.listeners.callers))
	internal := []*listener.Listener{n.listeners.peers, n.listeners.operators, n.listeners.metrics}
	for _, server := range append(internal, n.listeners.callers...) {
		go func() { failed <- server.Serve() }()
	}
	n.start()
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case err := <-failed:
		n.Log.Emit(event.ListenFailed, event.Cause(err))
		n.stop()
		return errors.Trace(err)
	}
	n.drainAndStop()
	return nil
}

// start begins the process's own work.
func (n *Node) start() {
	policy := ReadPolicy{
		Clock:          n.Clock,
		SilenceTimeout: n.Settings.Platform.WatchWait + n.Settings.Platform.WatchMargin + ListGrace,
		WatchesStore:   n.state.WatchesStore,
		ListVersioned:  &atomic.Bool{},
		ReceivedAt:     n.state.ListReceivedAt,
	}
	vmLister := &lister{
		clock:    n.Clock,
		vms:      n.platform,
		thread:   n.thread,
		log:      n.Log,
		interval: n.Settings.Platform.ListInterval,
		members:  n.state.Members,
		policy:   policy,
	}
	watcher := &generationWatcher{
		clock:   n.Clock,
		objects: n.platform,
		thread:  n.thread,
		log:     n.Log,
		wait:    n.Settings.Platform.WatchWait,
		retry:   n.Settings.Platform.WatchRetry,
		policy:  policy,
	}
	poller := endpoint.NewPoller(n.state.EndpointConfig, n.Clock, n.state.Endpoints)
	go watcher.run(n.ctx)
	go poller.Run(n.ctx)
	go every(n.ctx, n.Clock, TickInterval, func() { n.thread.Tell(Tick{}) })
	go vmLister.run(n.ctx)
	go every(n.ctx, n.Clock, time.Second, n.locator.tick)
}
