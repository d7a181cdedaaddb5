// Package routerclient is an HTTP client of the interface that routers serve to operators.
//
// # Usage
//
//	routers := routerclient.New(routerclient.Config{Port: 7072, Timeout: 2 * time.Second})
//	status, err := routers.Status(ctx, machine)
//	var unreachable *routerclient.UnreachableError
//	if errors.As(err, &unreachable) {
//		report(unreachable.VM)
//	}
package routerclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/vm"
)

// MaxResponseBytes bounds the body of a response. A longer body is truncated.
const MaxResponseBytes = 64 << 20

// Config configures a Client.
type Config struct {
	// Port is the TCP port of the operators' address, the same at all routers.
	Port int
	// Timeout bounds each call, including the reading of the response.
	Timeout time.Duration
}

// Client calls the operators' interface of routers. It is safe for concurrent use.
type Client struct {
	port int
	http *http.Client
}

// UnreachableError is returned by the methods of Client if a router was unreachable or its
// response was unusable: not of a 2xx status or malformed.
type UnreachableError struct {
	VM string
	// Path is the URL path of the call.
	Path  string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("vm %s: %s: %v", e.VM, e.Path, e.Cause)
}

func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// New returns a client with the configuration. It opens no connection.
func New(config Config) *Client {
	return &Client{
		port: config.Port,
		http: &http.Client{Timeout: config.Timeout},
	}
}

// Status returns the status of the router on the VM.
func (c *Client) Status(ctx context.Context, machine vm.VM) (operatorapi.Status, error) {
	body, err := c.call(ctx, http.MethodGet, machine, operatorapi.StatusPath)
	if err != nil {
		return operatorapi.Status{}, err
	}
	var status operatorapi.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return operatorapi.Status{}, &UnreachableError{machine.Name, operatorapi.StatusPath, err}
	}
	return status, nil
}

// Dump returns the state dump of the router on the VM, as JSON.
func (c *Client) Dump(ctx context.Context, machine vm.VM) ([]byte, error) {
	return c.call(ctx, http.MethodGet, machine, operatorapi.DumpPath)
}

// Drain starts the drain of the router on the VM: the router accepts no more requests and
// stops once those in flight have ended. Drain does not wait for that.
func (c *Client) Drain(ctx context.Context, machine vm.VM) error {
	_, err := c.call(ctx, http.MethodPost, machine, operatorapi.DrainPath)
	return err
}

func (c *Client) call(ctx context.Context, method string, machine vm.VM, path string) ([]byte, error) {
	body, err := c.exchange(ctx, method, machine, path)
	if err != nil {
		return nil, &UnreachableError{machine.Name, path, err}
	}
	return body, nil
}

func (c *Client) exchange(ctx context.Context, method string, machine vm.VM, path string) ([]byte, error) {
	url := "http://" + net.JoinHostPort(machine.Address, strconv.Itoa(c.port)) + path
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return nil, errors.Errorf("status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes))
	return body, errors.Trace(err)
}
