package endpointapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/standin/process/endpoint"
	"jacinthpaddle.example/standin/request/completion"
	"jacinthpaddle.example/standin/request/endpointapi"
)

const (
	chatPath   = "/v1/chat/completions"
	chatBody   = `{"model":"m","messages":[{"role":"user","content":"hello world"}]}`
	streamBody = `{"model":"m","stream":true,"stream_options":{"include_usage":true},` +
		`"messages":[{"role":"user","content":"hello world"}]}`
)

// fixture is an endpoint with an HTTP server.
type fixture struct {
	endpoint *endpoint.Endpoint
	clock    *clock.Fake
	url      string
}

func newFixture(t *testing.T, config endpoint.Config) fixture {
	t.Helper()
	clk := clock.NewFake()
	config.Name = "runner-1"
	config.DefaultOutputTokens = 3
	config.Slots = max(1, config.Slots)
	ep := endpoint.New(clk, config)
	server := httptest.NewServer(endpointapi.New(ep))
	t.Cleanup(server.Close)
	return fixture{endpoint: ep, clock: clk, url: server.URL}
}

// result holds a response and the error that ended it, if any.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f fixture) send(ctx context.Context, method, path, body string) result {
	request, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Header.Set("X-Request-Id", "request-1")
	request.Header.Set("X-Attempt-Id", "attempt-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

func (f fixture) put(t *testing.T, path, body string) {
	t.Helper()
	got := f.send(t.Context(), http.MethodPut, path, body)
	if got.err != nil || got.status != http.StatusOK {
		t.Fatalf("PUT %s: got %d %v, want 200", path, got.status, got.err)
	}
}

// record returns the record of the only request.
func (f fixture) record(t *testing.T) endpoint.RequestRecord {
	t.Helper()
	got := f.send(t.Context(), http.MethodGet, "/admin/runs", "")
	var runs []endpoint.RequestRecord
	if err := json.Unmarshal([]byte(got.body), &runs); err != nil {
		t.Fatalf("runs: %v", err)
	}
	if len(runs) != 1 {
		t.Fatalf("runs: got %+v, want one", runs)
	}
	return runs[0]
}

func TestCompletionResponse(t *testing.T) {
	f := newFixture(t, endpoint.Config{})
	got := f.send(t.Context(), http.MethodPost, chatPath, chatBody)
	want := `{"id":"chatcmpl-request-1","object":"chat.completion","created":` + f.now() +
		`,"model":"m","system_fingerprint":"runner-1","choices":[{"index":0,"message":{"role":"assistant",` +
		`"content":"hello world ` + completion.Digest("hello world") + `"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}}`
	if got.body != want {
		t.Errorf("body: got %s, want %s", got.body, want)
	}
	if attempt := got.header.Get("X-Attempt-Id"); attempt != "attempt-1" {
		t.Errorf("attempt: got %q, want attempt-1", attempt)
	}
	wantRecord := endpoint.RequestRecord{
		RequestID: "request-1", Attempts: 1, Runs: 1, PromptTokens: 2, CompletionTokens: 3,
		Path: chatPath, Completed: true,
	}
	if run := f.record(t); run != wantRecord {
		t.Errorf("run: got %+v, want %+v", run, wantRecord)
	}
}

func (f fixture) now() string {
	seconds, _ := json.Marshal(f.clock.Now().Unix())
	return string(seconds)
}

func TestStreamedResponse(t *testing.T) {
	f := newFixture(t, endpoint.Config{})
	got := f.send(t.Context(), http.MethodPost, chatPath, streamBody)
	if kind := got.header.Get("Content-Type"); kind != "text/event-stream" {
		t.Errorf("content type: got %q, want text/event-stream", kind)
	}
	head := `data: {"id":"chatcmpl-request-1","object":"chat.completion.chunk","created":` + f.now() +
		`,"model":"m","system_fingerprint":"runner-1","choices":[`
	want := head + `{"index":0,"delta":{"role":"assistant","content":"hello"},"finish_reason":null}],"usage":null}` + "\n\n" +
		head + `{"index":0,"delta":{"content":" world"},"finish_reason":null}],"usage":null}` + "\n\n" +
		head + `{"index":0,"delta":{"content":" ` + completion.Digest("hello world") + `"},"finish_reason":null}],"usage":null}` + "\n\n" +
		head + `{"index":0,"delta":{"content":""},"finish_reason":"stop"}],"usage":null}` + "\n\n" +
		head + `],"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}}` + "\n\n" +
		"data: [DONE]\n\n"
	if got.body != want {
		t.Errorf("body: got %s, want %s", got.body, want)
	}
}

func TestServiceCallCountsRuns(t *testing.T) {
	f := newFixture(t, endpoint.Config{QueueLimit: 1})
	f.send(t.Context(), http.MethodPost, "/redeem", "token 7")
	got := f.send(t.Context(), http.MethodPost, "/redeem", "token 7")
	want := `{"endpoint":"runner-1","path":"/redeem","run":2,` +
		`"echo":"085202129287b53b324ddc81f59aa19abb7ab2dba255a2361e5a11d7cac8bfd8"}`
	if got.body != want {
		t.Errorf("body: got %s, want %s", got.body, want)
	}
	if run := f.record(t); run.Attempts != 2 || run.Runs != 2 {
		t.Errorf("run: got %+v, want 2 attempts and 2 runs", run)
	}
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	tests := []struct {
		name       string
		adminPath  string
		adminBody  string
		body       string
		wantStatus int
		wantState  string
	}{
		{"leaving", "/admin/state", `{"state":"leaving"}`, chatBody, http.StatusServiceUnavailable, "leaving"},
		{"refuse all", "/admin/faults", `{"refuse_all":true}`, chatBody, http.StatusServiceUnavailable, "live"},
		{"not valid", "/admin/faults", `{}`, `{}`, http.StatusBadRequest, "live"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, endpoint.Config{})
			f.put(t, test.adminPath, test.adminBody)
			got := f.send(t.Context(), http.MethodPost, chatPath, test.body)
			if got.status != test.wantStatus {
				t.Errorf("status: got %d, want %d", got.status, test.wantStatus)
			}
			if run := got.header.Get("X-Run"); run != "not_run" {
				t.Errorf("X-Run: got %q, want not_run", run)
			}
			if state := got.header.Get("X-Endpoint-State"); state != test.wantState {
				t.Errorf("X-Endpoint-State: got %q, want %q", state, test.wantState)
			}
			if run := f.record(t); run.Attempts != 1 || run.Runs != 0 {
				t.Errorf("run: got %+v, want 1 attempt and no run", run)
			}
		})
	}
}

