package httpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jacinthpaddle.example/standin/process/httpserver"
)

func TestStopFinishesRequestsInProgress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	arrived := make(chan struct{})
	finish := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	stopped := make(chan error, 1)
	go func() { stopped <- httpserver.Serve(ctx, listener, time.Minute, handler) }()

	body := make(chan string, 1)
	go func() { body <- get(t, "http://"+listener.Addr().String()) }()
	<-arrived
	stop()
	close(finish)
	if got := <-body; got != "whole" {
		t.Errorf("body: got %q, want whole", got)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want no error", err)
	}
}

// get returns the response body, or the text of the error.
func get(t *testing.T, url string) string {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(content)
}
