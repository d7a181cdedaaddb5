// Package endpointapi is the complete HTTP interface of the simulated endpoint.
//
// # Usage
//
//	POST   /v1/chat/completions  chat completions
//	GET    /load                 endpoint.Load, delayed by the configured lag
//	PUT    /admin/state          {"state": "leaving"}
//	PUT    /admin/faults         endpoint.Faults
//	GET    /admin/runs           list of endpoint.RequestRecord
//	DELETE /admin/runs           deletes all records
//	any other                    a service call
package endpointapi

import (
	"net/http"

	"jacinthpaddle.example/standin/process/endpoint"
	"jacinthpaddle.example/standin/request/chat"
	"jacinthpaddle.example/standin/request/jsonhttp"
	"jacinthpaddle.example/standin/request/service"
)

// stateRequest is the body of a request that changes the state.
type stateRequest struct {
	State endpoint.State `json:"state"`
}

// New returns the HTTP handler for all paths of the endpoint.
func New(ep *endpoint.Endpoint) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", chat.New(ep))
	mux.Handle("/", service.New(ep))
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, ep.Load())
	})
	mux.HandleFunc("PUT /admin/state", func(w http.ResponseWriter, r *http.Request) {
		putState(w, r, ep)
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		putFaults(w, r, ep)
	})
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, ep.Requests.All())
	})
	mux.HandleFunc("DELETE /admin/runs", func(http.ResponseWriter, *http.Request) {
		ep.Requests.Clear()
	})
	return mux
}

func putState(w http.ResponseWriter, r *http.Request, ep *endpoint.Endpoint) {
	request, ok := jsonhttp.Read[stateRequest](w, r)
	if !ok {
		return
	}
	switch request.State {
	case endpoint.Live, endpoint.Leaving:
		ep.SetState(request.State)
	default:
		http.Error(w, "state: must be live or leaving", http.StatusBadRequest)
	}
}

func putFaults(w http.ResponseWriter, r *http.Request, ep *endpoint.Endpoint) {
	faults, ok := jsonhttp.Read[endpoint.Faults](w, r)
	if ok {
		ep.Faults.Set(faults, faults.Times)
	}
}
