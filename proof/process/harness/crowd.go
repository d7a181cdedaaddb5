package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// CrowdKind is what the clients of a crowd send.
type CrowdKind string

// Kinds of crowds. All of them have a valid API key.
const (
	// ShortLines sends legal heads of many short header lines, whose requests stay open.
	ShortLines CrowdKind = "short_lines"
	// OddLines does the same with repeated names, long names, empty values and bytes beyond
	// ASCII.
	OddLines CrowdKind = "odd_lines"
	// WholeBodies sends complete requests with bodies of the maximum size.
	WholeBodies CrowdKind = "whole_bodies"
	// PiecedBodies sends bodies of the maximum size in pieces and stops one byte short.
	PiecedBodies CrowdKind = "pieced_bodies"
	// StoppedBodies sends all but the last byte of a body of the maximum size.
	StoppedBodies CrowdKind = "stopped_bodies"
	// EndlessChunks sends chunked bodies just below the maximum size, without their end.
	EndlessChunks CrowdKind = "endless_chunks"
	// LargeHeads sends heads beyond the maximum size.
	LargeHeads CrowdKind = "large_heads"
	// EndlessHeads sends header lines until its connection is closed.
	EndlessHeads CrowdKind = "endless_heads"
	// ManyMessages sends complete chat completions of the maximum size with very many empty
	// messages. It is not among CrowdKinds, since only the router parses bodies.
	ManyMessages CrowdKind = "many_messages"
	// EmptyLines sends empty lines before a request until its connection is closed.
	EmptyLines CrowdKind = "empty_lines"
)

// CrowdKinds returns all kinds.
func CrowdKinds() []CrowdKind {
	return []CrowdKind{
		ShortLines, OddLines, WholeBodies, PiecedBodies, StoppedBodies, EndlessChunks, LargeHeads, EndlessHeads, EmptyLines,
	}
}

// Crowd is a set of clients that do not keep to the rules of ordinary callers.
type Crowd struct {
	// Address is where the clients connect.
	Address string
	Kinds   []CrowdKind
	// Clients is the number of clients of each kind.
	Clients int
	// Attempts is the number of connections that each client opens one after another. The
	// last one stays open until the router closes it or the crowd leaves.
	Attempts int
	// MaxBodyBytes and MaxHeaderBytes are the limits of the router.
	MaxBodyBytes   int
	MaxHeaderBytes int

	arrived sync.WaitGroup
	left    sync.WaitGroup
	leave   context.CancelFunc
}

// Limits of a client of a crowd.
const (
	// endlessBytes is what a client without end sends at most.
	endlessBytes = 2 << 20
	// pieceBytes is the size of the pieces of a body.
	pieceBytes = 4 << 10
	// crowdWriteTimeout is how long a client waits for a router that does not read.
	crowdWriteTimeout = 5 * time.Second
	// crowdReadTimeout is how long a client waits for the end of a connection before it
	// opens the next one.
	crowdReadTimeout = 500 * time.Millisecond
)

// Start starts all clients, and waits until each has sent what it sends.
func (c *Crowd) Start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c.leave = cancel
	t.Cleanup(c.Leave)
	for _, kind := range c.Kinds {
		for range c.Clients {
			c.arrived.Add(1)
			c.left.Go(func() { c.runClient(ctx, kind) })
		}
	}
	c.arrived.Wait()
}

// Leave closes all connections and waits for the clients.
func (c *Crowd) Leave() {
	c.leave()
	c.left.Wait()
}

// runClient opens the connections of one client.
func (c *Crowd) runClient(ctx context.Context, kind CrowdKind) {
	for attempt := 1; attempt < c.Attempts; attempt++ {
		if connection := c.send(ctx, kind); connection != nil {
			awaitEnd(ctx, connection, crowdReadTimeout)
		}
	}
	connection := c.send(ctx, kind)
	c.arrived.Done()
	if connection != nil {
		awaitEnd(ctx, connection, 0)
	}
}

// send opens a connection and sends what the kind sends. It returns nil without a
// connection.
func (c *Crowd) send(ctx context.Context, kind CrowdKind) net.Conn {
	dialer := &net.Dialer{Timeout: crowdWriteTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil
	}
	_ = connection.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	// The router may end the connection at any point.
	_ = c.write(connection, kind)
	return connection
}

