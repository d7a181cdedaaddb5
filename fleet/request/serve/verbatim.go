package serve

import (
	"context"
	"fmt"
	"io"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/request/admit"
	"jacinthpaddle.example/fleet/request/outcome"
)

// Verbatim relays an answer as it is once the whole of it has arrived. An answer
// without a length ends with its connection.
type Verbatim struct {
	MaxBytes int64
}

// Relay implements Relay.
func (v Verbatim) Relay(_ context.Context, plan admit.Plan, answer *endpoint.Answer, _ Sink) Relayed {
	body, err := io.ReadAll(io.LimitReader(answer.Body, v.MaxBytes+1))
	if err != nil {
		return Relayed{Err: err}
	}
	if int64(len(body)) > v.MaxBytes {
		reason := fmt.Sprintf("the answer is larger than %d bytes", v.MaxBytes)
		return Relayed{Charge: plan.Reserve, Err: ran(outcome.TooLarge, reason)}
	}
	result := Result{Status: answer.Status, Header: answer.Header, Body: body}
	return Relayed{Result: result, Charge: plan.Reserve}
}
