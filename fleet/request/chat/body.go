// Package chat reads and writes the messages of the OpenAI-compatible chat completions
// API, limited to the fields that the router uses.
//
// # Usage
//
//	request, err := chat.ParseRequest(raw)
//	encoded, err := request.EncodeForEndpoint("engine-model", plan.MaxOutput)
//	frames := chat.NewReader(response.Body)
package chat

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/outcome"
)

// Request is a request for a chat completion. Fields that the router does not use are
// kept and forwarded unchanged.
type Request struct {
	Model string
	// Messages is the number of messages.
	Messages int
	// MaxOutput is the requested limit of output tokens, or zero if the request sets none.
	MaxOutput int64
	Stream    bool
	// IncludeUsage is true if the caller requested the usage frame of a stream.
	IncludeUsage bool

	fields       map[string]json.RawMessage
	firstMessage json.RawMessage
	size         int
}

type requestFields struct {
	Model               string         `json:"model"`
	Messages            messageList    `json:"messages"`
	MaxTokens           *int64         `json:"max_tokens"`
	MaxCompletionTokens *int64         `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	Choices             *int64         `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ParseRequest parses a request. An error is an *outcome.Error with run not_run.
func ParseRequest(raw []byte) (Request, error) {
	var parsed requestFields
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return Request{}, invalidField("body", "not a valid chat completion request: "+err.Error())
	}
	if parsed.Model == "" {
		return Request{}, invalidField("model", "is missing")
	}
	if parsed.Messages.count == 0 {
		return Request{}, invalidField("messages", "is missing or empty")
	}
	if parsed.Choices != nil && *parsed.Choices != 1 {
		return Request{}, invalidField("n", "only one choice is served")
	}
	limit, err := outputLimit(parsed)
	if err != nil {
		return Request{}, err
	}
	request := Request{
		Model:        parsed.Model,
		Messages:     parsed.Messages.count,
		MaxOutput:    limit,
		Stream:       parsed.Stream,
		IncludeUsage: parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage,
		firstMessage: parsed.Messages.first,
		size:         len(raw),
	}
	if err := json.Unmarshal(raw, &request.fields); err != nil {
		return Request{}, invalidField("body", err.Error())
	}
	return request, nil
}

// outputLimit returns the requested limit of output tokens, or zero if there is none.
// max_completion_tokens takes precedence over max_tokens, the older name.
func outputLimit(parsed requestFields) (int64, error) {
	limit := parsed.MaxCompletionTokens
	field := "max_completion_tokens"
	if limit == nil {
		limit = parsed.MaxTokens
		field = "max_tokens"
	}
	if limit == nil {
		return 0, nil
	}
	if *limit <= 0 {
		return 0, invalidField(field, "must be greater than zero")
	}
	return *limit, nil
}

// InputBytes returns the size of the request, an upper bound of its input tokens.
func (r Request) InputBytes() int64 {
	return int64(r.size)
}

// PrefixHash returns a hash of the model and the first message, which requests with the
// same system prompt have in common.
func (r Request) PrefixHash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Model)
	_, _ = digest.Write(r.firstMessage)
	return digest.Sum64()
}

// EncodeForEndpoint returns the request to send to an endpoint: with the endpoint's name
// of the model, with the given limit of output tokens, and with usage requested if the
// response is streamed.
func (r Request) EncodeForEndpoint(model string, maxOutput int64) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.fields)+4)
	for name, value := range r.fields {
		fields[name] = value
	}
	delete(fields, "max_completion_tokens")
	if err := setField(fields, "model", model); err != nil {
		return nil, err
	}
	if err := setField(fields, "max_tokens", maxOutput); err != nil {
		return nil, err
	}
	if r.Stream {
		if err := setField(fields, "stream_options", streamOptions{IncludeUsage: true}); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

func setField(fields map[string]json.RawMessage, name string, value any) error {
	encoded, err := json.Marshal(value)
	fields[name] = encoded
	return err
}

// invalidField returns the error for a request with a missing or invalid field.
func invalidField(field, reason string) error {
	return &outcome.Error{
		Code:   outcome.BadRequest,
		Run:    journal.NotRun,
		Object: "request",
		Field:  field,
		Reason: reason,
	}
}
