package chat_test

import (
	"encoding/json"
	"testing"

	"jacinthpaddle.example/fleet/request/chat"
)

// FuzzParseRequest checks that what a caller sends is refused or can be encoded.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[null],"n":1,"stream":true,"stream_options":{"include_usage":true}}`))
	f.Add([]byte(`{"model":"m","messages":[1],"max_completion_tokens":9223372036854775807}`))
	f.Add([]byte("{\"model\":\"\xff\",\"messages\":[[]]}"))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := chat.ParseRequest(raw)
		if err != nil {
			return
		}
		if request.Model == "" || request.Messages < 1 || request.MaxOutput < 0 || request.InputBytes() < 0 {
			t.Errorf("got %+v, want a model, messages and no negative count", request)
		}
		request.PrefixHash()
		if _, err := request.EncodeForEndpoint("target", 1); err != nil {
			t.Errorf("encode: got %v, want no error", err)
		}
	})
}

// FuzzMessages compares the count of messages with that of a decoder.
func FuzzMessages(f *testing.F) {
	for _, seed := range []string{`[]`, `[ ]`, `["a,]\"",{"b":[1,2]},[],"\\"]`, `[1 , "]"]`, `null`, `[[[,]]]`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, messages string) {
		var decoded struct {
			Messages []json.RawMessage `json:"messages"`
		}
		raw := []byte(`{"model":"m","messages":` + messages + `}`)
		failed := json.Unmarshal(raw, &decoded)
		request, err := chat.ParseRequest(raw)
		if err != nil {
			return
		}
		if failed != nil || request.Messages != len(decoded.Messages) {
			t.Errorf("got %d messages, want %d and %v", request.Messages, len(decoded.Messages), failed)
		}
	})
}
