// Package httpcall makes single calls to a store over HTTP, each within a time of
// its own, and tells whether a write that failed may have taken effect.
//
// A call that times out takes the idle connections with it, since these can have
// gone silent for the same reason.
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

// errTimeout ends a call that took too long.
const errTimeout = errors.ConstError("timeout")

// Config says where the service is, an IP number and a port, and how it is
// connected to. Observe, if set, is called at the start of each call with its
// operation.
type Config struct {
	Address        string
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxConnections int
	Observe        func(operation string)
}

// Call is one call. Operation and Name are for errors and counters, and Write
// says that the call changes something. Usable reports whether a status answers
// the call; without it only 200 does.
type Call struct {
	Operation string
	Name      string
	Method    string
	Path      string
	Query     url.Values
	Header    http.Header
	Body      []byte
	Timeout   time.Duration
	Write     bool
	Usable    func(status int) bool
}

// Reply is a usable answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// StatusError is a status that does not answer the call.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + http.StatusText(e.Status)
}

// Client makes calls. Its methods are safe for concurrent use.
type Client struct {
	clock     clock.Clock
	config    Config
	transport *http.Transport
	http      *http.Client
}

// New returns a client. It connects when it is first used.
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

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Do makes the call and returns its answer, or a store.UnavailableError.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	if c.config.Observe != nil {
		c.config.Observe(call.Operation)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.clock.AfterFunc(call.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()

	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	reply, err := c.send(ctx, call)
	if err == nil {
		return reply, nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errTimeout) {
		c.transport.CloseIdleConnections()
	}
	if cause == nil {
		cause = err
	}
	return Reply{}, call.Unavailable(connected && mayHaveTakenEffect(err), cause)
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

// Unavailable returns the error of the call for a cause.
func (c Call) Unavailable(ambiguous bool, cause error) error {
	return &store.UnavailableError{
		Operation: c.Operation,
		Name:      c.Name,
		Ambiguous: c.Write && ambiguous,
		Cause:     cause,
	}
}

// mayHaveTakenEffect reports whether a write that got a connection and failed
// with the error can have been carried out.
func mayHaveTakenEffect(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status >= http.StatusInternalServerError && status.Status != http.StatusServiceUnavailable
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}
