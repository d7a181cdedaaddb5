// Package completion decides what a stand-in endpoint answers to a chat
// completion. It knows nothing of HTTP.
//
// An answer starts with the text of the last message and goes on with the
// digest of that text, so that a test can tell whose answer it is. A token is
// one word.
//
// # Usage
//
//	request, err := completion.Parse(body)
//	answer := request.Generate(64)
//	for _, token := range answer.Tokens {
//		send(token)
//	}
package completion

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxEchoBytes bounds how much of the last message an answer starts with.
const MaxEchoBytes = 64

// digestBytes is the length of the word that fills an answer.
const digestBytes = 8

// FinishReason says why an answer ended.
type FinishReason string

// Reasons to end an answer.
const (
	Stop   FinishReason = "stop"
	Length FinishReason = "length"
)

// Output is the whole answer. Its tokens joined are its text.
type Output struct {
	Tokens       []string
	PromptTokens int64
	FinishReason FinishReason
}

// Text returns the whole text.
func (a Output) Text() string {
	return strings.Join(a.Tokens, "")
}

// Usage counts the tokens of the answer.
func (a Output) Usage() Usage {
	output := int64(len(a.Tokens))
	return Usage{
		PromptTokens:     a.PromptTokens,
		CompletionTokens: output,
		TotalTokens:      a.PromptTokens + output,
	}
}

// Generate returns the answer to the request. It has the natural number of
// tokens, unless the last message needs more or the request allows fewer.
func (r Request) Generate(defaultTokens int) Output {
	text := r.lastMessageText()
	tokens := splitWords(truncate(text, MaxEchoBytes))
	word := Digest(text)
	for len(tokens) < defaultTokens {
		tokens = append(tokens, " "+word)
	}
	answer := Output{Tokens: tokens, PromptTokens: r.promptTokens(), FinishReason: Stop}
	if limit, ok := r.outputLimit(); ok && len(tokens) > limit {
		answer.Tokens = tokens[:limit]
		answer.FinishReason = Length
	}
	return answer
}

// Digest returns the word that stands for the text in answers.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

func (r Request) lastMessageText() string {
	return r.Messages[len(r.Messages)-1].Content.Text
}

func (r Request) promptTokens() int64 {
	words := 0
	for _, message := range r.Messages {
		words += len(strings.Fields(message.Content.Text))
	}
	return int64(max(1, words))
}

// truncate returns at most the number of bytes of the text, in whole characters.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}

// splitWords returns the words of the text, each with the white space before it. The
// last one has the white space after it too.
func splitWords(text string) []string {
	tokens := []string{}
	start := 0
	inWord := false
	for position, char := range text {
		space := unicode.IsSpace(char)
		if space && inWord {
			tokens = append(tokens, text[start:position])
			start = position
		}
		inWord = !space
	}
	if inWord || len(tokens) == 0 && text != "" {
		return append(tokens, text[start:])
	}
	if len(tokens) > 0 {
		tokens[len(tokens)-1] += text[start:]
	}
	return tokens
}
