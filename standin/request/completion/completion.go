// Package completion generates the output of a simulated model for a chat
// completion request. It does not depend on HTTP.
//
// The output starts with the text of the last message and continues with the
// digest of that text, so that a test can match a response to its request. A
// token is one word.
//
// # Usage
//
//	request, err := completion.Parse(body)
//	output := request.Generate(64)
//	for _, token := range output.Tokens {
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

// MaxEchoBytes is the maximum number of bytes of the last message that the
// output repeats.
const MaxEchoBytes = 64

// digestBytes is the number of bytes of the SHA-256 sum in the word that pads
// the output.
const digestBytes = 8

// FinishReason is the reason why generation ended.
type FinishReason string

// Values of FinishReason.
const (
	// Stop means that the output is complete.
	Stop FinishReason = "stop"
	// Length means that the token limit of the request truncated the output.
	Length FinishReason = "length"
)

// Output is the complete output for one request.
type Output struct {
	// Tokens are the words of the text with the white space between them.
	Tokens       []string
	PromptTokens int64
	FinishReason FinishReason
}

// Text returns the tokens joined to one string.
func (o Output) Text() string {
	return strings.Join(o.Tokens, "")
}

// Usage returns the token counts of the request and its output.
func (o Output) Usage() Usage {
	output := int64(len(o.Tokens))
	return Usage{
		PromptTokens:     o.PromptTokens,
		CompletionTokens: output,
		TotalTokens:      o.PromptTokens + output,
	}
}

// Generate returns the output for the request. It has defaultTokens tokens, or
// more if the repeated part of the last message has more, and is truncated to
// the token limit of the request.
func (r Request) Generate(defaultTokens int) Output {
	text := r.lastMessageText()
	tokens := splitWords(truncate(text, MaxEchoBytes))
	word := Digest(text)
	for len(tokens) < defaultTokens {
		tokens = append(tokens, " "+word)
	}
	output := Output{Tokens: tokens, PromptTokens: r.promptTokens(), FinishReason: Stop}
	if limit, ok := r.outputLimit(); ok && len(tokens) > limit {
		output.Tokens = tokens[:limit]
		output.FinishReason = Length
	}
	return output
}

// Digest returns the start of the SHA-256 sum of the text in hexadecimal. The
// output of a request contains it as a word.
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

// truncate returns the longest prefix of the text that has at most limit bytes
// and ends between two characters.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}

// splitWords returns the words of the text, each with the white space before
// it. The last word also includes the white space after it.
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
