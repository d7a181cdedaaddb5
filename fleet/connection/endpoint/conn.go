package endpoint

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// closedForWrites is the value of conn.writes after which no write may start.
const closedForWrites = -1

// conn is a connection that counts the started writes. A write that fails before its
// first byte is not counted.
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

// closeAndCount closes the connection, prevents further writes and returns the number of
// writes that were started.
func (c *conn) closeAndCount() int64 {
	count := c.writes.Swap(closedForWrites)
	_ = c.Conn.Close()
	return count
}

// connUse is the use of a connection by one request.
type connUse struct {
	conn *conn
	// writesBefore is the number of writes that earlier requests started on the connection.
	writesBefore int64
}

// tracer records the connections that net/http assigned to a request. If no write was
// started on any of them for the request, no byte of it can have reached the endpoint.
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

// closeConnections closes the connections of a failed request and returns how far the
// request had progressed.
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
