package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// hostingWatchWait is how long a watch of the fake store waits.
const hostingWatchWait = 200 * time.Millisecond

// storedObject is an object of a hostingStore.
type storedObject struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// hostingStore is an in-memory metadata store of the hosting platform, without history.
type hostingStore struct {
	mu       sync.Mutex
	revision int64
	// objects holds the objects by kind and name.
	objects map[string]map[string]storedObject
}

// put stores an object and returns it.
func (s *hostingStore) put(kind, name string, spec json.RawMessage) storedObject {
	s.revision++
	object := storedObject{Spec: spec}
	object.Metadata.Name, object.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	s.objects[kind][name] = object
	return object
}

// ServeHTTP implements http.Handler.
func (s *hostingStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Has("watch") {
		Sleep(request.Context(), hostingWatchWait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/objects/"), "/")
	switch {
	case request.Method != http.MethodGet:
		s.write(writer, request, kind, name)
	case request.URL.Query().Has("watch"):
		s.watch(writer, kind, request.URL.Query().Get("watch"))
	case name == "":
		s.list(writer, kind)
	default:
		object, ok := s.objects[kind][name]
		if !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		writeStored(writer, http.StatusOK, object)
	}
}

func (s *hostingStore) list(writer http.ResponseWriter, kind string) {
	items := []storedObject{}
	for _, object := range s.objects[kind] {
		items = append(items, object)
	}
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeStored(writer, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": s.revision})
}

func (s *hostingStore) watch(writer http.ResponseWriter, kind, from string) {
	after, _ := strconv.ParseInt(from, 10, 64)
	events := []map[string]any{}
	for _, object := range s.objects[kind] {
		if object.Metadata.Revision > after {
			events = append(events, map[string]any{"deleted": false, "object": object})
		}
	}
	writeStored(writer, http.StatusOK, map[string]any{"events": events, "at": s.revision})
}

func (s *hostingStore) write(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var body storedObject
	_ = json.NewDecoder(request.Body).Decode(&body)
	if request.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	current, ok := s.objects[kind][name]
	switch {
	case ok && body.Metadata.Revision != current.Metadata.Revision:
		writeStored(writer, http.StatusConflict, current)
	case request.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		writeStored(writer, http.StatusOK, current)
	default:
		writeStored(writer, http.StatusOK, s.put(kind, name, body.Spec))
	}
}

func writeStored(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// Hosting is the program of the hosting platform in a process of its own, with a store and
// a runner in the process of the test. All requests need no key.
type Hosting struct {
	Router *Router
	// Ready and Locate are the addresses of the readiness checks and locate requests.
	Ready  string
	Locate string
}

// hostingHost is the host of the address of the process.
const hostingHost = 10

// hostingConfig is the operator's configuration.
const hostingConfig = `{"version":1,"routes":[{"name":"r","hostname":"hall","pathPrefix":"/services/","kind":"safe",
"timeoutMs":3000,"goalMs":1000,"priority":0,"service":"desk","attempts":2,"public":true}],"services":[{"name":"desk"}],
"limits":{"headerBytes":65536,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`

// StartHosting starts the program with additional settings and waits until it is ready.
func StartHosting(t *testing.T, network int, settings string) *Hosting {
	t.Helper()
	runner := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Server-Signature", "signed")
		writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	}))
	t.Cleanup(runner.Close)
	store := &hostingStore{revision: 1, objects: make(map[string]map[string]storedObject)}
	entry := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"hall","state":"ready","slots":64}`, runner.Listener.Addr())
	store.put("config", "main", json.RawMessage(hostingConfig))
	store.put("servers", "i-1", json.RawMessage(entry))
	provider := httptest.NewServer(store)
	t.Cleanup(provider.Close)

	h := &Hosting{Router: &Router{}}
	h.Router.VM.Name, h.Router.VM.Address = "front-1", Loopback(network, hostingHost)
	h.Ready, h.Locate = net.JoinHostPort(h.Router.VM.Address, "7080"), net.JoinHostPort(h.Router.VM.Address, "7081")
	path := filepath.Join(t.TempDir(), "front-1.ini")
	writeFile(t, path, fmt.Sprintf(`
[vm]
name = front-1
address = %s
region = western
availability_zone = hall
[listen]
callers = %s
ready = %s
locate = %s
[platform]
address = %s
regions = hall:western
[fleet]
secret = proof-secret-of-the-fleet
[rights]
pages = 0
guarded = false
[journal]
wait = false
copies = 0
%s`, h.Router.VM.Address, h.Router.CallerAddress(), h.Ready, h.Locate, provider.Listener.Addr(), settings))
	h.Router.Process = startProcess(t, h.Router.VM.Name, program("platform"), "run", "--settings", path)
	Await(t, "the program to be ready", func() bool { return RespondsOK("http://" + h.Ready + "/ready") })
	return h
}

// OtherAddresses returns the addresses at which callers are not served: readiness checks,
// locate requests, peers, operators and metrics.
func (h *Hosting) OtherAddresses() []string {
	addresses := []string{h.Ready, h.Locate}
	for _, port := range []string{peerPort, operatorsPort, metricsPort} {
		addresses = append(addresses, net.JoinHostPort(h.Router.VM.Address, port))
	}
	return addresses
}
