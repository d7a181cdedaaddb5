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

// DialTimeout bounds the wait for a connection.
const DialTimeout = 2 * time.Second

// relayBufferBytes is the size of the buffer of a relayed answer.
const relayBufferBytes = 32 << 10

// Settings are what a client needs. Address returns the peer address of a
// process that is thought to run.
type Settings struct {
	Secret  secret.Key
	Clock   clock.Clock
	Address func(holder ident.Incarnation) (string, bool)
}

// Client forwards requests. Its methods are safe for concurrent use.
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

// noRedirects leaves redirects to the caller.
func noRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do passes the request on to the holder and returns its answer, whose body the
// caller closes. The context bounds the whole exchange. An error is an *Error,
// and leaves open whether the holder ran the request.
func (c *Client) Do(ctx context.Context, holder ident.Incarnation, request Request) (*http.Response, error) {
	address, ok := c.settings.Address(holder)
	if !ok {
		return nil, &Error{Holder: holder, Reason: NoAddress}
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
	if response.Header.Get(SettledHeader) == "" {
		_ = response.Body.Close()
		return nil, &Error{Holder: holder, Reason: Unsettled, Status: response.StatusCode}
	}
	return response, nil
}

// Relay passes on the answer as it arrives. After an error, which is an *Error,
// the caller's connection must be cut, so that no part is taken for the whole.
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
