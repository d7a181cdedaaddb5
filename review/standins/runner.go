package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a runner began to work on.
type run struct {
	attempt string
	runner  string
	at      time.Time
	body    string
}

// arrival is one request that reached a runner.
type arrival struct {
	attempt string
	runner  string
	at      time.Time
	parts   string
}

// ledger collects what reached the runners and what they ran.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
	runs     []run
	crashes  []time.Time
}

func (l *ledger) addArrival(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *ledger) addRun(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) runsOf(attempt string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []run
	for _, r := range l.runs {
		if r.attempt == attempt {
			found = append(found, r)
		}
	}
	return found
}

// runner is one runner: an instance of a service.
type runner struct {
	name    string
	service string
	zone    string
	address string
	slots   int
	queue   int
	// work is the time of a request that is not a stream. A stream sends an event each
	// gap.
	work time.Duration
	gap  time.Duration
	born int64
	log  *recorder
	book *ledger

	// extra returns bytes to send on the connection before the answer to its next
	// request, or nothing. It is called after each answer.
	extra func() string
	// endless, if it returns true, makes an event of the answer go on without end.
	endless func() bool
	// deadly is a part of prompts under which the runner crashes, if it is set: after
	// deadlyEvents events of its answer.
	deadly       string
	deadlyEvents int
	crashed      func(*runner)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	tokens   chan struct{}
	down     bool
}

func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.conns = make(map[net.Conn]bool)
	r.tokens = make(chan struct{}, r.slots)
	r.running, r.waiting = 0, 0
	r.down = false
	r.born = time.Now().UnixMilli()
	r.mu.Unlock()
	go r.accept(listener)
	return nil
}

func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1",
		"slots": r.slots, "state": state, "coldLeftMs": 0, "seq": 1, "born": r.born,
	}
}

func (r *runner) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.down {
			_ = conn.Close()
		} else {
			r.conns[conn] = true
			go r.serve(conn)
		}
		r.mu.Unlock()
	}
}

// kill ends the runner: its port closes and its connections are reset. It returns false if
// the runner was down already.
func (r *runner) kill() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return false
	}
	r.down = true
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	return true
}

// late holds bytes that are sent where the answer to the next request is due.
type late struct {
	bytes string
	at    time.Time
}

// lateLimit is how long late bytes wait for the next request. Without one they are sent
// on the idle connection.
const lateLimit = 250 * time.Millisecond

func (r *runner) serve(conn net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var pending *late
	for {
		if pending != nil {
			_ = conn.SetReadDeadline(pending.at.Add(lateLimit))
		}
		if _, err := reader.Peek(1); err != nil {
			if pending != nil && isTimeout(err) {
				r.log.printf("%s sends %d extra bytes on an idle connection", r.name, len(pending.bytes))
				_, _ = io.WriteString(conn, pending.bytes)
			}
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.handle(conn, request, string(body), pending) {
			return
		}
		pending = nil
		if r.extra != nil {
			if bytes := r.extra(); bytes != "" {
				pending = &late{bytes: bytes, at: time.Now()}
			}
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func (r *runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
}

// handle answers one request and reports whether the connection stays open.
func (r *runner) handle(conn net.Conn, request *http.Request, body string, pending *late) bool {
	attempt := request.Header.Get("Attempt-Id")
	if request.URL.Path == "/healthz" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.name)
		return err == nil
	}
	r.book.addArrival(arrival{attempt: attempt, runner: r.name, at: time.Now(), parts: request.Header.Get("Prefix-Hash")})
	r.log.printf("%s reaches %s", attempt, r.name)
	head := fmt.Sprintf("Attempt-Id: %s\r\nServer-Load: %s\r\n", attempt, r.load())
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.name {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", head, r.name)
		return err == nil
	}
	if !r.admit() {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	defer r.finish()
	r.book.addRun(run{attempt: attempt, runner: r.name, at: time.Now(), body: body})
	r.log.printf("%s is run by %s", attempt, r.name)
	if pending != nil {
		time.Sleep(2 * time.Millisecond)
		r.log.printf("%s sends %d extra bytes, left from an earlier answer, before the answer to %s: %q", r.name, len(pending.bytes), attempt, firstLine(pending.bytes))
		_, _ = io.WriteString(conn, pending.bytes)
	}
	if strings.HasPrefix(request.URL.Path, "/draft/") || strings.HasPrefix(request.URL.Path, "/query/") {
		return r.stream(conn, request, attempt)
	}
	time.Sleep(r.work)
	answer := "answer to " + attempt
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sServer-Signature: s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, attempt, len(answer), answer)
	if err != nil {
		r.log.printf("%s could not be answered by %s: %v", attempt, r.name, err)
		return false
	}
	r.log.printf("%s is answered 200 by %s", attempt, r.name)
	return true
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\r\n")
	return line
}

// admit waits for a slot, or returns false if the queue is full.
func (r *runner) admit() bool {
	r.mu.Lock()
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	tokens := r.tokens
	r.mu.Unlock()
	tokens <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.running++
	r.mu.Unlock()
	return true
}

func (r *runner) finish() {
	r.mu.Lock()
	r.running--
	tokens := r.tokens
	r.mu.Unlock()
	<-tokens
}

// eventsOf returns how many events the answer to a request has, of at most as many tokens
// as the request allows.
func eventsOf(request *http.Request) int {
	_, output, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	return max(1, tokens/stride)
}

// stream sends an event stream.
func (r *runner) stream(conn net.Conn, request *http.Request, attempt string) bool {
	deadly := r.deadly != "" && strings.Contains(request.Header.Get("Prefix-Hash"), r.deadly+":")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	time.Sleep(r.work)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: s.%s\r\nServer-Load: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, attempt, r.load())
	if err == nil && r.endless != nil && r.endless() {
		return r.sendWithoutEnd(conn, attempt)
	}
	last := eventsOf(request)
	for number := first + 1; number <= last && err == nil; number++ {
		if deadly && number > first+r.deadlyEvents {
			time.Sleep(5 * time.Millisecond)
			r.log.printf("%s crashes as it begins to write the answer to %s", r.name, attempt)
			r.crashed(r)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, attempt, number)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		if !deadly {
			time.Sleep(r.gap)
		}
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	if err != nil {
		r.log.printf("%s was broken off at %s: %v", attempt, r.name, err)
		return false
	}
	r.log.printf("%s is answered whole by %s", attempt, r.name)
	return true
}

// Bytes without end come at endlessBytes each endlessPause.
const (
	endlessBytes = 64 << 10
	endlessPause = 20 * time.Millisecond
)

// sendWithoutEnd sends an event that goes on until the caller closes.
func (r *runner) sendWithoutEnd(conn net.Conn, attempt string) bool {
	r.log.printf("%s sends bytes without end to %s", r.name, attempt)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", endlessBytes, strings.Repeat("x", endlessBytes))
	_, err := io.WriteString(conn, "6\r\ndata: \r\n")
	sent := 0
	for ; err == nil; sent += endlessBytes {
		_, err = io.WriteString(conn, chunk)
		time.Sleep(endlessPause)
	}
	r.log.printf("%s: the caller of %s closed after %d bytes", r.name, attempt, sent)
	return false
}
