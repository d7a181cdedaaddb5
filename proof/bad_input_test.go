package proof_test

import (
	"net/http"
	"strings"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// badInput is a call that must be refused, with the expected error response.
type badInput struct {
	call   harness.Call
	status int
	code   string
	object string
	field  string
}

const (
	chatPath    = "/v1/chat/completions"
	balancePath = "/services/balance/balance/bad-input"
	// maxBodyBytes and maxHeaderBytes are the limits in the settings of the routers.
	maxBodyBytes   = 4096
	maxHeaderBytes = 2048
	// headerSlack is larger than the margin that net/http adds to the header limit.
	headerSlack = 16384
)

func badInputs() map[string]badInput {
	chat := func(body string) harness.Call {
		return harness.Call{Method: http.MethodPost, Path: chatPath, Key: harness.HallKey, Body: body}
	}
	bad := func(object, field string, call harness.Call) badInput {
		return badInput{call, http.StatusBadRequest, "bad_request", object, field}
	}
	const messages = `"messages": [{"role": "user", "content": "x"}]`
	large := strings.Repeat("x", maxBodyBytes+1)
	return map[string]badInput{
		"malformed JSON":      bad("request", "body", chat(`{"model": "small",`)),
		"wrong type":          bad("request", "body", chat(`{"model": 7, `+messages+`}`)),
		"empty body":          bad("request", "body", chat(``)),
		"missing model":       bad("request", "model", chat(`{`+messages+`}`)),
		"missing messages":    bad("request", "messages", chat(`{"model": "small"}`)),
		"negative max_tokens": bad("request", "max_tokens", chat(`{"model": "small", "max_tokens": -1, `+messages+`}`)),
		"zero max_tokens":     bad("request", "max_tokens", chat(`{"model": "small", "max_tokens": 0, `+messages+`}`)),
		"huge max_tokens":     bad("model", "max_tokens", chat(`{"model": "small", "max_tokens": 1025, `+messages+`}`)),
		"two choices":         bad("request", "n", chat(`{"model": "small", "n": 2, `+messages+`}`)),
		"unknown model": {
			chat(`{"model": "large", ` + messages + `}`), http.StatusNotFound, "not_found", "model", "model",
		},
		"oversized chat": {
			chat(`{"model": "small", "messages": [{"role": "user", "content": "` + large + `"}]}`),
			http.StatusRequestEntityTooLarge, "too_large", "request", "body",
		},
		"oversized service call": {
			harness.Call{Method: http.MethodPost, Path: balancePath, Key: harness.HallKey, Body: large},
			http.StatusRequestEntityTooLarge, "too_large", "request", "body",
		},
		"unknown service": {
			harness.Call{Method: http.MethodPost, Path: "/services/refund/7", Key: harness.HallKey},
			http.StatusNotFound, "not_found", "service", "path",
		},
		"unknown path": {
			harness.Call{Method: http.MethodPost, Path: "/v1/embeddings", Key: harness.HallKey},
			http.StatusNotFound, "not_found", "path", "path",
		},
		"missing key": {
			harness.Call{Method: http.MethodPost, Path: balancePath},
			http.StatusUnauthorized, "unauthorized", "key", "authorization",
		},
		"wrong key": {
			harness.Call{Method: http.MethodPost, Path: balancePath, Key: "nobody"},
			http.StatusUnauthorized, "unauthorized", "key", "authorization",
		},
		"wrong key of a chat": {
			harness.Call{Method: http.MethodPost, Path: chatPath, Key: "nobody", Body: `{"model": "small", ` + messages + `}`},
			http.StatusUnauthorized, "unauthorized", "key", "authorization",
		},
	}
}

func TestBadInput(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{
		Network:   12,
		Routers:   1,
		Endpoints: 1,
		Settings:  "[limits]\nmax_body_bytes = 4096\nmax_header_bytes = 2048\n",
	})
	caller := harness.NewClient(t)
	for name, test := range badInputs() {
		t.Run(name, func(t *testing.T) {
			checkRefusal(t, caller.Send(t.Context(), f.Routers[0].CallerAddress(), test.call), test)
		})
	}
	t.Run("oversized header", func(t *testing.T) { checkLargeHeader(t, f, caller) })
	read, err := f.ReadRecords(t.Context())
	if err != nil {
		t.Fatalf("totals: got %v, want no error", err)
	}
	if got := len(read.Entries); got != 0 {
		t.Errorf("bills: got %d, want 0", got)
	}
	if got := len(read.Runs); got != 0 {
		t.Errorf("requests at endpoints: got %d, want 0", got)
	}
	good := harness.ServiceCall(harness.HallKey, "balance", "good-input")
	checkCompleteResponse(t, good, caller.Send(t.Context(), f.Routers[0].CallerAddress(), good.Call))
}

func checkRefusal(t *testing.T, got harness.Reply, want badInput) {
	t.Helper()
	if got.Failure == nil {
		t.Fatalf("got status %d and no typed error (%v), want %q", got.Status, got.Err, want.code)
	}
	if got.Status != want.status {
		t.Errorf("status: got %d, want %d", got.Status, want.status)
	}
	if got.Failure.Code != want.code {
		t.Errorf("code: got %q, want %q", got.Failure.Code, want.code)
	}
	if got.Failure.Object != want.object {
		t.Errorf("object: got %q, want %q", got.Failure.Object, want.object)
	}
	if got.Failure.Param != want.field {
		t.Errorf("field: got %q, want %q", got.Failure.Param, want.field)
	}
	if got.RunStatus != "not_run" {
		t.Errorf("run: got %q, want not_run", got.RunStatus)
	}
	if got.Failure.Message == "" {
		t.Error("message: got none, want a reason")
	}
}

// checkLargeHeader asserts the status with which net/http rejects a header above the
// limit. The rejection precedes the handler, so its body has no error object.
func checkLargeHeader(t *testing.T, f *harness.Fleet, caller *harness.Client) {
	t.Helper()
	large := harness.Call{
		Method: http.MethodPost,
		Path:   balancePath,
		Key:    harness.HallKey,
		Header: http.Header{"X-Large": {strings.Repeat("x", maxHeaderBytes+headerSlack)}},
	}
	got := caller.Send(t.Context(), f.Routers[0].CallerAddress(), large)
	if want := http.StatusRequestHeaderFieldsTooLarge; got.Status != want {
		t.Errorf("status: got %d (%v), want %d", got.Status, got.Err, want)
	}
}

// checkCompleteResponse asserts that the reply is the complete response to the
// operation.
func checkCompleteResponse(t *testing.T, operation harness.Operation, got harness.Reply) {
	t.Helper()
	if !got.OK() {
		t.Errorf("%s: got status %d, failure %+v, error %v, want a result", operation.Name, got.Status, got.Failure, got.Err)
		return
	}
	if err := operation.CheckBody(got.Body); err != nil {
		t.Errorf("%s: response: %v", operation.Name, err)
	}
}
