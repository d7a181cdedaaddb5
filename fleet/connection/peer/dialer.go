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

// dialer maintains a link to one peer address for as long as it is a target.
type dialer struct {
	hub    *Hub
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	target member.Member
	// remote is the process at the address: that of the target at first, then the one
	// that answered the handshake.
	remote ident.Incarnation
	// current is the link that this dialer opened, or nil if none is up.
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

// run dials whenever no link to the target is up, with exponential backoff, until the
// target is retired.
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

// waitUntilNeeded blocks while a link to the target is up. It returns false if the
// dialer was retired.
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

// waitBackoff waits for the backoff with jitter. It returns false if the dialer was
// retired.
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

// dial connects, runs the link until it ends and reports whether it came up.
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

// connect opens a connection and runs the handshake on it. Retiring the target doesn't
// cancel this: the link is closed as retired once it is up, so that the process at the
// other end doesn't suspect this one.
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

// handshake runs the dialer's side of the handshake, including the hellos.
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

// reportFailure counts a dial that led to no link and reports it to the receiver, unless
// the address is the process's own, another link is preferred or the target is retired.
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
	d.hub.counters.update(func(values *Counters) { values.FailedDials++ })
	d.hub.settings.Receiver.DialFailed(d.currentTarget(), err)
}

// setLink stores the link that this dialer opened, or nil after its end. It ends the link
// if the target was retired meanwhile.
func (d *dialer) setLink(current *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = current
	if current != nil && d.retired {
		current.finish(Retired)
	}
}

// retire stops the dialer and ends its link.
func (d *dialer) retire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retired = true
	d.cancel()
	if d.current != nil {
		d.current.finish(Retired)
	}
}

// setTarget replaces the record of the target, which has the same peer address.
func (d *dialer) setTarget(target member.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target.Incarnation != d.target.Incarnation && target.Incarnation != "" {
		d.remote = target.Incarnation
	}
	d.target = target
}

// setRemote stores the incarnation of the process that answered at the address.
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
