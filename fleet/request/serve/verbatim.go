package serve

import (
	"context"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/request/admission"
)

// Verbatim relays a response unchanged once all of it has arrived. It accepts a response
// without a length, which ends with its connection. It charges the whole reservation,
// whatever the status.
type Verbatim struct {
	// MaxBytes bounds the body of the response.
	MaxBytes int64
}

// Relay implements Relay.
func (v Verbatim) Relay(_ context.Context, plan admission.Plan, response *endpoint.Response, _ Sink) RelayResult {
	body, failed := readBody(plan, response, v.MaxBytes)
	if failed.Err != nil {
		return failed
	}
	result := Response{Status: response.Status, Header: response.Header, Body: body}
	return RelayResult{Response: result, Charge: plan.Reserve}
}
