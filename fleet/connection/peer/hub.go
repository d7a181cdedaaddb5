// Package peer links the routers of a fleet with each other: WebSocket frames
// with CBOR messages in them.
//
// Each link has one goroutine that reads and one that writes, and a bounded
// queue between senders and the writer. Both ends prove that they hold the
// fleet's secret before any message is taken (see package auth). Heartbeats go
// both ways. A link that brings no frame for the silence limit is closed and
// dialled anew, because something between the ends can lose track of a
// connection without closing it.
//
// Two processes keep one link. When both dial at once, the link dialled by the
// smaller incarnation stays.
//
// A message for a process without a direct link is relayed along the links that
// the view implies, for at most MaxHops links. Messages can be lost, repeated and
// reordered, so their bodies carry absolute totals and their senders repeat them.
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

// Path is where a router accepts links.
const Path = "/peer"

// MaxFrameBytes is the largest frame that a link carries.
const MaxFrameBytes = 1 << 20

// MaxHops is how many links a relayed message passes.
const MaxHops = 16

// Receiver takes what a hub hears. Its methods are called from many goroutines,
// must not block and must not call the hub: they post to the control thread.
type Receiver interface {
	// HandleMessage takes a message addressed to this process.
	HandleMessage(message Message)
	// LinkUp says that a link to the process stands. It is called again when a
	// link replaces another, since what was queued on the former may be lost.
	LinkUp(remote ident.Incarnation, hello Hello)
	// LinkDown says that no link to the process stands any more.
	LinkDown(remote ident.Incarnation, reason Reason)
	// DialFailed says that the target could not be reached.
	DialFailed(target member.Member, err error)
}

// Hub holds the links of one process. Its methods are safe for concurrent use.
type Hub struct {
	settings  Settings
	self      ident.Incarnation
	counters  *counters
	sequence  atomic.Int64
	hello     atomic.Pointer[Hello]
	heartbeat atomic.Pointer[Heartbeat]
	graph     atomic.Pointer[member.Graph]

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	links   map[ident.Incarnation]*link
	dialers map[string]*dialer
	changed chan struct{}
}

// New returns a hub without links.
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

// SetSelf sets the record and the digest with which new links open.
func (h *Hub) SetSelf(self member.Member, digest uint64) {
	h.hello.Store(&Hello{Member: self, Digest: digest})
}

// SetHeartbeat sets what the next heartbeats carry.
func (h *Hub) SetHeartbeat(heartbeat Heartbeat) {
	h.heartbeat.Store(&heartbeat)
}

// SetGraph sets the network by which messages are relayed.
func (h *Hub) SetGraph(graph *member.Graph) {
	h.graph.Store(graph)
}

// SetTargets sets whom the hub dials. Links that it dialled to others are
// retired. A target without an incarnation is whoever answers at its address.
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
	for address, retiring := range h.dialers {
		if !wanted[address] {
			delete(h.dialers, address)
			retiring.retire()
		}
	}
}

func (h *Hub) updateDialer(target member.Member) {
	if running, ok := h.dialers[target.PeerAddress]; ok {
		running.setTarget(target)
		return
	}
	started := h.newDialer(target)
	h.dialers[target.PeerAddress] = started
	h.group.Go(started.run)
}

// ServeHTTP accepts a link and carries it to its end.
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

// trackConnection counts an accepted connection unless the hub is closed.
func (h *Hub) trackConnection() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.group.Add(1)
	}
	return !h.closed
}

func (h *Hub) serveConn(conn *websocket.Conn) {
	accepted, err := h.acceptLink(conn)
	if err != nil {
		h.closeRefused(conn, err)
		return
	}
	h.unregister(accepted, accepted.run())
}

// acceptLink runs the acceptor's side of the handshake and admits the link.
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

// withTimeout bounds a step by the hub's clock.
func (h *Hub) withTimeout(parent context.Context, limit time.Duration, step string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := h.settings.Clock.AfterFunc(limit, func() { cancel(&TimeoutError{Step: step}) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Close ends all links after their queues are written, or at the end of the
// context, and waits for every goroutine of the hub.
func (h *Hub) Close(ctx context.Context) {
	h.mu.Lock()
	h.closed = true
	for _, running := range h.dialers {
		running.cancel()
	}
	for _, standing := range h.links {
		standing.finish(Shutdown)
	}
	h.mu.Unlock()

	stop := context.AfterFunc(ctx, h.cancel)
	defer stop()
	h.group.Wait()
	h.cancel()
}
