package forwardserver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/auth"
	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/request/intake"
	"jacinthpaddle.example/router/connection/forwardserver"
)

var secret = []byte("fleet secret")

// newHolder starts a server with the handler under test and returns its address.
func newHolder(t *testing.T, clk clock.Clock, next http.HandlerFunc) string {
	t.Helper()
	handler := &forwardserver.Handler{Self: "b", Secret: secret, Clock: clk, Bodies: &intake.Reader{Clock: clk, MaxBytes: 1 << 10}, Next: next}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newSender(key []byte, clk clock.Clock, address string) *forward.Client {
	known := func(ident.Incarnation) (string, bool) { return address, address != "" }
	return forward.NewClient(forward.Settings{Secret: key, Clock: clk, Address: known})
}

func newRequest() forward.Request {
	header := http.Header{"Authorization": {"Bearer k"}, "Idempotency-Key": {"order 7"}, "Connection": {"close"}, "X-Forward-Settled": {"forged"}}
	return forward.Request{Method: http.MethodPut, Path: "/services/desk/redeem?hall=2", Header: header, Body: []byte("one ale")}
}

func TestForward(t *testing.T) {
	clk := clock.NewFake()
	address := newHolder(t, clk, func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		got := strings.Join([]string{
			request.Method, request.URL.Path, request.URL.RawQuery, request.RequestURI, string(body),
			request.Header.Get("Authorization"), request.Header.Get("Idempotency-Key"), request.Header.Get(forward.KeyCheckedHeader),
		}, "|")
		want := "PUT|/services/desk/redeem|hall=2|/services/desk/redeem?hall=2|one ale|Bearer k|order 7|"
		if got != want || !forward.IsForwarded(request.Context()) {
			t.Errorf("request: got %q, forwarded %t, want %q, true", got, forward.IsForwarded(request.Context()), want)
		}
		writer.Header().Set(forward.KeyCheckedHeader, "true")
		writer.WriteHeader(http.StatusAccepted)
		_, _ = writer.Write([]byte("redeemed"))
	})
	response, err := newSender(secret, clk, address).Do(t.Context(), "b", newRequest())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	recorder := httptest.NewRecorder()
	if err := forward.Relay(recorder, response); err != nil {
		t.Fatal(err)
	}
	if recorder.Code != http.StatusAccepted || recorder.Body.String() != "redeemed" {
		t.Errorf("response: got %d %q, want 202 redeemed", recorder.Code, recorder.Body)
	}
	if got := recorder.Header().Get(forward.KeyCheckedHeader); got != "" {
		t.Errorf("%s: got %q, want none", forward.KeyCheckedHeader, got)
	}
}

func TestForwardRefused(t *testing.T) {
	clk := clock.NewFake()
	reached := 0
	address := newHolder(t, clk, func(writer http.ResponseWriter, _ *http.Request) {
		reached++
		writer.WriteHeader(http.StatusTooManyRequests)
	})
	late := clock.NewFake()
	late.Advance(auth.MaxRequestAge + 2*time.Second + clk.Now().Sub(late.Now()))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	large := newRequest()
	large.Body = make([]byte, 2<<10)
	tests := []struct {
		name    string
		ctx     context.Context
		client  *forward.Client
		target  ident.Incarnation
		request forward.Request
		reason  forward.Reason
		status  int
		reached int
	}{
		{"unknown holder", t.Context(), newSender(secret, clk, ""), "b", newRequest(), forward.NoAddress, 0, 0},
		{"unreachable", cancelled, newSender(secret, clk, address), "b", newRequest(), forward.Unreachable, 0, 0},
		{"other secret", t.Context(), newSender([]byte("x"), clk, address), "b", newRequest(), forward.KeyNotChecked, 403, 0},
		{"forwarded to an earlier process at the address", t.Context(), newSender(secret, clk, address), "a", newRequest(), forward.KeyNotChecked, 403, 0},
		{"expired", t.Context(), newSender(secret, late, address), "b", newRequest(), forward.KeyNotChecked, 403, 0},
		{"too large", t.Context(), newSender(secret, clk, address), "b", large, forward.KeyNotChecked, 400, 0},
		{"refused before the key was checked", t.Context(), newSender(secret, clk, address), "b", newRequest(), forward.KeyNotChecked, 429, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reached = 0
			_, err := test.client.Do(test.ctx, test.target, test.request)
			var failed *forward.Error
			if !errors.As(err, &failed) || failed.Reason != test.reason || failed.Status != test.status {
				t.Errorf("error: got %v, want %s with status %d", err, test.reason, test.status)
			}
			if reached != test.reached {
				t.Errorf("front end: got %d requests, want %d", reached, test.reached)
			}
		})
	}
}

func TestAlteredRequestIsRefused(t *testing.T) {
	var sent http.Header
	capture := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { sent = request.Header }))
	defer capture.Close()
	clk := clock.NewFake()
	_, _ = newSender(secret, clk, strings.TrimPrefix(capture.URL, "http://")).Do(t.Context(), "b", newRequest())
	if _, err := forward.VerifyRequest(secret, sent, []byte("one ale"), "b", clk.Now()); err != nil {
		t.Fatalf("unaltered: got %v, want none", err)
	}
	if _, err := forward.VerifyRequest(secret, sent, []byte("two ales"), "b", clk.Now()); err == nil {
		t.Error("altered body: got no error")
	}
	for _, name := range []string{
		"Authorization", "Idempotency-Key", forward.MethodHeader, forward.PathHeader,
		forward.TimeHeader, forward.NonceHeader, forward.ProofHeader,
	} {
		altered := sent.Clone()
		altered.Set(name, "1"+altered.Get(name))
		if _, err := forward.VerifyRequest(secret, altered, []byte("one ale"), "b", clk.Now()); err == nil {
			t.Errorf("altered %s: got no error", name)
		}
	}
}

func TestRelayOfInterruptedResponse(t *testing.T) {
	clk := clock.NewFake()
	address := newHolder(t, clk, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(forward.KeyCheckedHeader, "true")
		_, _ = writer.Write([]byte("half"))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	})
	response, err := newSender(secret, clk, address).Do(t.Context(), "b", newRequest())
	if err != nil {
		t.Fatal(err)
	}
	err = forward.Relay(httptest.NewRecorder(), response)
	var failed *forward.Error
	if !errors.As(err, &failed) || failed.Reason != forward.Broken {
		t.Errorf("error: got %v, want %s", err, forward.Broken)
	}
}
