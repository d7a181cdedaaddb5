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

	"jacinthpaddle.example/fleet/process/clock"
)

// Phase tells how far a request had come when it failed.
type Phase string

// Moments, earliest first.
const (
	BeforeConnect     Phase = "before_connect"
	AfterConnect      Phase = "after_connect"
	AfterRequestBytes Phase = "after_request_bytes"
	AfterHeaders      Phase = "after_headers"
	MidStream         Phase = "mid_stream"
)

// Arrived reports whether a part of the request may have reached the endpoint.
func (m Phase) Arrived() bool {
	return m != BeforeConnect && m != AfterConnect
}

// CallError says how far a request had come when it failed. Silent is true when
// the endpoint gave no sign in time, and Canceled when the caller gave up.
type CallError struct {
	Address  string
	Phase    Phase
	Inactive bool
	Canceled bool
	Cause    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("endpoint %s: failed %s: silent=%t: %v", e.Address, e.Phase, e.Inactive, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Cause
}

// InactivityError says that nothing arrived for the time that was allowed.
type InactivityError struct {
	Timeout time.Duration
}

// Error implements error.
func (e *InactivityError) Error() string {
	return fmt.Sprintf("nothing arrived for %s", e.Timeout)
}

// Limits bounds the waits of one request. Zero is no bound.
type Limits struct {
	// Header bounds the wait for the head of the answer.
	Header time.Duration
	// Stall bounds the wait for each further part of the answer.
	Stall time.Duration
}

// Call is one request to an endpoint. Path may carry a query. Host, unless it is
// empty, is named in place of the endpoint's address.
type Call struct {
	Method  string
	Host    string
	Path    string
	Header  http.Header
	Body    []byte
	Attempt AttemptInfo
	Limits  Limits
}

// Response is what an endpoint sent. Framed is false when the end of the body
// cannot be told from a cut. Close must be called on the body.
type Response struct {
	ResponseInfo
	Status    int
	Header    http.Header
	Body      io.ReadCloser
	Delimited bool
}

// Client holds the connections to one endpoint. It never repeats a request and
// follows no redirect.
type Client struct {
	address   string
	clock     clock.Clock
	dialect   Dialect
	transport *http.Transport
}

// NewClient returns a client for the address, a host and a port.
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
		DisableCompression:  true,
		MaxIdleConnsPerHost: config.MaxIdle,
		IdleConnTimeout:     config.IdleTimeout,
	}
	return &Client{address: address, clock: clk, dialect: config.dialect(), transport: transport}
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}

// Do sends one request once. An error is always a CallError. After silence the
// connection is closed, and so are the idle ones, which may have gone silent
// for the same reason.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	traced := &tracer{}
	request, err := c.request(httptrace.WithClientTrace(ctx, traced.trace()), call)
	if err != nil {
		cancel(nil)
		return nil, &CallError{Address: c.address, Phase: BeforeConnect, Cause: err}
	}
	inactivity := newInactivityTimer(c.clock, cancel)
	inactivity.start(call.Limits.Header)
	response, err := c.transport.RoundTrip(request)
	inactivity.stop()
	if err != nil {
		phase := traced.closeConnections()
		failure := c.callError(ctx, phase, err)
		cancel(nil)
		return nil, failure
	}
	return c.newResponse(ctx, cancel, response, call.Limits.Stall), nil
}

// request builds the message.
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

// requestBody returns a body that cannot be rewound, because net/http repeats
// by itself any request that it can. It repeats no empty POST, PUT or PATCH
// without a key, and these need http.NoBody to be sent with their length.
func requestBody(call Call) io.Reader {
	switch call.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		if len(call.Body) == 0 {
			return http.NoBody
		}
	}
	return io.NopCloser(bytes.NewReader(call.Body))
}

// idempotencyHeaders make net/http take a request for one that it may repeat.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// requestHeader copies the header. Keys go under their names in small letters,
// which net/http does not look for and which mean the same to the endpoint.
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
		copied["User-Agent"] = []string{""}
	}
	return copied
}

// callError types an error and drops idle connections after silence.
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

func (c *Client) newResponse(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response, stall time.Duration) *Response {
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
			inactivity:   newInactivityTimer(c.clock, cancel),
			stallTimeout: stall,
			phase:        AfterHeaders,
		},
	}
}