func TestOverloadedRequestDoesNotRun(t *testing.T) {
	f := newFixture(t, endpoint.Config{})
	release, err := f.endpoint.Admit(t.Context())
	if err != nil {
		t.Fatalf("admit: got %v, want no error", err)
	}
	defer release()
	got := f.send(t.Context(), http.MethodPost, "/redeem", "")
	if got.status != http.StatusTooManyRequests || got.header.Get("X-Run") != "not_run" {
		t.Errorf("response: got %d %q, want 429 not_run", got.status, got.header.Get("X-Run"))
	}
}

func TestResponseFaults(t *testing.T) {
	tests := []struct {
		name          string
		faults        string
		body          string
		wantErr       bool
		wantBytes     int
		wantAttempt   string
		wantCompleted bool
	}{
		{"cut stream", `{"cut_after_bytes":10,"times":1}`, streamBody, true, 10, "attempt-1", false},
		{"cut JSON response", `{"cut_after_bytes":10,"times":1}`, chatBody, true, 10, "attempt-1", true},
		{"run then drop", `{"run_then_drop":true,"times":1}`, streamBody, true, 0, "", true},
		{"wrong attempt", `{"wrong_attempt":true,"times":1}`, chatBody, false, 0, "wrong-attempt-1", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, endpoint.Config{QueueLimit: 1})
			f.put(t, "/admin/faults", test.faults)
			got := f.send(t.Context(), http.MethodPost, chatPath, test.body)
			if (got.err != nil) != test.wantErr {
				t.Errorf("error: got %v, want one: %t", got.err, test.wantErr)
			}
			if test.wantErr && len(got.body) != test.wantBytes {
				t.Errorf("body: got %d bytes, want %d", len(got.body), test.wantBytes)
			}
			if attempt := got.header.Get("X-Attempt-Id"); attempt != test.wantAttempt {
				t.Errorf("attempt: got %q, want %q", attempt, test.wantAttempt)
			}
			if run := f.record(t); run.Runs != 1 || run.Completed != test.wantCompleted {
				t.Errorf("run: got %+v, want 1 run, completed: %t", run, test.wantCompleted)
			}
			next := f.send(t.Context(), http.MethodPost, chatPath, test.body)
			if next.err != nil || next.status != http.StatusOK || next.header.Get("X-Attempt-Id") != "attempt-1" {
				t.Errorf("next response: got %d %v, want 200", next.status, next.err)
			}
		})
	}
}

