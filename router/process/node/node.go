// Package node runs the router process: it creates and connects its components, runs
// them and stops them in order.
//
// One control thread owns the State: quota, journal, membership and the active
// generation. Requests run on goroutines of their own. These read the active
// configuration snapshot and reserve credits from balances without the control thread;
// they send it a message only if a balance is too small or a journal entry must be
// recorded.
//
// # Usage
//
//	settings, err := node.LoadSettings(content)
//	router, err := node.New(settings, node.Deps{Clock: clock.New(), Log: log})
//	err = router.Run(ctx) // returns after the drain
package node

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/process/page"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/router/connection/listener"
	"jacinthpaddle.example/router/request/frontend"
)

// Intervals and timeouts of background work.
const (
	// TickInterval is how often the journal and the requests that wait for credits are
	// processed.
	TickInterval = 100 * time.Millisecond
	// QuotaInterval is how often demand is estimated and quota is refilled.
	QuotaInterval = time.Second
	// PrefetchDelay is the time after the start before a process requests quota of budgets
	// that no request has used yet. Until it has learned of the other members, it cannot
	// decide whether it takes grants from the store or is supplied by a peer.
	PrefetchDelay = 2 * time.Second
	// WatchRetry is the default pause after a failed watch of the store.
	WatchRetry = time.Second
	// GenerationRequestTimeout is the time in which a peer must send a requested
	// generation. After that it is requested from the next peer.
	GenerationRequestTimeout = time.Second
	// WatchMargin is the default time that a watch of the store may take beyond its wait
	// before it counts as failed. With the default wait of 8 s an unresponsive watch is
	// replaced within 11 s.
	WatchMargin = 3 * time.Second
	// PointerInterval is how often a process that does not watch the store reads the
	// generation pointer.
	PointerInterval = time.Minute
	// CloseTimeout is the default bound on the return of the quota and the last journal
	// write of a drain.
	CloseTimeout = 10 * time.Second
	// IdleTimeout bounds the time between two requests on a caller's connection.
	IdleTimeout = 2 * time.Minute
)

// Limits that keep the calls of a large fleet within the rate limits of the platform.
const (
	// MaxPrefetchedBudgets is the largest number of budgets at which a process requests
	// quota of each before its first use.
	MaxPrefetchedBudgets = 64
	// SmallFleetSize is the number of VMs up to which every process watches the store.
	SmallFleetSize = 12
	// WatchersPerZone is the number of processes of an availability zone that watch the
	// store in a larger fleet.
	WatchersPerZone = 2
	// UpdateSpacing is, in a large fleet, the least time from the end of an update of an
	// account page to the next one of this process. What its zone requests meanwhile is
	// updated together, and the suppliers of other zones get their turn.
	UpdateSpacing = 250 * time.Millisecond
	// HoldersPerRefillInterval is the step in the number of processes that take grants
	// from the store with which the interval between refills grows by QuotaInterval.
	HoldersPerRefillInterval = 12
	// RoutersPerListInterval is the step in the number of routers with which the interval
	// between readings of the list of VMs grows by its own length.
	RoutersPerListInterval = 64
	// RoutersPerFlushInterval is the step in the number of routers with which the flush
	// interval of the journal grows by its own length. Records are durable before they
	// are stored, since peers hold copies of them.
	RoutersPerFlushInterval = 8
)

// Deps has the dependencies of a router.
type Deps struct {
	Clock clock.Clock
	Log   *event.Log
	// LinesDropped, if set, returns the number of log lines that were dropped.
	LinesDropped func() int64
	// Fatal ends the process after a panic on the control thread, whose state can no
	// longer be trusted. It receives the value of the panic.
	Fatal func(value any)
	// Adapter replaces the fleet's own protocols with those of another platform. Nil
	// selects the fleet's own.
	Adapter Adapter
}

// Node is one router process.
type Node struct {
	Deps
	Settings Settings
	Self     ident.Incarnation

	state       *State
	thread      *Thread
	worker      *ioWorker
	platform    Platform
	outage      Outage
	hub         *peer.Hub
	runner      *serve.Runner
	frontend    *frontend.Handler
	idempotency idempotencyComponents
	locator     *locator
	intake      intakeComponents
	metrics     *meter.Metrics
	listeners   listeners
	// loadedSettings are the settings of the last reload. Settings are those at start.
	loadedSettings Settings
	// stopping is set once new requests without an idempotency key are refused.
	stopping atomic.Bool
	// draining is set at the start of a drain, before stopping.
	draining atomic.Bool
	// adapterRequests is the number of requests in progress at an adapter's front ends.
	adapterRequests atomic.Int64
	drainRequested  chan struct{}
	// stop cancels ctx.
	stop context.CancelFunc
	// ctx bounds the background work and the calls of the platform.
	ctx context.Context
}

type listeners struct {
	callers   []*listener.Listener
	peers     *listener.Listener
	operators *listener.Listener
	metrics   *listener.Listener
}

// New creates a router and opens its sockets. It serves no requests before Run.
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
	node.setUpIntake()
	node.setUpControl()
	node.setUpRequests()
	if err := node.observe(); err != nil {
		return nil, err
	}
	return node, node.listen()
}

