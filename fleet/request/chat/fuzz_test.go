package chat_test

import (
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
