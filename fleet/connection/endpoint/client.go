package endpoint

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/clock"
)

// Phase is how far a request had progressed when it failed.
type Phase string

// Phases, earliest first.
const (
	// BeforeConnect means that no connection was assigned.
	BeforeConnect Phase = "before_connect"
	// AfterConnect means that a connection was assigned and no byte was written.
	AfterConnect Phase = "after_connect"
	// AfterRequestBytes means that a part of the request may have been sent.
	AfterRequestBytes Phase = "after_request_bytes"
	// AfterHeaders means that the head of the response arrived.
	AfterHeaders Phase = "after_headers"
	// MidStream means that a part of the response body arrived.
	MidStream Phase = "mid_stream"
)

// Arrived reports whether a part of the request may have reached the endpoint.
func (p Phase) Arrived() bool {
	return p != BeforeConnect && p != AfterConnect
}

// CallError means that a request failed or that its response is incomplete.
type CallError struct {
	Address string
	// Phase is how far the request had progressed.
	Phase Phase
	// Inactive is true if no data arrived within the inactivity timeout.
	Inactive bool
	// Canceled is true if the context of the request ended for another reason.
	Canceled bool
	Cause    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("endpoint %s: failed in phase %s: inactive=%t: %v", e.Address, e.Phase, e.Inactive, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Cause
}

// InactivityError means that no data arrived within the timeout.
type InactivityError struct {
	Timeout time.Duration
}

// Error implements error.
func (e *InactivityError) Error() string {
	return fmt.Sprintf("no data arrived within %s", e.Timeout)
}

// Limits bounds the waits of one request. Zero is no bound.
type Limits struct {
	// Header bounds the wait for the head of the response.
	Header time.Duration
	// Stall bounds the wait for each further part of the response, or for its progress
	// after Response.MeasureProgress.
	Stall time.Duration
	// GiveUp, if set, decides when an endpoint has sent nothing for Stall whether the request
	// is given up or waits for as long again. It is called by another goroutine.
	GiveUp func() bool
}

// Call is one request to an endpoint.
type Call struct {
	Method string
	// Host is the value of the Host header. If it is empty, the endpoint's address is used.
	Host string
	// Path may include a query.
	Path   string
	Header http.Header
	Body   []byte
	// Attempt is added to the header by the dialect.
	Attempt AttemptInfo
	Limits  Limits
	// OwnConnection sends the request on a connection of its own. A call with the id of an
	// earlier attempt at the endpoint needs it: on a kept connection a late copy of the
	// earlier response would be taken for its own.
	OwnConnection bool
}

// Response is the response of an endpoint. Its body must be closed.
type Response struct {
	ResponseInfo
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Delimited is true if the body has a length or a transfer encoding. Otherwise its end
	// cannot be distinguished from a lost connection.
	Delimited bool
	// Buffer accounts for what is kept of the response. Nil is no bound.
	Buffer *buffer.Lease
}

// MeasureProgress makes Limits.Stall bound the time between two calls of Progressed
// instead of the time between two bytes, so that an endpoint that only sends bytes
// without content from time to time does not keep the request open. Time that the reader
// spends outside of Read does not count.
func (r *Response) MeasureProgress() {
	if measured, ok := r.Body.(*body); ok {
		measured.byProgress = true
	}
}

// Progressed reports that the response has advanced.
func (r *Response) Progressed() {
	if measured, ok := r.Body.(*body); ok {
		measured.progressed()
	}
}

// MaxHeaderBytes bounds the head of a response, with all informational heads before it.
// Endpoints in trouble may send a head without end.
const MaxHeaderBytes = 64 << 10

// Client holds the connections to one endpoint. It never repeats a request and follows
// no redirects. It is safe for concurrent use.
type Client struct {
	address   string
	clock     clock.Clock
	dialect   Dialect
	transport *http.Transport
	// ownConnections opens a connection for each request.
	ownConnections *http.Transport
}

// NewClient returns a client for an address in the form host:port.
func NewClient(address string, config Config, clk clock.Clock) *Client {
	dialer := &net.Dialer{
		Timeout: config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: 2 * time.Second,
			Count:    3,
		},
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
			opened, err := dialer.DialContext(ctx, network, target)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: opened}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    config.MaxIdle,
		IdleConnTimeout:        config.IdleTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
	ownConnections := transport.Clone()
	ownConnections.DisableKeepAlives = true
	return &Client{
		address:        address,
		clock:          clk,
		dialect:        config.dialect(),
		transport:      transport,
		ownConnections: ownConnections,
	}
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}

