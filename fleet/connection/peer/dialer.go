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
		if !d.pause(backoff) {
			return
		}
		backoff = min(2*backoff, d.hub.settings.MaxBackoff)
	}
}

// waitUntilNeeded blocks while a link to the target stands.
func (d *dialer) waitUntilNeeded() bool {
	for {
		linked, changed := d.hub.linked(d.far())
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

func (d *dialer) pause(backoff time.Duration) bool {
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
	made, hello, err := d.connect()
	if err == nil {
		err = d.hub.admit(made, hello)
	}
	if err != nil {
		d.lost(made, err)
		return false
	}
	d.hold(made)
	d.hub.drop(made, made.run())
	d.hold(nil)
	return true
}

// connect opens a connection and runs the handshake on it. A target retired
// meanwhile is linked and then retired, so that its far end suspects nothing.
func (d *dialer) connect() (*link, Hello, error) {
	ctx, cancel := d.hub.within(d.hub.ctx, d.hub.settings.HandshakeTimeout, "handshake")
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
	made, hello, err := d.introduce(ctx, conn, address)
	if err != nil {
		_ = conn.CloseNow()
	}
	return made, hello, err
}

func (d *dialer) introduce(ctx context.Context, conn *websocket.Conn, address string) (*link, Hello, error) {
	remote, err := d.hub.prove(ctx, conn, address)
	if remote != "" {
		d.found(remote)
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
	made := d.hub.newLink(conn, remote, true)
	made.address = address
	return made, hello, nil
}

// lost reports a dial that made no link.
func (d *dialer) lost(made *link, err error) {
	if made != nil {
		made.discard()
	}
	var self *SelfDialError
	var duplicate *DuplicateLinkError
	if errors.As(err, &self) || errors.As(err, &duplicate) || d.ctx.Err() != nil {
		return
	}
	if websocket.CloseStatus(err) == statusReplaced {
		return
	}
	d.hub.counters.change(func(read *Counters) { read.FailedDials++ })
	d.hub.settings.Receiver.DialFailed(d.aim(), err)
}

// hold notes the link that this dialer carries.
func (d *dialer) hold(current *link) {
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

// aimAt takes a newer record of the target.
func (d *dialer) aimAt(target member.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target.Incarnation != d.target.Incarnation && target.Incarnation != "" {
		d.remote = target.Incarnation
	}
	d.target = target
}

// found notes which process answered at the address.
func (d *dialer) found(remote ident.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remote = remote
}

func (d *dialer) aim() member.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.target
}

func (d *dialer) address() string {
	return d.aim().PeerAddress
}

func (d *dialer) far() ident.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remote
}