// SendWhole sends one request of the kind with the rest of its body, which the kind does not
// send, and returns the status of the response.
func (c *Crowd) SendWhole(ctx context.Context, kind CrowdKind, rest string) (int, error) {
	dialer := &net.Dialer{Timeout: crowdWriteTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(requestTimeout))
	if err := c.write(connection, kind); err != nil {
		return 0, err
	}
	if err := writeAll(connection, rest); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// awaitEnd discards what arrives until the connection ends, the limit has passed, or the
// context ends, and closes the connection. A limit of zero is none.
func awaitEnd(ctx context.Context, connection net.Conn, limit time.Duration) {
	if limit > 0 {
		_ = connection.SetReadDeadline(time.Now().Add(limit))
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, connection)
	_ = connection.Close()
}

// write sends what the kind sends.
func (c *Crowd) write(connection io.Writer, kind CrowdKind) error {
	switch kind {
	case ShortLines:
		return c.writeLines(connection, func(number int) string { return fmt.Sprintf("%x:\r\n", 0x100+number) })
	case OddLines:
		return c.writeLines(connection, oddLine)
	case WholeBodies:
		return writeAll(connection, c.lengthHead(), strings.Repeat("x", c.MaxBodyBytes))
	case StoppedBodies:
		return writeAll(connection, c.lengthHead(), strings.Repeat("x", c.MaxBodyBytes-1))
	case PiecedBodies:
		return c.writePieces(connection)
	case EndlessChunks:
		return c.writeChunks(connection)
	case ManyMessages:
		return writeAll(connection, c.chatOfManyMessages())
	case LargeHeads:
		return writeAll(connection, head("X-Large: "+strings.Repeat("x", 2*c.MaxHeaderBytes)+"\r\n")+"\r\n")
	case EndlessHeads:
		return writeEndless(connection, head(""), func(number int) string { return fmt.Sprintf("x-%d: y\r\n", number) })
	default:
		return writeEndless(connection, "", func(int) string { return "\r\n" })
	}
}

// head returns the start of a head: request line, host, key and the lines.
func head(lines string) string {
	return "POST /services/balance/balance/crowd HTTP/1.1\r\nHost: hall\r\nAuthorization: Bearer " + HallKey + "\r\n" + lines
}

func (c *Crowd) lengthHead() string {
	return head(fmt.Sprintf("Content-Length: %d\r\n\r\n", c.MaxBodyBytes))
}

// CrowdLinesBodyBytes is the announced length of the bodies of ShortLines and OddLines.
const CrowdLinesBodyBytes = 16

// chatOfManyMessages returns a chat completion whose body has the maximum size.
func (c *Crowd) chatOfManyMessages() string {
	const start, end = `{"model":"small","max_tokens":1,"messages":[`, `0]}`
	count := (c.MaxBodyBytes - len(start) - len(end)) / len("0,")
	body := start + strings.Repeat("0,", count) + end
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: hall\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		HallKey, len(body), body)
}

// headMargin is left free in a legal head for the lines beside those of the crowd.
const headMargin = 512

// writeLines sends a legal head that the lines fill, and no body.
func (c *Crowd) writeLines(connection io.Writer, line func(number int) string) error {
	var lines strings.Builder
	for number := 0; lines.Len() < c.MaxHeaderBytes-headMargin; number++ {
		lines.WriteString(line(number))
	}
	return writeAll(connection, head(lines.String()+fmt.Sprintf("Content-Length: %d\r\n\r\n", CrowdLinesBodyBytes)))
}

// oddLine returns a header line of one of four unusual forms.
func oddLine(number int) string {
	switch number % 4 {
	case 0:
		return "X-Repeated: a\r\n"
	case 1:
		return fmt.Sprintf("x-%s-%d: y\r\n", strings.Repeat("long-", 12), number)
	case 2:
		return fmt.Sprintf("!#$%%&'*+.^_`|~%d:\t \r\n", number)
	default:
		return fmt.Sprintf("q%d: \xc3\xa9\xff\xfe\r\n", number)
	}
}

func (c *Crowd) writePieces(connection io.Writer) error {
	if err := writeAll(connection, c.lengthHead()); err != nil {
		return err
	}
	piece := strings.Repeat("x", pieceBytes)
	for sent := 0; sent < c.MaxBodyBytes-1; sent += len(piece) {
		piece = piece[:min(len(piece), c.MaxBodyBytes-1-sent)]
		if err := writeAll(connection, piece); err != nil {
			return err
		}
	}
	return nil
}

func (c *Crowd) writeChunks(connection io.Writer) error {
	if err := writeAll(connection, head("Transfer-Encoding: chunked\r\n\r\n")); err != nil {
		return err
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
	for sent := 0; sent+pieceBytes < c.MaxBodyBytes; sent += pieceBytes {
		if err := writeAll(connection, chunk); err != nil {
			return err
		}
	}
	return nil
}

// writeEndless sends lines up to endlessBytes.
func writeEndless(connection io.Writer, start string, line func(number int) string) error {
	if err := writeAll(connection, start); err != nil {
		return err
	}
	for number, sent := 0, 0; sent < endlessBytes; {
		var lines strings.Builder
		for lines.Len() < pieceBytes {
			lines.WriteString(line(number))
			number++
		}
		if err := writeAll(connection, lines.String()); err != nil {
			return err
		}
		sent += lines.Len()
	}
	return nil
}

func writeAll(connection io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(connection, text); err != nil {
			return err
		}
	}
	return nil
}
