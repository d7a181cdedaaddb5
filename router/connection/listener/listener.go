// Package listener opens the sockets on which a process serves HTTP, with limits for
// each connection.
//
// # Usage
//
//	callers, err := listener.Open("127.0.0.11:7070", limits, handler)
//	go callers.Serve()
//	defer callers.Close()
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/buffer"
)

// Limits bounds the connections of a listener. A timeout of zero means no timeout, and
// MaxHeaderBytes of zero means the default of net/http.
type Limits struct {
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	IdleTimeout       time.Duration
	// MaxHeaderLines is the maximum number of lines of a head. It applies with Memory.
	MaxHeaderLines int
	// Memory accounts for the heads and bodies of requests. Nil is no bound.
	Memory *buffer.Receiver
	// Connections bounds the number of connections. It requires Memory. Nil is no bound.
	Connections *Gate
	// Refused, if set, is called for each connection that is refused or replaced.
	Refused func(reason Reason)
}

func (l *Limits) refused(reason Reason) {
	if l.Refused != nil {
		l.Refused(reason)
	}
}

// Listener is one open socket and its server.
type Listener struct {
	socket *socket
	server *http.Server
	// stop stops the socket once.
	stop sync.Once
	// unread is the number of connections whose first request was not read yet.
	unread atomic.Int64
}

// EstablishedTime is how long after the start of Shutdown requests on established
// connections may still be taken.
const EstablishedTime = stopLimit + unreadLimit

// Waits of Shutdown for the first requests of new connections, which net/http drops if
// they are read after its own Shutdown has begun.
const (
	unreadLimit = 250 * time.Millisecond
	unreadPoll  = 5 * time.Millisecond
)

// Open listens on the address, which is an IP address and a port. Connections are served
// after Serve is called.
func Open(address string, limits Limits, handler http.Handler) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	server := &http.Server{
		Handler:           completeHead(handler),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
	}
	opened := &Listener{socket: newSocket(inner, &limits), server: server}
	server.ConnState = opened.followState
	server.ConnContext = withConn
	return opened, nil
}

// Address returns the IP address and port of the socket.
func (l *Listener) Address() string {
	return l.socket.Addr().String()
}

// Serve serves connections until Shutdown or Close, after which it returns nil.
func (l *Listener) Serve() error {
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// Shutdown stops accepting connections and waits until the requests in progress are
// complete or the context ends. Requests on connections that the kernel has already
// established are served too.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.stop.Do(l.socket.stop)
	l.waitForFirstRequests(ctx)
	return l.server.Shutdown(ctx)
}

// followState follows the state of a connection. A connection is new until its first
// request was read or it is closed.
func (l *Listener) followState(connection net.Conn, state http.ConnState) {
	accepted, ok := connection.(*trackedConn)
	if ok {
		accepted.follow(state)
	}
	switch state {
	case http.StateNew:
		l.unread.Add(1)
	case http.StateActive, http.StateClosed, http.StateHijacked:
		if ok && accepted.read.CompareAndSwap(false, true) {
			l.unread.Add(-1)
		}
	}
}

// waitForFirstRequests waits until the first request of each accepted connection was
// read, at most for unreadLimit, since a caller may open a connection and send nothing.
func (l *Listener) waitForFirstRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unreadLimit)
	defer cancel()
	poll := time.NewTicker(unreadPoll)
	defer poll.Stop()
	for l.unread.Load() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes the socket and all connections at once.
func (l *Listener) Close() error {
	return l.server.Close()
}
