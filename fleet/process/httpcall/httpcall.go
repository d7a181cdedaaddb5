// Package httpcall makes HTTP calls to the services of the platform, such as the
// object store. A call is sent once, with a timeout of its own, and is not retried by
// this package. The error of a failed write states whether it may have taken effect.
//
// A call that gets no reply over an established connection does not show that the service
// is unavailable: connections can go silent or be reset while new ones work. Its error has
// the kind store.NoReply, and the client closes its idle connections, since they can have
// stopped responding for the same reason. The next call opens a new connection.
//
// # Usage
//
//	client := httpcall.New(clock.New(), httpcall.Config{Address: "127.0.0.1:9100"})
//	defer client.Close()
//	reply, err := client.Do(ctx, httpcall.Call{Operation: "get", Method: http.MethodGet, Path: "/objects/a"})
package httpcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/store"
)

// errTimeout is the cause that cancels a call after its timeout.
const errTimeout = errors.ConstError("timeout")

// Config configures the connections to a service.
type Config struct {
	// Address is the IP address and port of the service.
	Address        string
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxConnections int
	// Observe, if set, is called with the operation at the start of each call.
	Observe func(operation string)
	// Failed, if set, is called with the error of each failed call.
	Failed func(*store.UnavailableError)
}

// Call is one HTTP call.
type Call struct {
	// Operation and Name identify the call in errors and counters.
	Operation string
	Name      string
	Method    string
	Path      string
	Query     url.Values
	Header    http.Header
	Body      []byte
	Timeout   time.Duration
	// Write reports whether the call changes anything at the service.
	Write bool
	// Usable reports whether the HTTP status is one that the caller handles. If Usable
	// is nil, only 200 is.
	Usable func(status int) bool
}

// Reply is the response to a call whose status is usable.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// StatusError reports a response whose status is not usable for the call.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + http.StatusText(e.Status)
}

// Client makes calls to one service. Its methods are safe for concurrent use.
type Client struct {
	clock     clock.Clock
	config    Config
	transport *http.Transport
	http      *http.Client
}

// New returns a client. It connects at the first call.
func New(clk clock.Clock, config Config) *Client {
	dialer := &net.Dialer{Timeout: config.DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     config.MaxConnections,
		MaxIdleConnsPerHost: config.MaxConnections,
		IdleConnTimeout:     config.IdleTimeout,
	}
	return &Client{
		clock:     clk,
		config:    config,
		transport: transport,
		http:      &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// refuseRedirect keeps the client from following redirects, so that their status is
// checked by Call.Usable.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Do makes the call and returns its reply, or a store.UnavailableError.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	if c.config.Observe != nil {
		c.config.Observe(call.Operation)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.clock.AfterFunc(call.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()

	connected, reused := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connected, reused = true, info.Reused },
	})
	reply, err := c.send(ctx, call)
	if err == nil {
		return reply, nil
	}
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, errTimeout)
	if cause == nil {
		cause = err
	}
	failure := call.Unavailable(connected && mayHaveTakenEffect(err), cause)
	failure.Kind = failureKind(err, connected && (reused || timedOut))
	if timedOut || failure.Kind == store.NoReply {
		c.transport.CloseIdleConnections()
	}
	if c.config.Failed != nil {
		c.config.Failed(failure)
	}
	return Reply{}, failure
}

func (c *Client) send(ctx context.Context, call Call) (Reply, error) {
	request, err := call.newRequest(ctx, c.config.Address)
	if err != nil {
		return Reply{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{}, err
	}
	if !call.usable(response.StatusCode) {
		return Reply{}, &StatusError{Status: response.StatusCode}
	}
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func (c Call) newRequest(ctx context.Context, address string) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, Path: c.Path, RawQuery: c.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, c.Method, target.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	if c.Header != nil {
		request.Header = c.Header
	}
	return request, nil
}

func (c Call) usable(status int) bool {
	if c.Usable == nil {
		return status == http.StatusOK
	}
	return c.Usable(status)
}

// Unavailable returns a store.UnavailableError of the kind store.Unreachable for the call
// with the given cause. The error is ambiguous only if the call is a write.
func (c Call) Unavailable(ambiguous bool, cause error) *store.UnavailableError {
	return &store.UnavailableError{
		Operation: c.Operation,
		Name:      c.Name,
		Ambiguous: c.Write && ambiguous,
		Kind:      store.Unreachable,
		Cause:     cause,
	}
}

// failureKind returns what a failed call shows about the service. A connection was
// established if it had carried an earlier call, or if the reply did not arrive in time.
func failureKind(err error, established bool) store.FailureKind {
	var status *StatusError
	switch {
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return store.Refused
	case status == nil && established:
		return store.NoReply
	default:
		return store.Unreachable
	}
}

// mayHaveTakenEffect reports whether the service may have executed a write that got a
// connection and failed with err. It has not if it replied with a status below 500 or
// with 503, or if the connection could not be established.
func mayHaveTakenEffect(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status >= http.StatusInternalServerError && status.Status != http.StatusServiceUnavailable
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}
