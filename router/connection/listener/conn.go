package listener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/head"
	"jacinthpaddle.example/fleet/process/buffer"
)

// Memory that net/http needs for a head, in relation to what is sent.
const (
	memoryPerHeadByte = 4
	memoryPerHeadLine = 128
)

// Bounds on what is read from a connection after its refusal, so that the caller gets
// the response before the connection is reset.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Reason is why a connection was refused or closed.
type Reason string

// Reasons.
const (
	// NoConnection means that the maximum number of connections was reached.
	NoConnection Reason = "no_connection"
	// Replaced means that an idle or stalled connection made room for a new one.
	Replaced Reason = "replaced"
	// HeaderLines means that a head had too many lines.
	HeaderLines Reason = "header_lines"
	// NoMemory means that there was no memory for a head.
	NoMemory Reason = "no_memory"
)

// trackedConn is an accepted connection.
type trackedConn struct {
	net.Conn
	limits  *Limits
	address string
	intake  *buffer.Intake
	// read is set once the first request was read or the connection is closed.
	read atomic.Bool
	// inHead is set until the head of a request was parsed. It and scanner belong to the
	// goroutine that reads.
	inHead  bool
	scanner head.Scanner
	closed  sync.Once
}

func newTrackedConn(accepted net.Conn, limits *Limits) *trackedConn {
	connection := &trackedConn{Conn: accepted, limits: limits, address: hostOf(accepted.RemoteAddr()), inHead: true}
	if limits.Memory != nil {
		connection.intake = limits.Memory.Open(connection.address, func() {
			_ = accepted.SetReadDeadline(time.Unix(0, 1))
		})
	}
	return connection
}

// Read implements net.Conn. It counts what a head occupies before net/http parses it.
func (c *trackedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if c.intake == nil || count == 0 {
		return count, err
	}
	if !c.inHead {
		c.scanner.Body(data[:count])
		return count, err
	}
	if refused := c.countHead(data[:count]); refused != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: refused}
	}
	return count, err
}

// countHead takes memory for a part of a head. It responds to the caller and returns an
// error if the head cannot be read.
func (c *trackedConn) countHead(data []byte) error {
	lines, bytes := c.scanner.Head(data)
	if maximum := c.limits.MaxHeaderLines; maximum > 0 && c.scanner.Lines > maximum {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, HeaderLines)
		return fmt.Errorf("head has more than %d lines", maximum)
	}
	err := c.intake.Grow(int64(memoryPerHeadByte*bytes + memoryPerHeadLine*lines))
	var full *buffer.FullError
	if errors.As(err, &full) {
		c.refuse(http.StatusServiceUnavailable, NoMemory)
	}
	return err
}

// refuse responds to a request whose head was not read. No handler runs at that time, so
// that nothing else is written.
func (c *trackedConn) refuse(status int, reason Reason) {
	c.limits.refused(reason)
	deadline := time.Now().Add(lingerTime)
	_ = c.SetDeadline(deadline)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), retry)
	if err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// CloseWrite is called by net/http before it waits for the caller to read a last
// response. Such a connection can be replaced.
func (c *trackedConn) CloseWrite() error {
	if c.intake != nil {
		c.intake.Reset()
	}
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.leave()
	return c.Conn.Close()
}

// leave returns the memory and the place of the connection.
func (c *trackedConn) leave() {
	c.closed.Do(func() {
		if c.limits.Connections != nil {
			c.limits.Connections.leave(c)
		}
		if c.intake != nil {
			c.intake.Close()
		}
	})
}

// follow notes a change of the state.
func (c *trackedConn) follow(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead = false
	case http.StateIdle:
		c.inHead = true
		c.scanner.Begin()
		if c.intake != nil {
			c.intake.Reset()
		}
	case http.StateHijacked:
		c.inHead = false
		c.leave()
	}
}

// withConn returns the context for the requests of the connection.
func withConn(ctx context.Context, connection net.Conn) context.Context {
	tracked, ok := connection.(*trackedConn)
	if !ok || tracked.intake == nil {
		return ctx
	}
	return buffer.WithIntake(ctx, tracked.intake)
}

// completeHead aborts a request whose connection was revoked while its head arrived.
func completeHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if intake := buffer.IntakeFrom(request.Context()); intake != nil && intake.Complete() != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, request)
	})
}
