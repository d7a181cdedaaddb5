// Package admission decides what a request may do and what it can cost at most.
//
// # Usage
//
//	plan, err := admission.Chat(view, key, admission.Size{Model: "small", InputBytes: 512, MaxOutput: 100})
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
	"jacinthpaddle.example/fleet/version/declare"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// MessageOverhead bounds, in tokens, what an engine's chat template adds to
// each message.
const MessageOverhead = 16

// Plan is an admitted request. Reserve is the most that it can cost, in
// credits, and Floor what it costs once it has been dispatched, whatever
// becomes of it.
type Plan struct {
	Team         declare.Team
	Kind         declare.RouteKind
	Target       string
	Pool         declare.Pool
	Idempotent   bool
	Reserve      int64
	Floor        int64
	InputPrice   int64
	OutputPrice  int64
	MaxOutput    int64
	Timeout      time.Duration
	StallTimeout time.Duration

	// CancelOnDisconnect ends the request when its caller goes, also if it may not be
	// repeated.
	CancelOnDisconnect bool
	// MaxStarted bounds the endpoints that may have begun the request, zero being
	// the retry policy's own bound.
	MaxStarted int
	// Streamed answers come as events.
	Streamed bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// TokensPerEvent is how many output tokens one event holds at most.
	TokensPerEvent int64
}

// ChatRequest is what bounds the cost of a chat completion. MaxOutput is in tokens;
// zero takes the model's default.
type ChatRequest struct {
	Model      string
	Messages   int
	InputBytes int64
	MaxOutput  int64
}

// Authenticate returns the team that owns the caller's key.
func Authenticate(view *snapshot.Snapshot, key string) (declare.Team, error) {
	if key == "" {
		return declare.Team{}, refuse(outcome.Unauthorized, "key", "", "authorization", "a team's key is missing")
	}
	team, ok := view.Team(key)
	if !ok {
		return declare.Team{}, refuse(outcome.Unauthorized, "key", "", "authorization", "the key belongs to no team")
	}
	return team, nil
}

// Chat admits a chat completion of the team.
func Chat(view *snapshot.Snapshot, team declare.Team, size ChatRequest) (Plan, error) {
	route, ok := view.Route(declare.ToModel, size.Model, team.Name)
	if !ok {
		reason := fmt.Sprintf("no model of that name for team %s", team.Name)
		return Plan{}, refuse(outcome.NotFound, "model", size.Model, "model", reason)
	}
	model, _ := view.Model(route.Target)
	pool, _ := view.Pool(model.Pool)
	output, err := outputBound(model, size)
	if err != nil {
		return Plan{}, err
	}
	input := size.InputBytes + int64(size.Messages)*MessageOverhead
	reserve, ok := cost(input, model.InputPrice, output, model.OutputPrice)
	if !ok {
		return Plan{}, refuse(outcome.BadRequest, "model", size.Model, "max_tokens", "the cost is out of range")
	}
	return Plan{
		Team:         team,
		Kind:         declare.ToModel,
		Target:       model.Name,
		Pool:         pool,
		Idempotent:   true,
		Reserve:      reserve,
		InputPrice:   model.InputPrice,
		OutputPrice:  model.OutputPrice,
		MaxOutput:    output,
		Timeout:      model.Timeout,
		StallTimeout: model.Stall,
	}, nil
}

// Service admits a call of the team to a plain service.
func Service(view *snapshot.Snapshot, team declare.Team, name string) (Plan, error) {
	route, ok := view.Route(declare.ToService, name, team.Name)
	if !ok {
		reason := fmt.Sprintf("no service of that name for team %s", team.Name)
		return Plan{}, refuse(outcome.NotFound, "service", name, "path", reason)
	}
	service, _ := view.Service(route.Target)
	pool, _ := view.Pool(service.Pool)
	return Plan{
		Team:         team,
		Kind:         declare.ToService,
		Target:       service.Name,
		Pool:         pool,
		Idempotent:   service.Idempotent,
		Reserve:      service.Price,
		Floor:        service.Price,
		Timeout:      service.Timeout,
		StallTimeout: service.Timeout,
	}, nil
}

// Charge returns the cost of the tokens used, never above the reservation.
func (p Plan) Charge(input, output int64) int64 {
	charge, ok := cost(input, p.InputPrice, output, p.OutputPrice)
	if !ok {
		return p.Reserve
	}
	return min(charge, p.Reserve)
}

func outputBound(model declare.Model, size ChatRequest) (int64, error) {
	if size.MaxOutput < 0 {
		return 0, refuse(outcome.BadRequest, "model", size.Model, "max_tokens", "must not be negative")
	}
	if size.MaxOutput == 0 {
		return model.DefaultOutput, nil
	}
	if size.MaxOutput > model.MaxOutput {
		reason := fmt.Sprintf("must be at most %d for this model", model.MaxOutput)
		return 0, refuse(outcome.BadRequest, "model", size.Model, "max_tokens", reason)
	}
	return size.MaxOutput, nil
}

// cost returns input and output at their prices, or false when that overflows.
func cost(input, inputPrice, output, outputPrice int64) (int64, bool) {
	first, ok := multiply(input, inputPrice)
	if !ok {
		return 0, false
	}
	second, ok := multiply(output, outputPrice)
	if !ok || first > math.MaxInt64-second {
		return 0, false
	}
	return first + second, true
}

func multiply(count, price int64) (int64, bool) {
	if count < 0 || price < 0 {
		return 0, false
	}
	if price != 0 && count > math.MaxInt64/price {
		return 0, false
	}
	return count * price, true
}

func refuse(code outcome.Code, object, name, field, reason string) error {
	return &outcome.Error{Code: code, Run: journal.NotRun, Object: object, Name: name, Field: field, Reason: reason}
}
