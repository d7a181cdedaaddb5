package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

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
