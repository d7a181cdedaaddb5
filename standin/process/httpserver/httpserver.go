// Package httpserver runs an HTTP server until its context is cancelled, then shuts
// it down gracefully.
//
// # Usage
//
//	err := httpserver.ListenAndServe(ctx, httpserver.Config{Listen: "127.0.0.1:9100", GracePeriod: time.Minute}, handler)
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Event numbers of log entries.
const (
	EventListening       = 9001
	EventStopping        = 9002
	EventRequestsAborted = 9003
)

// headerTimeout is the time limit for a client to send the request headers.
const headerTimeout = 10 * time.Second

// Config holds the settings of a server.
type Config struct {
	// Listen is the TCP address to listen on.
	Listen string
	// GracePeriod is the time that requests in progress have to finish after the
	// context is cancelled.
	GracePeriod time.Duration
}

// ListenAndServe serves until the context is cancelled and the requests in progress
// have finished. It closes the connections of requests that outlast the grace
// period.
func ListenAndServe(ctx context.Context, config Config, handler http.Handler) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	return Serve(ctx, listener, config.GracePeriod, handler)
}

// Serve is like ListenAndServe, for a listener that is already open.
func Serve(ctx context.Context, listener net.Listener, gracePeriod time.Duration, handler http.Handler) error {
	log := logrus.WithField("address", listener.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.WithField("event", EventListening).Info("listening")

	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	log.WithField("event", EventStopping).Info("stopping")
	return stop(server, gracePeriod, log)
}

func stop(server *http.Server, gracePeriod time.Duration, log *logrus.Entry) error {
	ctx, cancel := context.WithTimeout(context.Background(), gracePeriod)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		log.WithField("event", EventRequestsAborted).Warn("cut off requests in progress")
		return errors.Trace(server.Close())
	}
	return errors.Trace(err)
}