func TestIgnoreMaxTokensExceedsTheLimit(t *testing.T) {
	f := newFixture(t, endpoint.Config{})
	f.put(t, "/admin/faults", `{"ignore_max_tokens":true}`)
	f.send(t.Context(), http.MethodPost, chatPath, strings.Replace(chatBody, "{", `{"max_tokens":1,`, 1))
	if run := f.record(t); run.CompletionTokens != 3 {
		t.Errorf("completion tokens: got %d, want 3", run.CompletionTokens)
	}
}

func TestStalledResponseSendsNothingMore(t *testing.T) {
	f := newFixture(t, endpoint.Config{})
	f.put(t, "/admin/faults", `{"stall_after_bytes":10}`)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+chatPath, strings.NewReader(streamBody))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("send: got %v, want no error", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadFull(response.Body, make([]byte, 10)); err != nil {
		t.Fatalf("first bytes: got %v, want no error", err)
	}
	if got := f.endpoint.Load().InFlight; got != 1 {
		t.Errorf("in flight: got %d, want 1", got)
	}
	cancel()
	if _, err := response.Body.Read(make([]byte, 1)); err == nil {
		t.Error("next byte: got one, want none")
	}
}

func TestDelayedResponseArrives(t *testing.T) {
	f := newFixture(t, endpoint.Config{})
	f.put(t, "/admin/faults", `{"first_byte_delay_ms":5000}`)
	result := make(chan result, 1)
	go func() { result <- f.send(t.Context(), http.MethodPost, "/balance", "") }()
	if err := f.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if run := f.record(t); !run.Completed {
		t.Errorf("run: got %+v, want it completed", run)
	}
	f.clock.Advance(5 * time.Second)
	if got := <-result; got.err != nil || got.status != http.StatusOK {
		t.Errorf("response: got %d %v, want 200", got.status, got.err)
	}
}

func TestCancelledRequestStopsGenerating(t *testing.T) {
	f := newFixture(t, endpoint.Config{TokenDelay: time.Second, QueueLimit: 1})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan result, 1)
	go func() { result <- f.send(ctx, http.MethodPost, chatPath, streamBody) }()
	if err := f.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-result
	release, err := f.endpoint.Admit(t.Context())
	if err != nil {
		t.Fatalf("slot: got %v, want it free", err)
	}
	defer release()
	if run := f.record(t); run.CompletionTokens != 1 || run.Completed {
		t.Errorf("run: got %+v, want 1 token, not completed", run)
	}
}

func TestLoadLags(t *testing.T) {
	f := newFixture(t, endpoint.Config{Slots: 4, LoadLag: time.Second})
	f.put(t, "/admin/state", `{"state":"leaving"}`)
	want := `{"in_flight":0,"waiting":0,"slots":4,"state":"live"}` + "\n"
	if got := f.send(t.Context(), http.MethodGet, "/load", ""); got.body != want {
		t.Errorf("load: got %s, want %s", got.body, want)
	}
	f.clock.Advance(time.Second)
	want = `{"in_flight":0,"waiting":0,"slots":4,"state":"leaving"}` + "\n"
	if got := f.send(t.Context(), http.MethodGet, "/load", ""); got.body != want {
		t.Errorf("load after the lag: got %s, want %s", got.body, want)
	}
}
