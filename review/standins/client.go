package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	attempt   string
	sentAt    time.Time
	endedAt   time.Time
	status    int
	signature string
	header    http.Header
	body      string
	// whole is true if the answer was complete.
	whole bool
	// err is why there is no complete answer.
	err error
}

func newAttempt() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// client keeps one connection to a router.
type client struct {
	router string
	log    *recorder
	conn   net.Conn
	reader *bufio.Reader
}

// request is what a client sends.
type request struct {
	method   string
	path     string
	key      string
	body     string
	deadline time.Duration
	// usage and parts are sent if they are not empty.
	usage string
	parts string
}

// send sends one attempt and reads its answer.
func (c *client) send(r request) answer {
	result := answer{attempt: newAttempt(), sentAt: time.Now()}
	defer func() {
		result.endedAt = time.Now()
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.router, time.Second)
		if err != nil {
			result.err = err
			c.log.printf("%s could not be sent to %s: %v", result.attempt, c.router, err)
			return result
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, hostName, result.attempt, r.deadline.Milliseconds(), r.key)
	if r.usage != "" {
		fmt.Fprintf(&text, "Model: m\r\nToken-Usage: %s\r\nPrefix-Hash: %s\r\n", r.usage, r.parts)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n" + r.body)
	c.log.printf("%s is sent to %s: %s %s %s", result.attempt, c.router, r.method, r.path, r.body)
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		result.err = err
		c.drop()
		c.log.printf("%s could not be sent: %v", result.attempt, err)
		return result
	}
	c.receive(&result)
	return result
}

func (c *client) receive(result *answer) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		result.err = err
		c.drop()
		c.log.printf("%s: the client gets no answer: %v", result.attempt, err)
		return
	}
	result.status = response.StatusCode
	result.header = response.Header
	result.signature = response.Header.Get("Server-Signature")
	body, err := io.ReadAll(response.Body)
	result.body = string(body)
	result.whole, result.err = err == nil, err
	if err != nil || response.Close {
		c.drop()
	}
	c.log.printf("%s: the client gets %d, signature %q, whole %t, body of %d bytes %.40q", result.attempt, result.status, result.signature, result.whole, len(body), result.body)
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
