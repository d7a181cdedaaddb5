package endpoint

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// closedForWrites marks a connection that takes no more writes.
const closedForWrites = -1

// conn is a connection that counts the writes begun on it, but for those that
// failed before their first byte.
type conn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *conn) Write(content []byte) (int, error) {
	for {
		count := c.writes.Load()
		if count == closedForWrites {
			return 0, net.ErrClosed
		}
		if c.writes.CompareAndSwap(count, count+1) {
			return c.write(content)
		}
	}
}

func (c *conn) write(content []byte) (int, error) {
	written, err := c.Conn.Write(content)
	if written > 0 || err == nil {
		return written, err
	}
	for {
		count := c.writes.Load()
		if count == closedForWrites || c.writes.CompareAndSwap(count, count-1) {
			return written, err
		}
	}
}

// closeAndCount closes the connection, lets no further write begin, and returns how many
// were begun.
func (c *conn) closeAndCount() int64 {
	count := c.writes.Swap(closedForWrites)
	_ = c.Conn.Close()
	return count
}

// connUse is one connection that a request was given. Before is the count of writes
// begun by earlier requests.
type connUse struct {
	conn         *conn
	writesBefore int64
}

// tracer notes the connections that a request was given.
type tracer struct {
	uses []connUse
}

func (t *tracer) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *tracer) gotConn(info httptrace.GotConnInfo) {
	if assigned, ok := info.Conn.(*conn); ok {
		t.uses = append(t.uses, connUse{conn: assigned, writesBefore: assigned.writes.Load()})
	}
}

// closeConnections closes the connections of a failed request and returns how far it came.
func (t *tracer) closeConnections() Phase {
	if len(t.uses) == 0 {
		return BeforeConnect
	}
	phase := AfterConnect
	for _, used := range t.uses {
		if used.conn.closeAndCount() != used.writesBefore {
			phase = AfterRequestBytes
		}
	}
	return phase
}
