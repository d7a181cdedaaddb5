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

// call is one call to the service.
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

// answer is a usable reply to a call. Get and writes need the version.
type answer struct {
	call       httpcall.Call
	status     int
	tag        string
	version    store.Version
	versionErr error
	body       []byte
}

func (c *Client) read(operation, name, path string) call {
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

func (c *Client) write(operation, method, name string) call {
	request := c.read(operation, name, objectPath+name)
	request.method = method
	request.timeout = c.config.WriteTimeout
	request.write = true
	return request
}

// fetch makes a call whose answer is JSON.
func fetch[T any](ctx context.Context, client *Client, request call) (T, error) {
	var decoded T
	answer, err := client.do(ctx, request)
	if err != nil {
		return decoded, err
	}
	if err := json.Unmarshal(answer.body, &decoded); err != nil {
		return decoded, answer.unusable(err)
	}
	return decoded, nil
}

// do makes the call and returns its answer, or an UnavailableError.
func (c *Client) do(ctx context.Context, request call) (answer, error) {
	made := httpcall.Call{
		Operation: request.operation,
		Name:      request.name,
		Method:    request.method,
		Path:      request.path,
		Query:     request.query,
		Header:    request.header,
		Body:      request.body,
		Timeout:   request.timeout,
		Write:     request.write,
		Usable:    func(status int) bool { return usable(request, status) },
	}
	received, err := c.calls.Do(ctx, made)
	if err != nil {
		return answer{}, err
	}
	reply := answer{call: made, status: received.Status, tag: received.Header.Get("ETag"), body: received.Body}
	reply.version, reply.versionErr = parseVersion(received.Header.Get(VersionHeader))
	return reply, nil
}

// usable reports whether the status answers the call.
func usable(request call, status int) bool {
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

func (a answer) unusable(cause error) error {
	return a.call.Unavailable(true, cause)
}
