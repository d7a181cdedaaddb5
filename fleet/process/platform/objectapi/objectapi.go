// Package objectapi serves the platform's protocol over any object store. The
// platform stand-in and the contract tests use it.
//
// A write whose reply is lost closes the connection without a response.
//
// # Usage
//
//	objects := memory.New(clock.New())
//	server := httptest.NewServer(objectapi.New(objects, machines))
package objectapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/platform"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
)

// handler serves one store and one list of VMs.
type handler struct {
	objects store.Store
	lister  vm.Lister
}

// New returns a handler of the paths that package platform documents.
func New(objects store.Store, lister vm.Lister) http.Handler {
	h := &handler{objects: objects, lister: lister}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", h.get)
	mux.HandleFunc("PUT /objects/{name...}", h.put)
	mux.HandleFunc("DELETE /objects/{name...}", h.delete)
	mux.HandleFunc("GET /objects", h.list)
	mux.HandleFunc("GET /watch", h.watch)
	mux.HandleFunc("GET /vms", h.vms)
	return mux
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	object, err := h.objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeVersion(w, object.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := h.write(r, value)
	if err != nil {
		writeError(w, err)
		return
	}
	writeVersion(w, version)
}

func (h *handler) write(r *http.Request, value []byte) (store.Version, error) {
	name := r.PathValue("name")
	if r.Header.Get("If-None-Match") == "*" {
		return h.objects.Create(r.Context(), name, value)
	}
	version, err := expectedVersion(r)
	if err != nil {
		return 0, err
	}
	return h.objects.Update(r.Context(), name, version, value)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	version, err := expectedVersion(r)
	if err == nil {
		err = h.objects.Delete(r.Context(), r.PathValue("name"), version)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeVersion(w, 0)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	list, err := h.objects.List(r.Context(), r.URL.Query().Get("prefix"))
	writeJSON(w, list, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := parseVersion("after", query.Get("after"))
	if err != nil {
		writeError(w, err)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		writeError(w, &parameterError{name: "wait", value: query.Get("wait")})
		return
	}
	changes, err := h.objects.Watch(r.Context(), query.Get("prefix"), after, wait)
	writeJSON(w, changes, err)
}

func (h *handler) vms(w http.ResponseWriter, r *http.Request) {
	list, err := h.lister.VMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	encoded, err := json.Marshal(list.VMs)
	if err != nil {
		writeError(w, err)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(encoded), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}

// expectedVersion decodes the header If-Match of a conditional write.
func expectedVersion(r *http.Request) (store.Version, error) {
	return parseVersion("If-Match", strings.Trim(r.Header.Get("If-Match"), `"`))
}

func parseVersion(name, value string) (store.Version, error) {
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 0 {
		return 0, &parameterError{name: name, value: value}
	}
	return store.Version(number), nil
}

// parameterError is returned for an invalid header or query parameter.
type parameterError struct {
	name  string
	value string
}

// Error implements error.
func (e *parameterError) Error() string {
	return e.name + ": not valid: " + e.value
}

func writeVersion(w http.ResponseWriter, version store.Version) {
	w.Header().Set(platform.VersionHeader, strconv.FormatInt(int64(version), 10))
}

func writeJSON(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError maps an error of the store to a status. For an ambiguous error it aborts
// the connection, as after a lost reply.
func writeError(w http.ResponseWriter, err error) {
	var notFound *store.NotFoundError
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	var tooLarge *store.TooLargeError
	var parameter *parameterError
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &notFound):
		status = http.StatusNotFound
	case errors.As(err, &conflict):
		writeVersion(w, conflict.Current)
		status = http.StatusPreconditionFailed
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &parameter):
		status = http.StatusBadRequest
	case errors.As(err, &unavailable) && unavailable.Ambiguous:
		panic(http.ErrAbortHandler)
	case errors.As(err, &unavailable):
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
}
