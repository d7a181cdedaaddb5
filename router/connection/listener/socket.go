package listener

import (
	"net"
	"os"
	"sync"
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
	limits *Limits
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

func newSocket(inner net.Listener, limits *Limits) *socket {
	return &socket{
		Listener:   inner,
		limits:     limits,
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

// Accept implements net.Listener. It is called by one goroutine. A connection for which
// there is no room is closed.
func (s *socket) Accept() (net.Conn, error) {
	for {
		accepted, err := s.acceptNext()
		if err != nil {
			return nil, err
		}
		if s.admit(accepted) {
			return accepted, nil
		}
	}
}

// admit finds room for a connection, and closes the one that it replaces, or itself.
func (s *socket) admit(accepted *trackedConn) bool {
	if s.limits.Connections == nil {
		return true
	}
	replaced, ok := s.limits.Connections.admit(accepted)
	if !ok {
		s.limits.refused(NoConnection)
		_ = accepted.Close()
		return false
	}
	if replaced != nil {
		s.limits.refused(Replaced)
		_ = replaced.Conn.Close()
	}
	return true
}

// acceptNext returns the next connection.
func (s *socket) acceptNext() (*trackedConn, error) {
	if s.isStopping() {
		s.setDeadline()
	}
	accepted, err := s.Listener.Accept()
	if err == nil {
		return newTrackedConn(accepted, s.limits), nil
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
