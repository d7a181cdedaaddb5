// Package frontend is the HTTP front end for callers. It decodes requests, passes them
// to admission and to the runner, and encodes the responses.
//
// # Paths
//
//	POST /v1/chat/completions     chat completion, streamed or in one response
//	GET  /v1/models               models of the caller's team
//	ANY  /services/{name}/...     call of a plain service
//	GET  /locate                  addresses of routers, with a time to live
//
// Each response that is not the result has a JSON error with the field run and a
// header X-Run, both not_run, ran or unknown.
//
// # Usage
//
//	handler := frontend.New(frontend.Deps{ActiveSnapshot: active, Runner: runner, ...})
//	http.Serve(listener, handler)
package frontend

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/current"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/idempotency"
	"jacinthpaddle.example/fleet/request/intake"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// Locator decides which routers a team should use. It must be safe for concurrent use.
type Locator interface {
	// Locate returns the addresses for a caller in the region and the given number of
	// tickets for the team. An empty region is the region of this router.
	Locate(team declaration.Team, region string, tickets int) LocateResponse
	// CountRequest counts a request of the team.
	CountRequest(team string)
}

// LocateResponse is the response to a locate request.
type LocateResponse struct {
	locate.Response
	// Tickets are encoded idempotency keys. There are none if there is no address.
	Tickets []string
}

// Limits bounds requests and responses.
type Limits struct {
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes int64
	// MaxConcurrent is the maximum number of requests in progress.
	MaxConcurrent int64
}

// Deps has the dependencies of the front end. They do not change after New.
type Deps struct {
	Self           ident.Incarnation
	ActiveSnapshot *current.Value[*snapshot.Snapshot]
	Runner         *serve.Runner
	// Bodies reads the bodies of requests.
	Bodies *intake.Reader
	// Executor runs requests with an idempotency key.
	Executor *idempotency.Executor
	// Forwarder forwards requests whose idempotency key is held by another router.
	Forwarder *forward.Client
	Locator   Locator
	Log       *event.Log
	Metrics   *meter.Metrics
	Limits    Limits
	// Stopping reports whether the process is stopping, in which case requests without
	// an idempotency key are refused.
	Stopping func() bool
}

// Handler is the http.Handler for callers.
type Handler struct {
	Deps
	mux        *http.ServeMux
	inProgress atomic.Int64
	// parsing is held while a large chat completion is parsed.
	parsing sync.Mutex
}

// New returns a handler with the dependencies.
func New(deps Deps) *Handler {
	handler := &Handler{Deps: deps, mux: http.NewServeMux()}
	handler.mux.HandleFunc("POST /v1/chat/completions", handler.serveChat)
	handler.mux.HandleFunc("GET /v1/models", handler.serveModels)
	handler.mux.HandleFunc("/services/{name}/{rest...}", handler.serveService)
	handler.mux.HandleFunc("/services/{name}", handler.serveService)
	handler.mux.HandleFunc("GET /locate", handler.serveLocate)
	handler.mux.HandleFunc("/", handler.notFound)
	return handler
}

// InProgress returns the number of requests in progress.
func (h *Handler) InProgress() int64 {
	return h.inProgress.Load()
}

// ServeHTTP implements http.Handler. A process that is stopping still serves requests
// with an idempotency key, since it may have their responses.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	inProgress := h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	if h.Stopping() {
		writer.Header().Set("Connection", "close")
		if !hasKey(request) {
			h.writeError(writer, refusal(outcome.Overloaded, "router", "", "is stopping: ask another address"))
			return
		}
	}
	if inProgress > h.Limits.MaxConcurrent {
		h.refuse(writer, request, refusal(outcome.Overloaded, "router", "", "too many requests at once"))
		return
	}
	h.mux.ServeHTTP(writer, request)
}

// authenticate returns the active snapshot and the caller's team, and counts the request
// for the demand of the team.
func (h *Handler) authenticate(request *http.Request) (*snapshot.Snapshot, declaration.Team, error) {
	active, ok := h.ActiveSnapshot.Load()
	if !ok {
		return nil, declaration.Team{}, refusal(outcome.NoEndpoint, "configuration", "", "none is in force yet")
	}
	team, err := admission.Authenticate(active, bearer(request))
	if err == nil {
		h.Locator.CountRequest(team.Name)
	}
	return active, team, err
}

func bearer(request *http.Request) string {
	scheme, key, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func (h *Handler) notFound(writer http.ResponseWriter, request *http.Request) {
	h.writeError(writer, refusal(outcome.NotFound, "path", "path", "nothing is served at "+request.Method+" "+request.URL.Path))
}

func refusal(code outcome.Code, object, field, reason string) *outcome.Error {
	return &outcome.Error{Code: code, Run: journal.NotRun, Object: object, Field: field, Reason: reason}
}
