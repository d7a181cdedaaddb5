// Package frontend is the callers' HTTP front end: it decodes requests, has them
// admitted and served, and encodes the answers.
//
// # Paths
//
//	POST /v1/chat/completions     chat completion, streamed or whole
//	GET  /v1/models               models of the caller's team
//	ANY  /services/{name}/...     call of a plain service
//	GET  /locate                  addresses to use, with a time to live
//
// Every answer that is not the result carries a JSON error with the field run,
// and the header X-Run: not_run, ran or unknown.
//
// # Usage
//
//	handler := frontend.New(frontend.Deps{Views: inForce, Runner: runner, ...})
//	http.Serve(listener, handler)
package frontend

import (
	"net/http"
	"strings"
	"sync/atomic"

	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/current"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/idempotency"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// Locator answers which addresses a team should use.
type Locator interface {
	// Locate returns addresses and as many tickets for the team.
	Locate(team declaration.Team, region string, tickets int) LocateResponse
	// CountRequest counts a request of the team.
	CountRequest(team string)
}

// LocateResponse is the answer to a locate request.
type LocateResponse struct {
	locate.Response
	Tickets []string
}

// Limits bound requests and answers, in bytes, and requests open at once.
type Limits struct {
	MaxBodyBytes     int64
	MaxResponseBytes int64
	MaxConcurrent    int64
}

// Deps are what the front end needs. They are set once.
type Deps struct {
	Self           ident.Incarnation
	ActiveSnapshot *current.Value[*snapshot.Snapshot]
	Runner         *serve.Runner
	// Executor runs requests with an idempotency key, and Forwarder passes those on
	// that another router holds.
	Executor  *idempotency.Executor
	Forwarder *forward.Client
	Locator   Locator
	Log       *event.Log
	Metrics   *meter.Metrics
	Limits    Limits
	// Stopping reports whether new requests are refused because the process stops.
	Stopping func() bool
}

// Handler is the handler of the callers' address.
type Handler struct {
	Deps
	mux  *http.ServeMux
	open atomic.Int64
}

// New returns the front end.
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
func (f *Handler) InProgress() int64 {
	return f.open.Load()
}

// ServeHTTP implements http.Handler. A process that stops still answers requests
// with a key, since it may hold their answers.
func (f *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	open := f.open.Add(1)
	defer f.open.Add(-1)
	if f.Stopping() {
		writer.Header().Set("Connection", "close")
		if !hasKey(request) {
			f.writeError(writer, refusal(outcome.Overloaded, "router", "", "is stopping: ask another address"))
			return
		}
	}
	if open > f.Limits.MaxConcurrent {
		f.refuse(writer, request, refusal(outcome.Overloaded, "router", "", "too many requests at once"))
		return
	}
	f.mux.ServeHTTP(writer, request)
}

// authenticate returns the view in force and the caller's team.
func (f *Handler) authenticate(request *http.Request) (*snapshot.Snapshot, declaration.Team, error) {
	active, ok := f.ActiveSnapshot.Load()
	if !ok {
		return nil, declaration.Team{}, refusal(outcome.NoEndpoint, "configuration", "", "none is in force yet")
	}
	team, err := admission.Authenticate(active, bearer(request))
	if err == nil {
		f.Locator.CountRequest(team.Name)
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

func (f *Handler) notFound(writer http.ResponseWriter, request *http.Request) {
	f.writeError(writer, refusal(outcome.NotFound, "path", "path", "nothing is served at "+request.Method+" "+request.URL.Path))
}

func refusal(code outcome.Code, object, field, reason string) *outcome.Error {
	return &outcome.Error{Code: code, Run: journal.NotRun, Object: object, Field: field, Reason: reason}
}
