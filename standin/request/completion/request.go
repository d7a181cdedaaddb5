package completion

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// Request holds the fields of a chat completion request that the simulated
// endpoint supports.
type Request struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
}

// StreamOptions are the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of the conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. It decodes both forms of the API: a string
// and a list of parts, whose texts are joined.
type Content struct {
	Text string
}

// part is one element of a content in list form.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	if json.Unmarshal(data, &c.Text) == nil {
		return nil
	}
	var parts []part
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.Annotate(err, "content")
	}
	texts := make([]string, 0, len(parts))
	for _, element := range parts {
		texts = append(texts, element.Text)
	}
	c.Text = strings.Join(texts, "")
	return nil
}

// Usage holds the token counts of one request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// InvalidError reports a field of a request that is missing or not valid.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

// Parse decodes and validates a request. Its errors are of type *InvalidError.
func Parse(body []byte) (Request, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return Request{}, &InvalidError{Field: "body", Reason: err.Error()}
	}
	if request.Model == "" {
		return Request{}, &InvalidError{Field: "model", Reason: "is missing"}
	}
	if len(request.Messages) == 0 {
		return Request{}, &InvalidError{Field: "messages", Reason: "is empty"}
	}
	if limit, ok := request.outputLimit(); ok && limit < 1 {
		return Request{}, &InvalidError{Field: "max_completion_tokens", Reason: "is below 1"}
	}
	return request, nil
}

// IncludeUsage reports whether the last chunk of a stream contains the usage.
func (r Request) IncludeUsage() bool {
	return r.StreamOptions != nil && r.StreamOptions.IncludeUsage
}

// outputLimit returns the maximum number of output tokens and whether the request
// sets one. MaxCompletionTokens takes precedence over MaxTokens.
func (r Request) outputLimit() (int, bool) {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens, true
	}
	if r.MaxTokens != nil {
		return *r.MaxTokens, true
	}
	return 0, false
}
