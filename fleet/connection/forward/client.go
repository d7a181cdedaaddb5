package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
)

// DialTimeout bounds the opening of a connection.
const DialTimeout = 2 * time.Second

// relayBufferBytes is the size of the buffer for a relayed response.
const relayBufferBytes = 32 << 10

// Settings are what a Client uses.
type Settings struct {
	Secret secret.Key
	Clock  clock.Clock
	// Address returns the peer address of a process, or false if it is not known to run.
	Address func(holder ident.Incarnation) (string, bool)
	// Region returns the region of a process, or an empty string if it is not known.
	Region func(holder ident.Incarnation) string
	// OwnRegion is the region of this process.
	OwnRegion string
}

// Client forwards requests to other routers. It is safe for concurrent use.
type Client struct {
	settings Settings
	client   *http.Client
}

// NewClient returns a client.
func NewClient(settings Settings) *Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{settings: settings, client: &http.Client{Transport: transport, CheckRedirect: noRedirects}}
}

// noRedirects makes the client return redirects instead of following them.
func noRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do forwards the request to the holder of its idempotency key and returns the holder's
// response, whose body must be closed. The context bounds the whole exchange. An error is an *Error. After an error
// the holder may or may not have run the request.
func (c *Client) Do(ctx context.Context, holder ident.Incarnation, request Request) (*http.Response, error) {
	address, ok := c.settings.Address(holder)
	if !ok {
		return nil, &Error{Holder: holder, Reason: NoAddress}
	}
	if !c.mayReceive(holder, request) {
		return nil, &Error{Holder: holder, Reason: OutsideHomes}
	}
	url := "http://" + address + Path
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(request.Body))
	if err != nil {
		return nil, &Error{Holder: holder, Reason: NoAddress, Cause: err}
	}
	outgoing.Header = endToEnd(request.Header)
	request.sign(outgoing.Header, c.settings.Secret, holder, c.settings.Clock.Now())
	response, err := c.client.Do(outgoing)
	if err != nil {
		return nil, &Error{Holder: holder, Reason: Unreachable, Cause: err}
	}
	if response.Header.Get(KeyCheckedHeader) == "" {
		_ = response.Body.Close()
		return nil, &Error{Holder: holder, Reason: KeyNotChecked, Status: response.StatusCode}
	}
	return response, nil
}

// mayReceive reports whether the body of the request may be sent to the holder.
func (c *Client) mayReceive(holder ident.Incarnation, request Request) bool {
	if !request.Homes.Bound() {
		return true
	}
	region := c.settings.Region(holder)
	return region == c.settings.OwnRegion || request.Homes.Allows(region)
}

// Relay writes the response to the caller as it arrives. An error is an *Error. After an
// error the caller's connection must be closed, so that the caller does not mistake a
// part of the response for all of it.
func Relay(writer http.ResponseWriter, response *http.Response) error {
	header := writer.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	flusher := http.NewResponseController(writer)
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := response.Body.Read(buffer)
		if _, failed := writer.Write(buffer[:count]); failed != nil {
			return &Error{Reason: Broken, Cause: failed}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &Error{Reason: Broken, Cause: err}
		}
		if err := flusher.Flush(); err != nil {
			return &Error{Reason: Broken, Cause: err}
		}
	}
}
