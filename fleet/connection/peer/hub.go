// Package peer maintains the links between the routers of a fleet: WebSocket connections
// that carry messages encoded as CBOR.
//
// Each link has a goroutine that reads, a goroutine that writes, and a bounded queue
// between senders and the writer. Both ends prove that they hold the fleet's secret
// before any message is accepted (see package auth). Both ends send heartbeats. A link
// on which no frame arrives for the silence limit is closed and dialled again, because
// a device on the network path can drop the state of a connection without closing it.
//
// Two processes keep one link. When both dial at the same time, the link dialled by the
// smaller incarnation is kept.
//
// A message for a process without a direct link is relayed along the graph derived from
// the membership view, over at most MaxHops links. Messages can be lost, duplicated and
// reordered, so their bodies carry absolute totals and senders repeat them.
//
// # Usage
//
//	hub := peer.New(peer.Settings{Self: self, Secret: secret, Clock: clock.New(), Receiver: control})
//	mux.Handle(peer.Path, hub)
//	hub.SetTargets(member.DialTargets(view.Members(), self.Incarnation, member.DefaultFanout))
//	err := hub.Send(to, peer.Message{Gossip: &gossip})
package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

// Path is the HTTP path on which a router accepts links.
const Path = "/peer"

// MaxFrameBytes is the largest size of a frame.
const MaxFrameBytes = 1 << 20

// MaxHops is the largest number of links that a message passes on its route.
const MaxHops = 16

// Receiver handles the messages and link events of a hub. Its methods are called from
// many goroutines, some of them while the hub's mutex is locked. They must not block and
// must not call the hub: they post to the control thread.
type Receiver interface {
	// HandleMessage is called with each message addressed to this process.
	HandleMessage(message Message)
	// LinkUp is called when a link to the process is up. It is called again when a
	// link replaces another, because messages queued on the old link may be lost.
	LinkUp(remote ident.Incarnation, hello Hello)
	// LinkDown is called when the link to the process has ended and no other replaces
	// it.
	LinkDown(remote ident.Incarnation, reason Reason)
	// DialFailed is called when the target could not be reached.
	DialFailed(target member.Member, err error)
}

// Hub holds the links of one process. Its methods are safe for concurrent use.
type Hub struct {
	settings Settings
	self     ident.Incarnation
	counters *counters
	// sequence is the sequence of the last message that was sent.
	sequence  atomic.Int64
	hello     atomic.Pointer[Hello]
	heartbeat atomic.Pointer[Heartbeat]
	graph     atomic.Pointer[member.Graph]

	ctx    context.Context
	cancel context.CancelFunc
	// group counts dialers and accepted connections.
	group sync.WaitGroup

	mu     sync.Mutex
	closed bool
	links  map[ident.Incarnation]*link
	// dialers holds the dialers of the targets by peer address.
	dialers map[string]*dialer
	// changed is closed and replaced when links changes.
	changed chan struct{}
}

// New returns a hub without links or targets.
func New(settings Settings) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	hub := &Hub{
		settings: settings.withDefaults(),
		self:     settings.Self.Incarnation,
		counters: newCounters(),
		ctx:      ctx,
		cancel:   cancel,
		links:    make(map[ident.Incarnation]*link),
		dialers:  make(map[string]*dialer),
		changed:  make(chan struct{}),
	}
	hub.SetSelf(settings.Self, 0)
	hub.SetHeartbeat(Heartbeat{})
	hub.SetGraph(member.NewGraph(nil, 0))
	return hub
}

// SetSelf sets the record and the view digest that the hello of new links carries.
func (h *Hub) SetSelf(self member.Member, digest uint64) {
	h.hello.Store(&Hello{Member: self, Digest: digest})
}

// SetHeartbeat sets the content of the next heartbeats.
func (h *Hub) SetHeartbeat(heartbeat Heartbeat) {
	h.heartbeat.Store(&heartbeat)
}

// SetGraph sets the graph by which messages are relayed.
func (h *Hub) SetGraph(graph *member.Graph) {
	h.graph.Store(graph)
}

// SetTargets sets the members that the hub dials, and retires links that it dialled to
// others. A target without an incarnation stands for whichever process answers at its
// peer address.
func (h *Hub) SetTargets(targets []member.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	wanted := make(map[string]bool, len(targets))
	for _, target := range targets {
		if target.Incarnation == h.self || target.PeerAddress == h.settings.Self.PeerAddress {
			continue
		}
		wanted[target.PeerAddress] = true
		h.updateDialer(target)
	}
	for address, removed := range h.dialers {
		if !wanted[address] {
			delete(h.dialers, address)
			removed.retire()
		}
	}
}

// updateDialer starts a dialer for the target, or passes the target to the dialer of its
// peer address. The caller holds the mutex.
func (h *Hub) updateDialer(target member.Member) {
	if existing, ok := h.dialers[target.PeerAddress]; ok {
		existing.setTarget(target)
		return
	}
	started := h.newDialer(target)
	h.dialers[target.PeerAddress] = started
	h.group.Go(started.run)
}

// ServeHTTP accepts a link and runs it until it ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.trackConnection() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	defer h.group.Done()
	options := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	conn, err := websocket.Accept(w, r, options)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(MaxFrameBytes)
	h.serveConn(conn)
}

// trackConnection adds an accepted connection to those that Close waits for, or returns
// false if the hub is closed.
func (h *Hub) trackConnection() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.group.Add(1)
	}
	return !h.closed
}

// serveConn runs an accepted connection from the handshake to the end of its link.
func (h *Hub) serveConn(conn *websocket.Conn) {
	accepted, err := h.acceptLink(conn)
	if err != nil {
		h.closeRefused(conn, err)
		return
	}
	h.unregister(accepted, accepted.run())
}

// acceptLink runs the acceptor's side of the handshake and registers the link.
func (h *Hub) acceptLink(conn *websocket.Conn) (*link, error) {
	ctx, cancel := h.withTimeout(h.ctx, h.settings.HandshakeTimeout, "handshake")
	defer cancel()
	remote, err := h.acceptorHandshake(ctx, conn)
	if err != nil {
		return nil, err
	}
	hello, err := h.readHello(ctx, conn, remote)
	if err != nil {
		return nil, err
	}
	accepted := h.newLink(conn, remote, false)
	if err := h.register(accepted, hello); err != nil {
		accepted.ticker.Stop()
		accepted.cancel()
		return nil, err
	}
	if err := h.sendHello(ctx, conn); err != nil {
		accepted.fail(Broken)
	}
	return accepted, nil
}

// withTimeout returns a context that is cancelled with a TimeoutError after the limit by
// the hub's clock.
func (h *Hub) withTimeout(parent context.Context, limit time.Duration, step string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := h.settings.Clock.AfterFunc(limit, func() { cancel(&TimeoutError{Step: step}) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Close ends all links after their send queues are written, or at once when the context
// ends, and waits for all goroutines of the hub.
func (h *Hub) Close(ctx context.Context) {
	h.mu.Lock()
	h.closed = true
	for _, d := range h.dialers {
		d.cancel()
	}
	for _, open := range h.links {
		open.finish(Shutdown)
	}
	h.mu.Unlock()

	stop := context.AfterFunc(ctx, h.cancel)
	defer stop()
	h.group.Wait()
	h.cancel()
}