// Do sends one request once. An error is always a *CallError. After an inactivity
// timeout it closes the connection and all idle ones, since these may be dead for the
// same reason.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	traced := &tracer{}
	request, err := c.request(httptrace.WithClientTrace(ctx, traced.trace()), call)
	if err != nil {
		cancel(nil)
		return nil, &CallError{Address: c.address, Phase: BeforeConnect, Cause: err}
	}
	inactivity := newInactivityTimer(c.clock, cancel)
	inactivity.start(call.Limits.Header, call.Limits.Header)
	transport := c.transport
	if call.OwnConnection {
		transport = c.ownConnections
	}
	response, err := transport.RoundTrip(request)
	inactivity.stop()
	if err != nil {
		phase := traced.closeConnections()
		failure := c.callError(ctx, phase, err)
		cancel(nil)
		return nil, failure
	}
	return c.newResponse(ctx, cancel, response, call.Limits), nil
}

// request builds the HTTP request.
func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	target, err := url.Parse("http://" + c.address + call.Path)
	if err != nil {
		return nil, errors.Annotate(err, "request path")
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), requestBody(call))
	if err != nil {
		return nil, errors.Annotate(err, "request")
	}
	request.GetBody = nil
	request.ContentLength = int64(len(call.Body))
	request.Header = requestHeader(call.Header)
	if call.Host != "" {
		request.Host = call.Host
	}
	c.dialect.WriteRequest(request.Header, call.Attempt)
	return request, nil
}

// requestBody returns a body that cannot be rewound, because net/http repeats a failed
// request whose body it can rewind. An empty POST, PUT or PATCH uses http.NoBody, which
// makes net/http send a Content-Length of 0; without an idempotency header net/http does
// not repeat it.
func requestBody(call Call) io.Reader {
	switch call.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		if len(call.Body) == 0 {
			return http.NoBody
		}
	}
	return io.NopCloser(bytes.NewReader(call.Body))
}

// idempotencyHeaders are the headers by which net/http considers a request idempotent
// and repeats it.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// requestHeader copies the header. It writes idempotency headers in lower case, where
// net/http does not find them. Header names are not case-sensitive, so the endpoint
// reads them as before.
func requestHeader(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, name := range idempotencyHeaders {
		if values, ok := copied[name]; ok {
			delete(copied, name)
			copied[strings.ToLower(name)] = values
		}
	}
	if _, ok := copied["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		copied["User-Agent"] = []string{""}
	}
	return copied
}

// callError returns the CallError for a failed request. After an inactivity timeout it
// closes the idle connections.
func (c *Client) callError(ctx context.Context, phase Phase, err error) *CallError {
	var inactivity *InactivityError
	inactive := errors.As(context.Cause(ctx), &inactivity)
	if inactive {
		c.CloseIdle()
		err = inactivity
	}
	return &CallError{
		Address:  c.address,
		Phase:    phase,
		Inactive: inactive,
		Canceled: !inactive && ctx.Err() != nil,
		Cause:    err,
	}
}

func (c *Client) newResponse(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response, limits Limits) *Response {
	inactivity := newInactivityTimer(c.clock, cancel)
	inactivity.giveUp = limits.GiveUp
	return &Response{
		ResponseInfo: c.dialect.ReadResponse(response.StatusCode, response.Header),
		Status:       response.StatusCode,
		Header:       response.Header,
		Delimited:    response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		Body: &body{
			client:       c,
			ctx:          ctx,
			cancel:       cancel,
			inner:        response.Body,
			inactivity:   inactivity,
			stallTimeout: limits.Stall,
			phase:        AfterHeaders,
		},
	}
}
