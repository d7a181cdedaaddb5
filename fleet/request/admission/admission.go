// Package admission authenticates callers, routes a request to a pool, and computes
// the credits to reserve for it and the limits under which it runs. It reads one
// version of the configuration and has no state.
//
// # Usage
//
//	team, err := admission.Authenticate(config, key)
//	...
//	plan, err := admission.Chat(config, team, admission.ChatRequest{Model: "small", InputBytes: 512, MaxOutput: 100})
//	if err != nil {
//		return err // an *outcome.Error with run not_run
//	}
package admission

import (
	"fmt"
	"math"
	"time"

	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/homes"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// MessageOverhead is an upper bound on the tokens that the chat template of an engine
// adds to each message.
const MessageOverhead = 16

// Plan is how an admitted request is routed, charged and limited.
type Plan struct {
	Team declaration.Team
	// Kind is the kind of the target. A path counts as a service.
	Kind declaration.RouteKind
	// Target is the name of the model, service or path that the request is for.
	Target string
	Pool   declaration.Pool
	// Homes are the regions in which the request may be served.
	Homes homes.Homes
	// Idempotent requests may be retried after an endpoint may have run them.
	Idempotent bool
	// Reserve is the most that the request can cost, in credits.
	Reserve int64
	// Floor is the least charge, in credits, once the request has been dispatched,
	// whatever its result. An open journal entry is billed at the floor.
	Floor int64
	// InputPrice and OutputPrice are in credits for each token.
	InputPrice  int64
	OutputPrice int64
	// MaxOutput bounds the output tokens.
	MaxOutput int64
	// Timeout bounds the whole request.
	Timeout time.Duration
	// StallTimeout bounds the time in which an endpoint sends nothing.
	StallTimeout time.Duration

	// Priority is the rank of the request at an endpoint, where zero is the most urgent. It is
	// nil if the request has none.
	Priority *int
	// CancelOnDisconnect cancels the request when its caller disconnects, even if the
	// request is not idempotent.
	CancelOnDisconnect bool
	// MaxStarted bounds the attempts whose endpoint may have run the request. Zero leaves
	// only the bound of the retry policy.
	MaxStarted int
	// Streamed responses are sent as server-sent events.
	Streamed bool
	// Resumable streams may be continued by another endpoint.
	Resumable bool
	// TokensPerEvent is the largest number of output tokens in one event.
	TokensPerEvent int64
}

// ChatRequest holds what the cost of a chat completion depends on.
type ChatRequest struct {
	Model    string
	Messages int
	// InputBytes is an upper bound on the input tokens, as each token is at least one
	// byte.
	InputBytes int64
	// MaxOutput is in tokens. Zero selects the default of the model.
	MaxOutput int64
}

// Authenticate returns the team that the API key belongs to. An error is always an
// *outcome.Error with run not_run.
func Authenticate(config *snapshot.Snapshot, key string) (declaration.Team, error) {
	if key == "" {
		return declaration.Team{}, refuse(outcome.Unauthorized, "key", "", "authorization", "a team's key is missing")
	}
	team, ok := config.Team(key)
	if !ok {
		return declaration.Team{}, refuse(outcome.Unauthorized, "key", "", "authorization", "the key belongs to no team")
	}
	return team, nil
}

// Chat admits a chat completion of the team. An error is always an *outcome.Error
// with run not_run.
func Chat(config *snapshot.Snapshot, team declaration.Team, request ChatRequest) (Plan, error) {
	route, ok := config.Route(declaration.ModelRoute, request.Model, team.Name)
	if !ok {
		reason := fmt.Sprintf("no model of that name for team %s", team.Name)
		return Plan{}, refuse(outcome.NotFound, "model", request.Model, "model", reason)
	}
	bound, err := homesOf("model", route.Name, route.Regions, team)
	if err != nil {
		return Plan{}, err
	}
	model, _ := config.Model(route.Target)
	pool, _ := config.Pool(model.Pool)
	output, err := maxOutputTokens(model, request)
	if err != nil {
		return Plan{}, err
	}
	input := request.InputBytes + int64(request.Messages)*MessageOverhead
	reserve, ok := cost(input, model.InputPrice, output, model.OutputPrice)
	if !ok {
		return Plan{}, refuse(outcome.BadRequest, "model", request.Model, "max_tokens", "the cost is out of range")
	}
	return Plan{
		Team:         team,
		Kind:         declaration.ModelRoute,
		Target:       model.Name,
		Pool:         pool,
		Homes:        bound,
		Idempotent:   true,
		Reserve:      reserve,
		InputPrice:   model.InputPrice,
		OutputPrice:  model.OutputPrice,
		MaxOutput:    output,
		Timeout:      model.Timeout,
		StallTimeout: model.StallTimeout,
	}, nil
}

// Service admits a call of the team to a service, which has a fixed price for each
// call. An error is always an *outcome.Error with run not_run.
func Service(config *snapshot.Snapshot, team declaration.Team, name string) (Plan, error) {
	route, ok := config.Route(declaration.ServiceRoute, name, team.Name)
	if !ok {
		reason := fmt.Sprintf("no service of that name for team %s", team.Name)
		return Plan{}, refuse(outcome.NotFound, "service", name, "path", reason)
	}
	bound, err := homesOf("service", route.Name, route.Regions, team)
	if err != nil {
		return Plan{}, err
	}
	service, _ := config.Service(route.Target)
	pool, _ := config.Pool(service.Pool)
	return Plan{
		Team:         team,
		Kind:         declaration.ServiceRoute,
		Target:       service.Name,
		Pool:         pool,
		Homes:        bound,
		Idempotent:   service.Idempotent,
		Reserve:      service.Price,
		Floor:        service.Price,
		Timeout:      service.Timeout,
		StallTimeout: service.Timeout,
	}, nil
}

// homesOf returns the homes of a request of the team on a route, or an error if route and
// team have none in common.
func homesOf(object, name string, regions []string, team declaration.Team) (homes.Homes, error) {
	bound := homes.Homes{Route: regions, Team: team.Regions}
	if bound.Disjoint() {
		reason := fmt.Sprintf("has no home region in common with team %s", team.Name)
		return homes.Homes{}, refuse(outcome.NoHome, object, name, "regions", reason)
	}
	return bound, nil
}

// Charge returns the cost of the used tokens in credits, at most the reservation. It
// does not apply Floor.
func (p Plan) Charge(input, output int64) int64 {
	charge, ok := cost(input, p.InputPrice, output, p.OutputPrice)
	if !ok {
		return p.Reserve
	}
	return min(charge, p.Reserve)
}

// maxOutputTokens returns the bound on output tokens of the request, or an error if it
// exceeds that of the model.
func maxOutputTokens(model declaration.Model, request ChatRequest) (int64, error) {
	if request.MaxOutput < 0 {
		return 0, refuse(outcome.BadRequest, "model", request.Model, "max_tokens", "must not be negative")
	}
	if request.MaxOutput == 0 {
		return model.DefaultOutput, nil
	}
	if request.MaxOutput > model.MaxOutput {
		reason := fmt.Sprintf("must be at most %d for this model", model.MaxOutput)
		return 0, refuse(outcome.BadRequest, "model", request.Model, "max_tokens", reason)
	}
	return request.MaxOutput, nil
}

// cost returns the price of the input and output tokens, or false if a count or price
// is negative or the result overflows.
func cost(input, inputPrice, output, outputPrice int64) (int64, bool) {
	inputCost, ok := multiply(input, inputPrice)
	if !ok {
		return 0, false
	}
	outputCost, ok := multiply(output, outputPrice)
	if !ok || inputCost > math.MaxInt64-outputCost {
		return 0, false
	}
	return inputCost + outputCost, true
}

// multiply returns the price of a number of tokens, or false if a factor is negative or
// the result overflows.
func multiply(count, price int64) (int64, bool) {
	if count < 0 || price < 0 {
		return 0, false
	}
	if price != 0 && count > math.MaxInt64/price {
		return 0, false
	}
	return count * price, true
}

// refuse returns the error of a request that is not admitted.
func refuse(code outcome.Code, object, name, field, reason string) error {
	return &outcome.Error{Code: code, Run: journal.NotRun, Object: object, Name: name, Field: field, Reason: reason}
}
