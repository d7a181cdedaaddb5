package completion_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/standin/request/completion"
)

func TestGenerate(t *testing.T) {
	const text = "hello  big\tworld "
	word := completion.Digest(text)
	tests := []struct {
		name       string
		limits     string
		wantText   string
		wantTokens int64
		wantFinish completion.FinishReason
	}{
		{"default length", ``, text + " " + word + " " + word, 5, completion.Stop},
		{"truncated by max_tokens", `,"max_tokens":2`, "hello  big", 2, completion.Length},
		{"truncated by max_completion_tokens", `,"max_completion_tokens":4,"max_tokens":1`, text + " " + word, 4, completion.Length},
		{"limit not reached", `,"max_tokens":5`, text + " " + word + " " + word, 5, completion.Stop},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := `{"model":"m","messages":[{"role":"system","content":"be brief"},` +
				`{"role":"user","content":[{"type":"text","text":"hello  big\tworld "}]}]` + test.limits + `}`
			request, err := completion.Parse([]byte(body))
			if err != nil {
				t.Fatalf("parse: got %v, want no error", err)
			}
			got := request.Generate(5)
			if got.Text() != test.wantText {
				t.Errorf("text: got %q, want %q", got.Text(), test.wantText)
			}
			want := completion.Usage{PromptTokens: 5, CompletionTokens: test.wantTokens, TotalTokens: 5 + test.wantTokens}
			if got.Usage() != want {
				t.Errorf("usage: got %+v, want %+v", got.Usage(), want)
			}
			if got.FinishReason != test.wantFinish {
				t.Errorf("finish: got %q, want %q", got.FinishReason, test.wantFinish)
			}
		})
	}
}

// Guards against a token that ends within a UTF-8 character: after the one byte of a,
// the limit MaxEchoBytes falls between the two bytes of a character.
func TestGenerateRepeatsWholeCharacters(t *testing.T) {
	body := `{"model":"m","messages":[{"content":"` + strings.Repeat("ō", 40) + `x"}]}`
	body = strings.Replace(body, "ō", "a", 1)
	request, err := completion.Parse([]byte(body))
	if err != nil {
		t.Fatalf("parse: got %v, want no error", err)
	}
	got := request.Generate(1).Text()
	want := "a" + strings.Repeat("ō", 31)
	if got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
}

func TestParseRefuses(t *testing.T) {
	tests := []struct {
		name      string
		body      string
		wantField string
	}{
		{"not JSON", `{`, "body"},
		{"no model", `{"messages":[{"content":"a"}]}`, "model"},
		{"no messages", `{"model":"m"}`, "messages"},
		{"limit of zero", `{"model":"m","messages":[{"content":"a"}],"max_tokens":0}`, "max_completion_tokens"},
		{"content of another type", `{"model":"m","messages":[{"content":1}]}`, "body"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := completion.Parse([]byte(test.body))
			var invalid *completion.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("error: got %v, want an InvalidError", err)
			}
			if invalid.Field != test.wantField {
				t.Errorf("field: got %q, want %q", invalid.Field, test.wantField)
			}
		})
	}
}
