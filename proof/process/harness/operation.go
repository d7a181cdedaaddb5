package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// fillerDigestBytes is the length of the digest that the endpoint stand-in repeats to
// fill a response.
const fillerDigestBytes = 8

// Operation is one logical request of a caller, sent in one or more attempts.
type Operation struct {
	Call       Call
	Name       string
	Idempotent bool
	// Keyed is true if the calls carry an idempotency key. Such an operation may be
	// repeated even if it is not idempotent.
	Keyed bool
	// CheckBody returns an error unless the body is the complete expected response.
	CheckBody func(body string) error
}

// StreamedChat returns a streamed chat completion of that many tokens. The name is
// its message, a single word that no other operation uses.
func StreamedChat(key, name string, tokens int) Operation {
	content := ExpectedContent(name, tokens)
	return Operation{
		Call:       chatCall(key, name, tokens, true),
		Name:       name,
		Idempotent: true,
		CheckBody:  func(body string) error { return compareText(body, content) },
	}
}

// UnstreamedChat returns a chat completion whose response is not streamed.
func UnstreamedChat(key, name string, tokens int) Operation {
	content := ExpectedContent(name, tokens)
	return Operation{
		Call:       chatCall(key, name, tokens, false),
		Name:       name,
		Idempotent: true,
		CheckBody: func(body string) error {
			var completion struct {
				Choices []struct {
					Message struct {
						Content string `json:"content"`
					} `json:"message"`
				} `json:"choices"`
			}
			if err := json.Unmarshal([]byte(body), &completion); err != nil {
				return err
			}
			if len(completion.Choices) != 1 {
				return fmt.Errorf("got %d choices, want 1", len(completion.Choices))
			}
			return compareText(completion.Choices[0].Message.Content, content)
		},
	}
}

// ServiceCall returns a call of a service. The name is part of its path, so that
// endpoints count its runs by path.
func ServiceCall(key, route, name string) Operation {
	path := "/" + route + "/" + name
	return Operation{
		Call:       Call{Method: http.MethodPost, Path: "/services/" + route + path, Key: key, Body: name},
		Name:       name,
		Idempotent: route == "balance",
		CheckBody: func(body string) error {
			var answer struct {
				Path string `json:"path"`
				Echo string `json:"echo"`
			}
			if err := json.Unmarshal([]byte(body), &answer); err != nil {
				return err
			}
			sum := sha256.Sum256([]byte(name))
			if err := compareText(answer.Echo, hex.EncodeToString(sum[:])); err != nil {
				return err
			}
			return compareText(answer.Path, path)
		},
	}
}

// keyed returns the operation with an idempotency key.
func (w Operation) keyed() Operation {
	w.Call.Header = http.Header{"Idempotency-Key": {"key-" + w.Name}}
	w.Keyed = true
	return w
}

func chatCall(key, message string, tokens int, stream bool) Call {
	body := fmt.Sprintf(`{"model": "small", "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		stream, tokens, message)
	return Call{
		Method: http.MethodPost,
		Path:   "/v1/chat/completions",
		Key:    key,
		Body:   body,
		Header: http.Header{"Content-Type": {"application/json"}},
	}
}

// ExpectedContent returns the complete content that the endpoint stand-in generates for
// a message of one word.
func ExpectedContent(message string, tokens int) string {
	sum := sha256.Sum256([]byte(message))
	return message + strings.Repeat(" "+hex.EncodeToString(sum[:fillerDigestBytes]), tokens-1)
}

// compareText returns an error with the start of both texts if they differ.
func compareText(got, want string) error {
	if got == want {
		return nil
	}
	return fmt.Errorf("got %d bytes %.40q, want %d bytes %.40q", len(got), got, len(want), want)
}
