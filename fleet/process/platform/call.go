package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"jacinthpaddle.example/fleet/process/httpcall"
	"jacinthpaddle.example/fleet/process/store"
)

// Paths of the service.
const (
	objectPath = "/objects/"
	listPath   = "/objects"
	watchPath  = "/watch"
	vmsPath    = "/vms"
)

// call is one HTTP call before it is sent.
type call struct {
	operation string
	name      string
	method    string
	path      string
	query     url.Values
	header    http.Header
	body      []byte
	timeout   time.Duration
	write     bool
}

// response is a response with a usable status.
type response struct {
	call   httpcall.Call
	status int
	// tag is the entity tag.
	tag string
	// version and versionErr are the decoded header X-Version, which only responses
	// about one object have.
	version    store.Version
	versionErr error
	body       []byte
}

// newRead returns a GET call.
func (c *Client) newRead(operation, name, path string) call {
	return call{
		operation: operation,
		name:      name,
		method:    http.MethodGet,
		path:      path,
		query:     make(url.Values),
		header:    make(http.Header),
		timeout:   c.config.ReadTimeout,
	}
}

// newWrite returns a call that changes an object. It is ambiguous if it fails after
// it was sent.
func (c *Client) newWrite(operation, method, name string) call {
	request := c.newRead(operation, name, objectPath+name)
	request.method = method
	request.timeout = c.config.WriteTimeout
	request.write = true
	return request
}

// fetch makes the call and decodes the JSON body of its response.
func fetch[T any](ctx context.Context, client *Client, request call) (T, error) {
	var decoded T
	reply, err := client.do(ctx, request)
	if err != nil {
		return decoded, err
	}
	if err := json.Unmarshal(reply.body, &decoded); err != nil {
		return decoded, reply.unavailableError(err)
	}
	return decoded, nil
}

// do makes the call and returns its response, or a store.UnavailableError.
func (c *Client) do(ctx context.Context, request call) (response, error) {
	httpCall := httpcall.Call{
		Operation: request.operation,
		Name:      request.name,
		Method:    request.method,
		Path:      request.path,
		Query:     request.query,
		Header:    request.header,
		Body:      request.body,
		Timeout:   request.timeout,
		Write:     request.write,
		Usable:    func(status int) bool { return usableStatus(request, status) },
	}
	received, err := c.calls.Do(ctx, httpCall)
	if err != nil {
		return response{}, err
	}
	reply := response{call: httpCall, status: received.Status, tag: received.Header.Get("ETag"), body: received.Body}
	reply.version, reply.versionErr = parseVersion(received.Header.Get(VersionHeader))
	return reply, nil
}

// usableStatus reports whether the status is an expected response to the call.
func usableStatus(request call, status int) bool {
	switch status {
	case http.StatusOK:
		return true
	case http.StatusNotModified:
		return request.header.Get("If-None-Match") != ""
	case http.StatusPreconditionFailed:
		return request.write
	case http.StatusNotFound:
		return request.operation == "get"
	default:
		return false
	}
}

// unavailableError returns the error for a response that cannot be decoded. It is
// ambiguous for a write, since the service has responded and may have applied it.
func (r response) unavailableError(cause error) error {
	return r.call.Unavailable(true, cause)
}
