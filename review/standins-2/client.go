package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	Status int
	Signed bool
	Body   string
	// Whole is set if the answer ended as the protocol says.
	Whole bool
	Took  time.Duration
	Err   error
	Head  http.Header
}

// connection is a kept connection of a client.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	opened, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: opened, reader: bufio.NewReader(opened)}, nil
}

// request is one client attempt.
type request struct {
	Method, Path, ID, Key string
	Deadline              time.Duration
	Header                []string
	Body                  string
}

func (r request) head(host string) string {
	lines := []string{fmt.Sprintf("%s %s HTTP/1.1", r.Method, r.Path), "Host: " + host, "Attempt-Id: " + r.ID,
		fmt.Sprintf("Deadline-Ms: %d", r.Deadline.Milliseconds())}
	if r.Key != "" {
		lines = append(lines, "Authorization: Bearer "+r.Key)
	}
	lines = append(lines, r.Header...)
	if r.Method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.Body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// do sends one request on the connection and reads its answer. It waits half a second
// longer than the deadline.
func (c *connection) do(host string, sent request) answer {
	record.line("request %s (%s %s) sent", sent.ID, sent.Method, sent.Path)
	return c.note(sent, c.send(host, sent))
}

// send is do without a line in the record.
func (c *connection) send(host string, sent request) answer {
	started := time.Now()
	_ = c.SetDeadline(started.Add(sent.Deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c.Conn, sent.head(host)+sent.Body); err != nil {
		return answer{Err: err, Took: time.Since(started)}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{Err: err, Took: time.Since(started)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{Status: response.StatusCode, Signed: response.Header.Get("Server-Signature") != "", Body: string(body),
		Whole: err == nil, Err: err, Took: time.Since(started), Head: response.Header}
}

func (c *connection) note(sent request, got answer) answer {
	switch {
	case got.Status == 0:
		record.line("request %s: no answer after %.3f s: %v", sent.ID, got.Took.Seconds(), got.Err)
	case !got.Whole:
		record.line("request %s: status %d, cut in the answer after %.3f s and %d events: %v", sent.ID, got.Status, got.Took.Seconds(), got.events(), got.Err)
	default:
		record.line("request %s: status %d, signed %t, whole, %d bytes after %.3f s", sent.ID, got.Status, got.Signed, len(got.Body), got.Took.Seconds())
	}
	return got
}

func (a answer) events() int { return strings.Count(a.Body, "data:") }
