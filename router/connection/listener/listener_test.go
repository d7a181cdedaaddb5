package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"jacinthpaddle.example/router/connection/listener"
)

// TestShutdownServesEstablishedConnections has callers connect and send their requests
// before the first connection is accepted, as a busy process does late in a drain. The
// kernel reset such connections when the socket closed: 18 of 60 callers saw their
// connection end without a response during a planned stop.
func TestShutdownServesEstablishedConnections(t *testing.T) {
	const callers = 40
	opened, err := listener.Open("127.0.0.1:0", listener.Limits{}, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Connection", "close")
		_, _ = io.WriteString(writer, "served")
	}))
	if err != nil {
		t.Fatal(err)
	}
	var connections []net.Conn
	for range callers {
		connection, err := net.Dial("tcp", opened.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: hall\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		connections = append(connections, connection)
	}
	served := make(chan error, 1)
	go func() { served <- opened.Serve() }()
	if err := opened.Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown: got %v, want no error", err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: got %v, want no error", err)
	}
	got := 0
	for _, connection := range connections {
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Logf("response: %v", err)
			continue
		}
		body, _ := io.ReadAll(response.Body)
		if string(body) == "served" {
			got++
		}
	}
	if got != callers {
		t.Errorf("responses: got %d, want %d", got, callers)
	}
	if _, err := net.Dial("tcp", opened.Address()); err == nil {
		t.Error("connection after the shutdown: got accepted, want refused")
	}
}

// TestShutdownWithoutServe must end although nothing accepts.
func TestShutdownWithoutServe(t *testing.T) {
	opened, err := listener.Open("127.0.0.1:0", listener.Limits{}, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := opened.Shutdown(context.Background()); err != nil {
			t.Errorf("shutdown: got %v, want no error", err)
		}
	}
}

// TestRequestsLateInAShutdownAreNotTaken guards against requests that are passed on late in
// a planned stop and cut off at its end, among them such that may not be repeated. While a
// shutdown waits for a request in progress, further ones arrive on kept connections, on new
// ones whose first request is late, and behind the request in progress.
func TestRequestsLateInAShutdownAreNotTaken(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: hall\r\nContent-Length: 0\r\n\r\n"
	started, release := make(chan struct{}), make(chan struct{})
	var taken atomic.Int64
	opened, err := listener.Open("127.0.0.1:0", listener.Limits{}, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if taken.Add(1) == 2 {
			close(started)
			<-release
		}
		_, _ = io.WriteString(writer, "served")
	}))
	if err != nil {
		t.Fatal(err)
	}
	dial := func() (net.Conn, *bufio.Reader) {
		connection, err := net.Dial("tcp", opened.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
		return connection, bufio.NewReader(connection)
	}
	send := func(connection net.Conn) {
		// The other side may have closed the connection.
		_, _ = io.WriteString(connection, request)
	}
	served := make(chan error, 1)
	go func() { served <- opened.Serve() }()
	kept, keptReader := dial()
	send(kept)
	if response, err := http.ReadResponse(keptReader, nil); err != nil || response.Close {
		t.Fatalf("response on a kept connection: got %+v and %v, want one that keeps it", response, err)
	} else if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	fresh, freshReader := dial()
	busy, busyReader := dial()
	send(busy)
	<-started
	shutDown := make(chan error, 1)
	go func() { shutDown <- opened.Shutdown(context.Background()) }()
	// The kept connection is closed once the server has begun to shut down.
	if _, err := keptReader.ReadByte(); err == nil {
		t.Error("kept connection in a shutdown: got a byte, want it closed")
	}
	for _, connection := range []net.Conn{kept, fresh, busy} {
		send(connection)
	}
	if response, err := http.ReadResponse(freshReader, nil); err == nil {
		t.Errorf("late first request: got status %d, want its connection closed", response.StatusCode)
	}
	close(release)
	response, err := http.ReadResponse(busyReader, nil)
	if err != nil {
		t.Fatalf("request in progress: got %v, want a response", err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "served" || !response.Close {
		t.Errorf("request in progress: got %q, %v and close %t, want it whole and the connection closed", body, err, response.Close)
	}
	if _, err := http.ReadResponse(busyReader, nil); err == nil {
		t.Error("request behind the one in progress: got a response, want its connection closed")
	}
	if err := <-shutDown; err != nil {
		t.Errorf("shutdown: got %v, want no error", err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: got %v, want no error", err)
	}
	if got := taken.Load(); got != 2 {
		t.Errorf("requests taken: got %d, want the 2 before the shutdown", got)
	}
}
