package endpoint

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// sealed marks a connection that takes no more writes.
const sealed = -1

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
		if count == sealed {
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
		if count == sealed || c.writes.CompareAndSwap(count, count-1) {
			return written, err
		}
	}
}

// seal closes the connection, lets no further write begin, and returns how many
// were begun.
func (c *conn) seal() int64 {
	count := c.writes.Swap(sealed)
	_ = c.Conn.Close()
	return count
}

// use is one connection that a request was given. Before is the count of writes
// begun by earlier requests.
type use struct {
	conn   *conn
	before int64
}

// tracer notes the connections that a request was given.
type tracer struct {
	uses []use
}

func (t *tracer) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *tracer) gotConn(info httptrace.GotConnInfo) {
	if given, ok := info.Conn.(*conn); ok {
		t.uses = append(t.uses, use{conn: given, before: given.writes.Load()})
	}
}

// end closes the connections of a failed request and returns how far it came.
func (t *tracer) end() Phase {
	if len(t.uses) == 0 {
		return BeforeConnect
	}
	moment := AfterConnect
	for _, used := range t.uses {
		if used.conn.seal() != used.before {
			moment = AfterRequestBytes
		}
	}
	return moment
}
