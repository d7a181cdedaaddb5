package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// silenceableListener accepts connections that can go silent: nothing arrives on them any
// more in either direction, and neither end is told. New connections work.
type silenceableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silenceableConn
}

func (l *silenceableListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silenceableConn{Conn: accepted, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	l.mu.Unlock()
	return conn, nil
}

// silence makes all present connections silent and returns their number.
func (l *silenceableListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, conn := range l.conns {
		select {
		case <-conn.closed:
		default:
			conn.silent.Store(true)
			count++
		}
	}
	return count
}

type silenceableConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *silenceableConn) Read(content []byte) (int, error) {
	count, err := c.Conn.Read(content)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *silenceableConn) Write(content []byte) (int, error) {
	if c.silent.Load() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Close keeps the socket of a silent connection open, so that its peer is not told.
func (c *silenceableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
