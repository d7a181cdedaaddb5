package listener

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// acceptIdle is the time without a new connection after which a stopping socket
	// closes.
	acceptIdle = 5 * time.Millisecond
	// stopLimit bounds the time in which a stopping socket accepts connections.
	stopLimit = 250 * time.Millisecond
)

// socket is a listener that can stop without losing connections. The kernel establishes
// connections before they are accepted, so that callers may already have sent requests on
// those that are reset when the socket closes.
type socket struct {
	net.Listener
	// stopping is closed when the socket is to accept only what the kernel has
	// established.
	stopping chan struct{}
	// stopped is closed once nothing more is accepted after that.
	stopped chan struct{}
	// closed is closed by Close.
	closed chan struct{}
	// closeInner closes the inner listener at its first call.
	closeInner func() error
	closeOnce  sync.Once
}

// trackedConn is an accepted connection.
type trackedConn struct {
	net.Conn
	// read is set once the first request was read or the connection is closed.
	read atomic.Bool
}

func newSocket(inner net.Listener) *socket {
	return &socket{
		Listener:   inner,
		stopping:   make(chan struct{}),
		stopped:    make(chan struct{}),
		closed:     make(chan struct{}),
		closeInner: sync.OnceValue(inner.Close),
	}
}

// deadliner is a listener whose Accept has a deadline, such as a TCP listener.
type deadliner interface {
	SetDeadline(deadline time.Time) error
}

// stop accepts the established connections, closes the socket and waits for both, at most
// for stopLimit. Until Close is called, Accept waits after that.
func (s *socket) stop() {
	close(s.stopping)
	s.setDeadline()
	limit := time.NewTimer(stopLimit)
	defer limit.Stop()
	select {
	case <-s.stopped:
	case <-limit.C:
		_ = s.closeInner()
	}
}

func (s *socket) setDeadline() {
	if socket, ok := s.Listener.(deadliner); ok {
		_ = socket.SetDeadline(time.Now().Add(acceptIdle))
	}
}

func (s *socket) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener. It is called by one goroutine.
func (s *socket) Accept() (net.Conn, error) {
	if s.isStopping() {
		s.setDeadline()
	}
	accepted, err := s.Listener.Accept()
	if err == nil {
		return &trackedConn{Conn: accepted}, nil
	}
	if !s.isStopping() {
		return nil, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		_ = s.closeInner()
		close(s.stopped)
		<-s.closed
		err = net.ErrClosed
	}
	return nil, err
}

// Close implements net.Listener.
func (s *socket) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.closeInner()
}
