package peer_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy forwards TCP connections to its target. It can refuse or hold connections, and
// drop their bytes without closing them, as a network device does that has lost the state
// of the connection.
type proxy struct {
	address  string
	target   string
	listener net.Listener
	// accepted gets a signal for each accepted connection.
	accepted chan struct{}
	// dropped gets a signal for each read whose bytes were dropped.
	dropped chan struct{}

	mu      sync.Mutex
	refused bool
	// held is closed to release held connections. It is nil if none are held.
	held        chan struct{}
	connections []*droppedDirections
	// conns holds both ends of all connections, to close them.
	conns []net.Conn
}

// droppedDirections is whether the proxy drops the bytes of each direction of a
// connection.
type droppedDirections struct {
	toTarget, toDialer atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: got %v, want no error", err)
	}
	started := &proxy{
		address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		accepted: make(chan struct{}, 64),
		dropped:  make(chan struct{}, 64),
	}
	var group sync.WaitGroup
	group.Go(func() { started.serve(&group) })
	t.Cleanup(func() {
		_ = listener.Close()
		started.closeAll()
		group.Wait()
	})
	return started
}

func (p *proxy) serve(group *sync.WaitGroup) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		signal(p.accepted)
		group.Go(func() { p.handle(conn) })
	}
}

func (p *proxy) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.mu.Lock()
	refused, held := p.refused, p.held
	p.conns = append(p.conns, conn)
	p.mu.Unlock()
	if refused {
		return
	}
	if held != nil {
		<-held
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	p.connect(conn, out)
}

func (p *proxy) connect(conn, out net.Conn) {
	directions := &droppedDirections{}
	p.mu.Lock()
	p.connections = append(p.connections, directions)
	p.conns = append(p.conns, out)
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copyBytes(out, conn, &directions.toTarget) })
	group.Go(func() { p.copyBytes(conn, out, &directions.toDialer) })
	group.Wait()
}

// copyBytes copies until the source ends. The end of a dropped direction isn't forwarded
// either.
func (p *proxy) copyBytes(to, from net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if drop.Load() {
			signal(p.dropped)
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if !drop.Load() {
		_ = to.Close()
	}
	_, _ = io.Copy(io.Discard, from)
}

// dropBytes sets the directions in which the bytes of the current connections are dropped.
func (p *proxy) dropBytes(toTarget, toDialer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, directions := range p.connections {
		directions.toTarget.Store(toTarget)
		directions.toDialer.Store(toDialer)
	}
}

func (p *proxy) refuse(refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = refused
}

// hold accepts new connections but connects them to the target only after release.
func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = make(chan struct{})
}

func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.held)
	p.held = nil
}

func signal(events chan struct{}) {
	select {
	case events <- struct{}{}:
	default:
	}
}

func awaitSignal(t *testing.T, what string, events <-chan struct{}) {
	t.Helper()
	select {
	case <-events:
	case <-time.After(testTimeout):
		t.Fatalf("%s: got none, want one", what)
	}
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
