package serve

import (
	"context"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/request/admission"
)

// Verbatim relays an answer as it is once the whole of it has arrived. An answer
// without a length ends with its connection.
type Verbatim struct {
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
