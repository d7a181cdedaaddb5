// Package outcome defines the error that a caller gets in place of a response: a
// refusal, or a failure after the request was admitted. It has no encoding beyond its
// JSON tags; the front ends map it to their protocols.
//
// # Usage
//
//	return &outcome.Error{
//		Code:   outcome.BudgetExhausted,
//		Run:    journal.NotRun,
//		Object: "budget",
//		Name:   team.Budget,
//		Reason: "no credits left",
//	}
package outcome

import (
	"fmt"
	"net/http"

	"jacinthpaddle.example/fleet/process/journal"
)

// Code is the kind of a refusal or failure. It is part of the response to the caller.
type Code string

// Codes of refusals and failures.
const (
	// Unauthorized means that the request has no valid API key.
	Unauthorized Code = "unauthorized"
	Forbidden    Code = "forbidden"
	// BadRequest means that the request is malformed or has a value out of range.
	BadRequest Code = "bad_request"
	// TooLarge means that the request is over its size limit.
	TooLarge Code = "too_large"
	// NotFound means that the request names a model, service or path that does not exist
	// or that the team may not use.
	NotFound Code = "not_found"
	// BudgetExhausted means that the team's budget has too few credits left.
	BudgetExhausted Code = "budget_exhausted"
	// Overloaded means that a limit on concurrent or waiting requests is reached, or
	// that the router is stopping.
	Overloaded Code = "overloaded"
	// NoEndpoint means that no endpoint of the pool accepts the request.
	NoEndpoint Code = "no_endpoint"
	// NoHome means that route and team have no home region in common.
	NoHome Code = "no_home"
	// HomeUnavailable means that no endpoint of the pool in the home regions of the request
	// accepts it, while there are endpoints elsewhere.
	HomeUnavailable Code = "home_unavailable"
	// Quarantined means that endpoints crash under a part of the prompt.
	Quarantined Code = "quarantined"
	// NoRecord means that the router cannot write or read a record that the request
	// needs, such as its journal entry.
	NoRecord Code = "no_record"
	// Conflict means that the idempotency key was used for a different request.
	Conflict Code = "conflict"
	// EndpointFailed means that no endpoint gave a valid response, or that the request
	// failed inside the router.
	EndpointFailed Code = "endpoint_failed"
	// Truncated means that the response of the endpoint ended early or was cut off.
	Truncated Code = "truncated"
	TimedOut  Code = "timed_out"
	// Stalled means that the request did not arrive completely in time.
	Stalled Code = "stalled"
	// Lost means that the response to an earlier request with the idempotency key is
	// not available.
	Lost Code = "lost"
)

// Error is a refusal or failure of a request.
type Error struct {
	Code Code `json:"code"`
	// Run is whether an endpoint ran the request.
	Run journal.RunStatus `json:"run"`
	// Object is the kind of thing that the error is about, such as "team" or "pool".
	Object string `json:"object,omitempty"`
	// Name is the name of the object.
	Name string `json:"name,omitempty"`
	// Field is the part of the request or of the object that the error is about.
	Field string `json:"param,omitempty"`
	// Reason is a text for people that says why the request was refused or failed.
	Reason string `json:"message"`
	// Cause is for logs. Callers do not get it, because it can name addresses inside
	// the fleet.
	Cause error `json:"-"`
}

// Error implements error. The text includes the cause and is for logs.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s %s %s: %s (run: %s)", e.Code, e.Object, e.Name, e.Field, e.Reason, e.Run)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Status returns the HTTP status code for the error.
func (e *Error) Status() int {
	switch e.Code {
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case BadRequest:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case NotFound:
		return http.StatusNotFound
	case BudgetExhausted, Overloaded:
		return http.StatusTooManyRequests
	case Conflict:
		return http.StatusConflict
	case NoEndpoint, NoRecord, NoHome, HomeUnavailable, Quarantined:
		return http.StatusServiceUnavailable
	case Stalled:
		return http.StatusRequestTimeout
	case TimedOut:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
