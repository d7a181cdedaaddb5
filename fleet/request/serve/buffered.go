package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/chat"
	"jacinthpaddle.example/fleet/request/outcome"
)

// Buffered relays a response that is delivered in one piece: that of a service, or a
// chat completion that is not streamed. It charges the whole reservation for a service,
// the reported usage for a chat completion, and nothing for an error response.
type Buffered struct {
	// MaxBytes bounds the body of the response.
	MaxBytes int64
}

// Relay implements Relay.
func (b Buffered) Relay(_ context.Context, plan admission.Plan, response *endpoint.Response, _ Sink) RelayResult {
	body, failed := readBody(plan, response, b.MaxBytes)
	if failed.Err != nil {
		return failed
	}
	if !response.Delimited {
		return RelayResult{Charge: plan.Floor, Err: ranError(outcome.Truncated, "the end of the answer cannot be told from a cut")}
	}
	result := RelayResult{Response: Response{Status: response.Status, Header: response.Header, Body: body}}
	if response.Status >= http.StatusBadRequest {
		return result
	}
	if plan.OutputPrice == 0 && plan.InputPrice == 0 {
		result.Charge = plan.Reserve
		return result
	}
	return b.chargeByUsage(plan, result)
}

// Sizes of the pieces in which a body is read. They grow with what has arrived, whatever
// length the endpoint announced.
const (
	minBodyChunkBytes = 1 << 10
	maxBodyChunkBytes = 32 << 10
)

// joinFactor is how much of its size a body occupies while its pieces are joined.
const joinFactor = 2

// readBody reads the body of a response of at most limit bytes. If that fails, the
// returned RelayResult has the error and the charge.
func readBody(plan admission.Plan, response *endpoint.Response, limit int64) ([]byte, RelayResult) {
	var chunks [][]byte
	chunk := make([]byte, 0, minBodyChunkBytes)
	var size int64
	for {
		count, err := response.Body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+count]
		size += int64(count)
		if size > limit {
			reason := fmt.Sprintf("the answer is larger than %d bytes", limit)
			return nil, RelayResult{Charge: plan.Reserve, Err: ranError(outcome.EndpointFailed, reason)}
		}
		if full := response.Buffer.Resize(joinFactor * size); full != nil {
			return nil, RelayResult{Charge: plan.Reserve, Err: noMemory(full)}
		}
		if err == io.EOF {
			return slices.Concat(append(chunks, chunk)...), RelayResult{}
		}
		if err != nil {
			return nil, RelayResult{Err: err}
		}
		if len(chunk) == cap(chunk) {
			chunks = append(chunks, chunk)
			chunk = make([]byte, 0, min(maxBodyChunkBytes, size))
		}
	}
}

// chargeByUsage charges a chat completion for the usage that it reports.
func (b Buffered) chargeByUsage(plan admission.Plan, result RelayResult) RelayResult {
	var completion struct {
		Usage *chat.Usage `json:"usage"`
	}
	if err := json.Unmarshal(result.Response.Body, &completion); err != nil {
		return RelayResult{Err: ranError(outcome.EndpointFailed, "the answer is not JSON: "+err.Error())}
	}
	if completion.Usage == nil {
		return RelayResult{Err: ranError(outcome.EndpointFailed, "the answer carries no usage")}
	}
	result.applyUsage(plan, *completion.Usage)
	return result
}

// applyUsage sets the token counts and the charge.
func (r *RelayResult) applyUsage(plan admission.Plan, usage chat.Usage) {
	r.Response.InputTokens = usage.PromptTokens
	r.Response.OutputTokens = usage.CompletionTokens
	r.Charge = plan.Charge(usage.PromptTokens, usage.CompletionTokens)
}

// ranError returns the error of a request that ran at the endpoint and failed.
func ranError(code outcome.Code, reason string) error {
	return &outcome.Error{Code: code, Run: journal.Ran, Object: "endpoint", Reason: reason}
}

// noMemory returns the error of a response that does not fit into the memory for responses.
func noMemory(cause error) error {
	return &outcome.Error{
		Code: outcome.EndpointFailed, Run: journal.Ran, Object: "endpoint",
		Reason: "the answer does not fit into the memory of the router", Cause: cause,
	}
}
