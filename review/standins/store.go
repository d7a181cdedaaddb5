package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// pageItems is the largest number of objects in one page of a list.
const pageItems = 500

type storeMeta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeObject struct {
	Metadata storeMeta       `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object   storeObject `json:"object"`
	Deleted  bool        `json:"deleted"`
	kind     string
	revision int64
}

// store is the platform's metadata store, in memory.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]storeObject
	history  []storeEvent
	changed  chan struct{}
	// watching is called with the kind when a watch begins to wait.
	watching func(kind string)
}

func newStore() *store {
	return &store{revision: 10, kinds: make(map[string]map[string]storeObject), changed: make(chan struct{})}
}

// apply stores or deletes an object. The caller holds mu.
func (s *store) apply(kind string, object storeObject, deleted bool) storeObject {
	s.revision++
	object.Metadata.Revision = s.revision
	if object.Metadata.Created == 0 {
		object.Metadata.Created = s.revision
	}
	if object.Metadata.Finalizers == nil {
		object.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]storeObject)
	}
	if deleted {
		delete(s.kinds[kind], object.Metadata.Name)
	} else {
		s.kinds[kind][object.Metadata.Name] = object
	}
	s.history = append(s.history, storeEvent{Object: object, Deleted: deleted, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return object
}

// put writes an object as the operator or a runner does.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object := s.kinds[kind][name]
	object.Metadata.Name = name
	if string(object.Spec) == string(encoded) {
		return
	}
	object.Spec = encoded
	s.apply(kind, object, false)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, ok := s.kinds[kind][name]; ok {
		s.apply(kind, object, true)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(storeLatency)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name, body, len(parts) > 2)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := make([]storeObject, 0, len(names))
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	object, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, object)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	if s.watching != nil {
		s.watching(kind)
	}
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, event := range s.history {
			if event.kind == kind && event.revision > from {
				events = append(events, event)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte, status bool) {
	var sent storeObject
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && expected != 0 && expected != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.apply(kind, storeObject{Metadata: storeMeta{Name: name}, Spec: sent.Spec}, false))
	case !exists:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.apply(kind, current, true))
	case status:
		current.Status = sent.Status
		reply(w, http.StatusOK, s.apply(kind, current, false))
	case string(current.Spec) == string(sent.Spec):
		reply(w, http.StatusOK, current)
	default:
		current.Spec = sent.Spec
		reply(w, http.StatusOK, s.apply(kind, current, false))
	}
}
