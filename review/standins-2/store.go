package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the metadata store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision int64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store is the platform's metadata store: linearizable, with its whole history.
type store struct {
	Address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore(address string) *store {
	s := &store{Address: address, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	must(err)
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put writes an object as the operator or a runner does, and returns once it is stored.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, encoded)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	current, ok := s.objects[kind][name]
	if ok && string(current.Spec) == string(spec) {
		return current
	}
	s.revision++
	if !ok {
		current.Metadata.Name, current.Metadata.Created = name, s.revision
		current.Metadata.Finalizers = []string{}
	}
	current.Metadata.Revision = s.revision
	current.Spec = spec
	s.objects[kind][name] = current
	s.note(change{kind: kind, revision: s.revision, Object: current})
	return current
}

func (s *store) drop(kind, name string) {
	current, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	current.Metadata.Revision = s.revision
	s.note(change{kind: kind, revision: s.revision, Deleted: true, Object: current})
}

func (s *store) note(made change) {
	s.history = append(s.history, made)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(2 * time.Millisecond)
	path, ok := strings.CutPrefix(request.URL.Path, "/objects/")
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && query.Has("watch"):
		s.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		s.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		s.mu.Lock()
		current, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		reply(writer, http.StatusOK, current)
	default:
		s.write(writer, request, kind, name)
	}
}

func (s *store) list(writer http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for name, current := range s.objects[kind] {
		if name > after {
			items = append(items, current)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	reply(writer, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(request.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []change{}
		for _, made := range s.history {
			if made.kind == kind && made.revision > from {
				events = append(events, made)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) write(writer http.ResponseWriter, request *http.Request, kind, name string) {
	content, _ := io.ReadAll(request.Body)
	var sent object
	_ = json.Unmarshal(content, &sent)
	if request.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	expected := sent.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && found:
		reply(writer, http.StatusConflict, current)
	case request.Method != http.MethodPost && !found:
		writer.WriteHeader(http.StatusNotFound)
	case found && expected != 0 && expected != current.Metadata.Revision:
		reply(writer, http.StatusConflict, current)
	case request.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(writer, http.StatusOK, current)
	default:
		reply(writer, http.StatusOK, s.set(kind, name, sent.Spec))
	}
}

func reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