// observe adds the metrics that are read from the components at each scrape.
func (n *Node) observe() error {
	err := cmp.Or(
		n.metrics.ObservePeers(n.peerBytes),
		n.metrics.ObserveGeneration(n.state.ActiveNumber.Load),
		n.metrics.ObserveEvacuations(n.evacuatedZones),
		n.metrics.ObserveColdEndpoints(n.coldEndpoints),
		n.metrics.ObserveSlowEndpoints(n.slowEndpoints),
		n.metrics.ObserveCreditRefusals(n.state.Refusals.Totals),
	)
	if err != nil || n.LinesDropped == nil {
		return err
	}
	return n.metrics.ObserveLog(n.LinesDropped)
}

// setUpControl creates the control thread and the hub, which refer to each other. The
// receiver and the I/O worker get the thread last; the hub receives no messages before
// that, since its socket is opened later.
func (n *Node) setUpControl() {
	self := n.member()
	receiver := &Receiver{}
	n.hub = peer.New(peer.Settings{
		Self:     self,
		Secret:   secret.Key(n.Settings.Fleet.Secret),
		Clock:    n.Clock,
		Receiver: receiver,
	})
	pages := page.Writer{Objects: n.platform, Clock: n.Clock, Random: random.New()}
	n.worker = &ioWorker{Hub: n.hub, ctx: n.ctx, self: n.Self, objects: n.platform, pages: pages}
	n.state = NewState(self, n.Settings, n.dialect(), n.Clock, n.Log, n.worker)
	n.state.OnEvicted = n.Drain
	n.thread = control.New(n.state, n.Deps.Fatal)
	receiver.thread = n.thread
	n.worker.thread = n.thread
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

// coldEndpoints returns the number of endpoints that are cold, and that of the picks since
// the start that passed over one.
func (n *Node) coldEndpoints() (cold, heldBack int64) {
	return int64(n.state.Endpoints.View().Cold(n.Clock.Now())), n.runner.Picker.HeldBack()
}

// slowEndpoints returns the number of endpoints that report themselves as slow.
func (n *Node) slowEndpoints() int64 {
	return int64(n.state.Endpoints.View().Slow(n.Clock.Now()))
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
		Power:            n.Settings.VM.Power(),
		State:            member.Live,
		Started:          n.Clock.Now(),
	}
}

func (n *Node) listen() error {
	limits := n.callerLimits()
	var err error
	ports := n.Settings.Listen
	for _, callerFrontend := range n.callerFrontends() {
		opened, err := listener.Open(callerFrontend.Address, limits, callerFrontend.Handler)
		if err != nil {
			return err
		}
		n.listeners.callers = append(n.listeners.callers, opened)
	}
	if n.listeners.peers, err = listener.Open(n.Settings.HostPort(ports.PeerPort), n.internalLimits(), n.peerMux()); err != nil {
		return err
	}
	if n.listeners.operators, err = listener.Open(n.Settings.HostPort(ports.OperatorsPort), n.internalLimits(), n.operatorsMux()); err != nil {
		return err
	}
	n.listeners.metrics, err = listener.Open(n.Settings.HostPort(ports.MetricsPort), n.internalLimits(), n.metrics.Handler)
	return err
}

// Run serves until the context ends or a drain is requested, then drains. It returns an
// error without a drain if a listener fails.
func (n *Node) Run(ctx context.Context) error {
	n.Log.Emit(event.Started, event.String("address", n.Settings.VM.Address))
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

// start starts the background work.
func (n *Node) start() {
	policy := ReadPolicy{
		Clock:          n.Clock,
		SilenceTimeout: n.Settings.Platform.ListWait() + n.Settings.Platform.WatchMargin + ListGrace,
		WatchesStore:   n.state.WatchesStore,
		ListVersioned:  &atomic.Bool{},
		ReceivedAt:     n.state.ListReceivedAt,
	}
	vmLister := &VMLister{
		Clock:    n.Clock,
		VMs:      n.platform,
		Thread:   n.thread,
		Log:      n.Log,
		Interval: n.Settings.Platform.ListInterval,
		Members:  n.state.Members,
		Policy:   policy,
		Outage:   &n.outage,

		ReturnGrace: n.Settings.Platform.ReturnGrace,
		ListBound:   n.Settings.Platform.ListBound,
	}
	poller := endpoint.NewPoller(n.state.EndpointConfig, n.Clock, n.state.Endpoints)
	if n.Settings.Quota.Pages == 0 {
		proposed := account.LayoutFor(n.Settings.Platform.WritesPerSecond)
		go n.worker.readLayout(proposed, n.Settings.Platform.WatchRetry, n.Log)
	}
	go n.newGenerationWatcher(policy).run(n.ctx)
	if n.Settings.Platform.EvacuationBound > 0 {
		go n.newEvacuationWatcher(policy).run(n.ctx)
	}
	go poller.Run(n.ctx)
	go every(n.ctx, n.Clock, TickInterval, func() { n.thread.Send(Tick{}) })
	go vmLister.Run(n.ctx)
	go every(n.ctx, n.Clock, time.Second, n.locator.tick)
}
