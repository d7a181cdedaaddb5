package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"

	"jacinthpaddle.example/fleet/connection/queue"
	"jacinthpaddle.example/fleet/process/ident"
)

// WebSocket close codes of this protocol, from the range for private use.
const (
	statusReplaced websocket.StatusCode = 4001
	statusRetired  websocket.StatusCode = 4002
)

// link is one authenticated connection to another router. One goroutine reads from it and
// one writes to it.
type link struct {
	hub    *Hub
	conn   *websocket.Conn
	remote ident.Incarnation
	// address is the dialled address. It is empty for accepted links.
	address string
	dialled bool
	// since is when the handshake succeeded.
	since time.Time
	// pending is the send queue.
	pending *queue.Bounded[Message]
	ticker  clockwork.Ticker
	// lastFrame is the time between since and the last received frame, in nanoseconds.
	lastFrame atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// reason is why the link ends. It is empty until then and is set once.
	reason Reason
	// finishing is closed to end the link after its queue is written.
	finishing chan struct{}
}

func (h *Hub) newLink(conn *websocket.Conn, remote ident.Incarnation, dialled bool) *link {
	ctx, cancel := context.WithCancel(h.ctx)
	return &link{
		hub:       h,
		conn:      conn,
		remote:    remote,
		dialled:   dialled,
		since:     h.settings.Clock.Now(),
		pending:   queue.New(h.settings.QueueLimit, droppable),
		ticker:    h.settings.Clock.NewTicker(h.settings.HeartbeatInterval),
		ctx:       ctx,
		cancel:    cancel,
		finishing: make(chan struct{}),
	}
}

// run sends and receives messages until the link ends and returns the reason.
func (l *link) run() Reason {
	var writer sync.WaitGroup
	writer.Go(l.write)
	l.read()
	l.cancel()
	writer.Wait()
	l.release()
	return l.endReason()
}

// release closes the connection and stops the ticker.
func (l *link) release() {
	l.cancel()
	l.ticker.Stop()
	_ = l.conn.CloseNow()
}

// fail ends the link at once, without writing its queue.
func (l *link) fail(reason Reason) {
	l.setReason(reason)
	l.cancel()
}

// finish ends the link after its queue is written.
func (l *link) finish(reason Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == "" {
		l.reason = reason
		close(l.finishing)
	}
}

// setReason stores the reason why the link ends, unless it has one.
func (l *link) setReason(reason Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == "" {
		l.reason = reason
	}
}

func (l *link) endReason() Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// recordFrame records the arrival of a frame, as a monotonic time since the link began.
func (l *link) recordFrame() {
	l.lastFrame.Store(int64(l.hub.settings.Clock.Since(l.since)))
}

// silence returns the time since the last received frame.
func (l *link) silence() time.Duration {
	return l.hub.settings.Clock.Since(l.since) - time.Duration(l.lastFrame.Load())
}

// enqueue queues a message for the writer. A full queue drops its oldest droppable
// message, or the new one if only that is droppable. If neither is possible, the link
// ends and a QueueFullError is returned.
func (l *link) enqueue(message Message) error {
	dropped, err := l.pending.Push(message)
	if err != nil {
		l.fail(Slow)
		return &QueueFullError{To: l.remote, Cause: err}
	}
	if len(dropped) > 0 {
		l.hub.counters.dropped(dropped)
	}
	return nil
}

// read decodes and dispatches frames until the connection fails or a frame is malformed.
func (l *link) read() {
	for {
		kind, frame, err := l.conn.Read(l.ctx)
		if err != nil {
			l.setReason(reasonOf(err))
			return
		}
		l.recordFrame()
		if kind != websocket.MessageBinary {
			l.fail(Malformed)
			return
		}
		message, err := decode(frame)
		if err != nil {
			l.fail(Malformed)
			return
		}
		l.hub.counters.received(message.Kind(), len(frame))
		l.hub.dispatch(l, message)
	}
}

// reasonOf returns the reason for a read error, by the close code of the remote end.
func reasonOf(err error) Reason {
	switch websocket.CloseStatus(err) {
	case statusReplaced:
		return Replaced
	case statusRetired:
		return Retired
	case websocket.StatusGoingAway:
		return Shutdown
	default:
		return Broken
	}
}

// write writes queued messages and heartbeats until the link ends.
func (l *link) write() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.finishing:
			l.writePending()
			l.closeConn()
			return
		case <-l.pending.Ready():
			l.writePending()
		case <-l.ticker.Chan():
			l.checkAndHeartbeat()
		}
	}
}

func (l *link) writePending() {
	for l.ctx.Err() == nil {
		message, ok := l.pending.Pop()
		if !ok {
			return
		}
		l.writeMessage(message)
	}
}

// checkAndHeartbeat ends the link if it exceeds the silence limit, and otherwise writes a
// heartbeat.
func (l *link) checkAndHeartbeat() {
	if l.silence() >= l.hub.settings.SilenceLimit {
		l.fail(Silent)
		return
	}
	heartbeat := *l.hub.heartbeat.Load()
	l.writeMessage(Message{Sequence: l.hub.sequence.Add(1), Heartbeat: &heartbeat})
}

// writeMessage writes one message, and ends the link if that fails or takes longer than
// the write timeout.
func (l *link) writeMessage(message Message) {
	frame, err := encode(message)
	if err != nil || len(frame) > MaxFrameBytes {
		l.hub.counters.update(func(values *Counters) { values.Oversized++ })
		return
	}
	timer := l.hub.settings.Clock.AfterFunc(l.hub.settings.WriteTimeout, func() { l.fail(Slow) })
	defer timer.Stop()
	if err := l.conn.Write(l.ctx, websocket.MessageBinary, frame); err != nil {
		l.fail(Broken)
		return
	}
	l.hub.counters.sent(message.Kind(), len(frame))
}

// closeConn closes the connection with the code for the reason why the link ends.
func (l *link) closeConn() {
	code := websocket.StatusGoingAway
	switch l.endReason() {
	case Replaced:
		code = statusReplaced
	case Retired:
		code = statusRetired
	}
	_ = l.conn.Close(code, string(l.endReason()))
	l.cancel()
}
