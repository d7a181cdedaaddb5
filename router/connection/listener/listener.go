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
	"time"

	"github.com/juju/errors"
)

// Limits bounds the connections of a listener. A timeout of zero means no timeout, and
// MaxHeaderBytes of zero means the default of net/http.
type Limits struct {
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	IdleTimeout       time.Duration
}

// Listener is one open socket and its server.
type Listener struct {
	socket net.Listener
	server *http.Server
}

// Open listens on the address, which is an IP address and a port. Connections are served
// after Serve is called.
func Open(address string, limits Limits, handler http.Handler) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
	}
	return &Listener{socket: socket, server: server}, nil
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
// complete or the context ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return l.server.Shutdown(ctx)
}

// Close closes the socket and all connections at once.
func (l *Listener) Close() error {
	return l.server.Close()
}
