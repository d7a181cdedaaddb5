// Package httpserver runs one HTTP server until its context ends, then lets the
// requests in progress finish.
//
// # Usage
//
//	err := httpserver.Run(ctx, httpserver.Config{Listen: "127.0.0.1:9100", Grace: time.Minute}, handler)
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Numbers of logged events.
const (
	EventListening = 9001
	EventStopping  = 9002
	EventCutOff    = 9003
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 10 * time.Second

// Config says where to listen. Grace bounds how long requests in progress may
// take once the context has ended.
type Config struct {
	Listen string
	Grace  time.Duration
}

// Run serves until the context ends and requests in progress are done. Requests
// that take longer than the grace are cut off.
func Run(ctx context.Context, config Config, handler http.Handler) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	return Serve(ctx, listener, config.Grace, handler)
}

// Serve is Run on a listener that is open already.
func Serve(ctx context.Context, listener net.Listener, grace time.Duration, handler http.Handler) error {
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
	return stop(server, grace, log)
}

func stop(server *http.Server, grace time.Duration, log *logrus.Entry) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		log.WithField("event", EventCutOff).Warn("cut off requests in progress")
		return errors.Trace(server.Close())
	}
	return errors.Trace(err)
}
