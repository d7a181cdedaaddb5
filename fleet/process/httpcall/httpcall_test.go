package httpcall_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/httpcall"
	"jacinthpaddle.example/fleet/process/store"
)

// behavior is what a connection of a service does with a request.
type behavior string

const (
	replies behavior = "replies"
	silent  behavior = "silent"
	closes  behavior = "closes"
	limits  behavior = "limits"
	refuses behavior = "refuses"
)

// service serves one scripted connection after another. Each has a behavior for each of
// its requests and is silent after the last one.
type service struct {
	listener net.Listener
	received chan struct{}
}

func newService(t *testing.T, connections ...[]behavior) *service {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	made := &service{listener: listener, received: make(chan struct{}, 16)}
	go func() {
		for _, script := range connections {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go made.serve(connection, script)
		}
	}()
	return made
}

func (s *service) serve(connection net.Conn, script []behavior) {
	reader := bufio.NewReader(connection)
	for _, step := range append(script, silent) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		s.received <- struct{}{}
		status := "200 OK"
		switch step {
		case silent:
			continue
		case closes:
			_ = connection.Close()
			return
		case limits:
			status = "429 Too Many Requests"
		case refuses:
			status = "503 Service Unavailable"
		}
		_, _ = connection.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
	}
}

// TestFailuresOfConnectionsAreNotOutages guards against connections that went silent being
// taken for an outage of the store, after which endpoints that had left were kept in use.
func TestFailuresOfConnectionsAreNotOutages(t *testing.T) {
	tests := []struct {
		name string
		// used is true if the failing call reuses the connection of another one.
		used bool
		step behavior
		want store.FailureKind
	}{
		{"silent connection", true, silent, store.NoReply},
		{"silent new connection", false, silent, store.NoReply},
		{"closed connection", true, closes, store.NoReply},
		{"closed new connection", false, closes, store.Unreachable},
		{"rate limited", true, limits, store.Refused},
		{"not available", true, refuses, store.Unreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script := []behavior{test.step}
			if test.used {
				script = []behavior{replies, test.step}
			}
			made := newService(t, script, []behavior{replies})
			fake := clock.NewFake()
			var failed []*store.UnavailableError
			client := httpcall.New(fake, httpcall.Config{
				Address: made.listener.Addr().String(), DialTimeout: time.Minute, IdleTimeout: time.Minute,
				MaxConnections: 2, Failed: func(failure *store.UnavailableError) { failed = append(failed, failure) },
			})
			defer client.Close()
			// A POST is not repeated by net/http itself.
			call := httpcall.Call{Operation: "update", Method: http.MethodPost, Path: "/", Timeout: time.Second}
			if test.used {
				made.call(t, client, call)
			}
			result := make(chan error, 1)
			go func() {
				_, err := client.Do(context.Background(), call)
				result <- err
			}()
			<-made.received
			if test.step == silent {
				fake.Advance(call.Timeout)
			}
			var got *store.UnavailableError
			if err := <-result; !errors.As(err, &got) || got.Kind != test.want {
				t.Fatalf("error: got %#v, want kind %s", err, test.want)
			}
			if len(failed) != 1 || failed[0] != got {
				t.Errorf("reported failures: got %v, want the one that was returned", failed)
			}
			if test.want == store.NoReply {
				made.call(t, client, call)
			}
		})
	}
}

// call makes a call that succeeds.
func (s *service) call(t *testing.T, client *httpcall.Client, call httpcall.Call) {
	t.Helper()
	if _, err := client.Do(context.Background(), call); err != nil {
		t.Fatalf("call: got %v, want a reply", err)
	}
	<-s.received
}

func TestServiceWithoutListenerIsUnreachable(t *testing.T) {
	made := newService(t)
	address := made.listener.Addr().String()
	if err := made.listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := httpcall.New(clock.NewFake(), httpcall.Config{Address: address, DialTimeout: time.Minute})
	_, err := client.Do(context.Background(), httpcall.Call{Operation: "get", Method: http.MethodGet, Path: "/", Timeout: time.Second})
	var got *store.UnavailableError
	if !errors.As(err, &got) || got.Kind != store.Unreachable {
		t.Errorf("error: got %v, want kind %s", err, store.Unreachable)
	}
}
