package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	ID   string
	At   time.Time
	Ran  bool
	Path string
	// Left is set if the caller closed the connection before the end.
	Left bool
}

// runner is a sound runner. It has slots and queues as many requests as it has slots, four
// times over; what comes beyond is refused.
type runner struct {
	ID, Address, Service string
	Slots                int
	// Work answers a request that has a slot.
	Work func(writer http.ResponseWriter, request *http.Request)

	// Quiet leaves out the lines about requests.
	Quiet bool

	site     *site
	zone     string
	server   *http.Server
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	born     int64
	arrivals []*arrival
}

func (s *site) addRunner(service, zone string, slots int, work func(http.ResponseWriter, *http.Request)) *runner {
	added := &runner{
		ID: fmt.Sprintf("i-%04x", 0x7f00+len(s.runners)), Address: fmt.Sprintf("%s%d:8463", s.prefix, 100+len(s.runners)),
		Service: service, Slots: slots, Work: work, slots: make(chan struct{}, slots),
	}
	added.site, added.zone = s, zone
	s.runners = append(s.runners, added)
	added.listen()
	s.store.put("servers", added.ID, added.entry(zone))
	return added
}

// listen serves at the runner's address.
func (r *runner) listen() {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", r.Address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	must(err)
	r.server = &http.Server{Handler: r, ErrorLog: log.New(io.Discard, "", 0)}
	server := r.server
	go func() { _ = server.Serve(listener) }()
}

// crash resets all connections of the runner. After the time it starts again, as a new
// incarnation under the id that it had.
func (r *runner) crash(down time.Duration) {
	server := r.server
	go func() {
		_ = server.Close()
		time.Sleep(down)
		r.mu.Lock()
		r.waiting = 0
		r.born++
		r.mu.Unlock()
		r.listen()
		r.site.store.put("servers", r.ID, r.entry(r.zone))
		record.line("runner %s is back", r.ID)
	}()
}

func (r *runner) entry(zone string) map[string]any {
	return map[string]any{"service": r.Service, "address": r.Address, "zone": zone, "version": "v1",
		"slots": r.Slots, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1790000000000 + r.born}
}

// seen returns the arrivals so far.
func (r *runner) seen() []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival(nil), r.arrivals...)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	header := writer.Header()
	header.Set("Server-Load", r.load())
	if request.URL.Path == "/healthz" {
		header.Set("Instance-Id", r.ID)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	header.Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
		header.Set("Instance-Id", r.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Quiet {
		header.Set("Server-Signature", "3e1b.07")
		r.Work(writer, request)
		return
	}
	came := &arrival{ID: id, At: time.Now(), Path: request.URL.Path}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, came)
	full := r.waiting >= 4*r.Slots && len(r.slots) == cap(r.slots)
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		record.line("request %s reaches runner %s, which refuses it", id, r.ID)
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	record.line("request %s reaches runner %s", id, r.ID)
	select {
	case r.slots <- struct{}{}:
	case <-request.Context().Done():
		r.leave()
		came.Left = true
		record.line("request %s: its connection closed before it ran", id)
		return
	}
	r.leave()
	defer func() { <-r.slots }()
	came.Ran = true
	record.line("request %s runs at runner %s", id, r.ID)
	header.Set("Server-Signature", "3e1b."+id)
	r.Work(writer, request)
	if request.Context().Err() != nil {
		came.Left = true
		record.line("request %s: its connection closed while runner %s was at work", id, r.ID)
		return
	}
	record.line("request %s: runner %s has answered it", id, r.ID)
}

func (r *runner) leave() {
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
}

func (r *runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(r.slots), r.waiting, r.Slots)
}

// events answers with a stream of events, each after its pause. It stops once the caller
// has left.
func events(writer http.ResponseWriter, request *http.Request, count int, pause func() time.Duration) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	control := http.NewResponseController(writer)
	for number := 1; number <= count; number++ {
		if !sleep(request, pause()) {
			return
		}
		data, _ := json.Marshal(map[string]int{"piece": number})
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, data)
		_ = control.Flush()
	}
	_, _ = io.WriteString(writer, "")
}

// sleep waits, and reports false if the caller has left meanwhile.
func sleep(request *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}
