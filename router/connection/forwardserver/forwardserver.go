// Package forwardserver receives the requests that other routers forward, verifies them and
// passes them to the callers' front end as if the caller had connected here.
//
// # Usage
//
//	mux.Handle("/peer/forward", &forwardserver.Handler{
//		Self: self, Secret: key, Clock: clock.New(), Bodies: bodies, Next: handler.ForwardedHandler(),
//	})
package forwardserver

import (
	"bytes"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/auth"
	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/request/intake"
)

// Handler serves forward.Path. Its fields must not change after the first request.
type Handler struct {
	// Self is this process. Requests that were forwarded to another process are refused.
	Self   ident.Incarnation
	Secret secret.Key
	Clock  clock.Clock
	// Bodies reads the bodies of requests.
	Bodies *intake.Reader
	// Next serves the original request of the caller.
	Next http.Handler
}

// ServeHTTP implements http.Handler. A refusal by this handler does not have the header
// forward.KeyCheckedHeader, since the idempotency key was not checked.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := h.Bodies.Read(writer, request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	original, err := forward.VerifyRequest(h.Secret, request.Header, body, h.Self, h.Clock.Now())
	if err != nil {
		http.Error(writer, err.Error(), statusOf(err))
		return
	}
	target, err := url.ParseRequestURI(original.Path)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	// The body has its memory already.
	inner := request.Clone(buffer.WithIntake(forward.WithForwarded(request.Context()), nil))
	inner.Method = original.Method
	inner.URL = target
	inner.RequestURI = original.Path
	inner.Header = original.Header
	inner.Body = io.NopCloser(bytes.NewReader(body))
	inner.ContentLength = int64(len(body))
	inner.TransferEncoding = nil
	h.Next.ServeHTTP(writer, inner)
}

func statusOf(err error) int {
	var refused *auth.RequestError
	if errors.As(err, &refused) {
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}
