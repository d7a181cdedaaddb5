package chat_test

import (
	"runtime"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/request/chat"
)

// TestManyMessagesTakeLittleMemory parses a body of 1 MiB with 500,000 messages.
func TestManyMessagesTakeLittleMemory(t *testing.T) {
	const count = 500_000
	body := []byte(`{"model":"m","messages":[` + strings.Repeat("0,", count-1) + `0]}`)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	request, err := chat.ParseRequest(body)
	runtime.ReadMemStats(&after)
	if err != nil || request.Messages != count {
		t.Fatalf("got %d messages and %v, want %d", request.Messages, err, count)
	}
	if got, want := after.TotalAlloc-before.TotalAlloc, uint64(4*len(body)); got > want {
		t.Errorf("allocated: got %d bytes, want at most %d", got, want)
	}
}

func TestFirstMessageDeterminesThePrefix(t *testing.T) {
	parse := func(messages string) chat.Request {
		t.Helper()
		request, err := chat.ParseRequest([]byte(`{"messages":["other"],"model":"m","messages":` + messages + `}`))
		if err != nil {
			t.Fatalf("%s: got %v, want no error", messages, err)
		}
		return request
	}
	first, second := parse(`[ {"a": [1]} , 2]`), parse(`[{"a": [1]},3,4]`)
	if first.PrefixHash() != second.PrefixHash() || first.Messages != 2 || second.Messages != 3 {
		t.Errorf("got %d and %d messages with hashes %x and %x, want 2 and 3 with one hash",
			first.Messages, second.Messages, first.PrefixHash(), second.PrefixHash())
	}
	for _, messages := range []string{"null", "[]", "{}", `"x"`, "7"} {
		if _, err := chat.ParseRequest([]byte(`{"model":"m","messages":` + messages + `}`)); err == nil {
			t.Errorf("%s: got no error, want one", messages)
		}
	}
}
