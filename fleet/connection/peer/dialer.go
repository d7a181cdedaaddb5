package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

// dialer keeps a link to one address for as long as it is a target.
type dialer struct {
	hub    *Hub
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	target  member.Member
	remote  ident.Incarnation
	current *link
	retired bool
}

func (h *Hub) newDialer(target member.Member) *dialer {
	ctx, cancel := context.WithCancel(h.ctx)
	return &dialer{
		hub:    h,
		ctx:    ctx,
		cancel: cancel,
		target: target,
		remote: target.Incarnation,
	}
}

// run dials again and again until the target is retired.
func (d *dialer) run() {
	backoff := d.hub.settings.MinBackoff
	for d.waitUntilNeeded() {
		if d.dial() {
			backoff = d.hub.settings.MinBackoff
		}
		if !d.waitBackoff(backoff) {
			return
		}
		backoff = min(2*backoff, d.hub.settings.MaxBackoff)
	}
}

// waitUntilNeeded blocks while a link to the target stands.
func (d *dialer) waitUntilNeeded() bool {
	for {
		linked, changed := d.hub.linked(d.remoteIncarnation())
		if !linked {
			return d.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-d.ctx.Done():
			return false
		}
	}
}

func (d *dialer) waitBackoff(backoff time.Duration) bool {
	timer := d.hub.settings.Clock.NewTimer(d.hub.settings.Jitter(backoff))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-d.ctx.Done():
		return false
	}
}

// dial makes one link, carries it to its end and reports whether it came up.
func (d *dialer) dial() bool {
	dialled, hello, err := d.connect()
	if err == nil {
		err = d.hub.register(dialled, hello)
	}
	if err != nil {
		d.reportFailure(dialled, err)
		return false
	}
	d.setLink(dialled)
	d.hub.unregister(dialled, dialled.run())
	d.setLink(nil)
	return true
}

// connect opens a connection and runs the handshake on it. A target retired
// meanwhile is linked and then retired, so that its far end suspects nothing.
func (d *dialer) connect() (*link, Hello, error) {
	ctx, cancel := d.hub.withTimeout(d.hub.ctx, d.hub.settings.HandshakeTimeout, "handshake")
	defer cancel()
	address := d.address()
	options := &websocket.DialOptions{
		HTTPClient:      d.hub.settings.Client,
		CompressionMode: websocket.CompressionDisabled,
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, options)
	if err != nil {
		return nil, Hello{}, errors.Trace(err)
	}
	conn.SetReadLimit(MaxFrameBytes)
	dialled, hello, err := d.handshake(ctx, conn, address)
	if err != nil {
		_ = conn.CloseNow()
	}
	return dialled, hello, err
}

func (d *dialer) handshake(ctx context.Context, conn *websocket.Conn, address string) (*link, Hello, error) {
	remote, err := d.hub.dialerHandshake(ctx, conn, address)
	if remote != "" {
		d.setRemote(remote)
	}
	if err != nil {
		return nil, Hello{}, errors.Trace(err)
	}
	if err := d.hub.sendHello(ctx, conn); err != nil {
		return nil, Hello{}, errors.Trace(err)
	}
	hello, err := d.hub.readHello(ctx, conn, remote)
	if err != nil {
		return nil, Hello{}, errors.Trace(err)
	}
	dialled := d.hub.newLink(conn, remote, true)
	dialled.address = address
	return dialled, hello, nil
}

// reportFailure reports a dial that made no link.
func (d *dialer) reportFailure(dialled *link, err error) {
	if dialled != nil {
		dialled.release()
	}
	var self *SelfDialError
	var duplicate *DuplicateLinkError
	if errors.As(err, &self) || errors.As(err, &duplicate) || d.ctx.Err() != nil {
		return
	}
	if websocket.CloseStatus(err) == statusReplaced {
		return
	}
	d.hub.counters.update(func(read *Counters) { read.FailedDials++ })
	d.hub.settings.Receiver.DialFailed(d.currentTarget(), err)
}

// setLink notes the link that this dialer carries.
func (d *dialer) setLink(current *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = current
	if current != nil && d.retired {
		current.finish(Retired)
	}
}

// retire ends the dialer and its link.
func (d *dialer) retire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retired = true
	d.cancel()
	if d.current != nil {
		d.current.finish(Retired)
	}
}

// setTarget takes a newer record of the target.
func (d *dialer) setTarget(target member.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target.Incarnation != d.target.Incarnation && target.Incarnation != "" {
		d.remote = target.Incarnation
	}
	d.target = target
}

// setRemote notes which process answered at the address.
func (d *dialer) setRemote(remote ident.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remote = remote
}

func (d *dialer) currentTarget() member.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.target
}

func (d *dialer) address() string {
	return d.currentTarget().PeerAddress
}

func (d *dialer) remoteIncarnation() ident.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remote
}
