// Package platform is the client of the platform's HTTP service: the object API
// and the list of VMs.
//
// # Protocol
//
//	GET    /objects/{name}                        200 with the value, or 404
//	PUT    /objects/{name}  If-None-Match: *      creates: 200 or 412
//	PUT    /objects/{name}  If-Match: "version"   updates: 200 or 412
//	DELETE /objects/{name}  If-Match: "version"   200 or 412
//	GET    /objects?prefix=p                      list of store.Change
//	GET    /watch?prefix=p&after=7&wait=30s       store.Changes, at a change or after the wait
//	GET    /vms                                   list of vm.VM, or 304 if If-None-Match is its ETag
//
// Responses about one object carry its version in the header X-Version, which is 0 if
// the object does not exist. The statuses 429 and 503 mean that the call had no effect.
// After any other status above 499 a write may have taken effect.
//
// # Usage
//
//	client := platform.New(clock.New(), platform.Config{Address: "127.0.0.1:9100"})
//	defer client.Close()
//	object, err := client.Get(ctx, "generation/current")
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/httpcall"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
)

// VersionHeader carries the version of the object in a response.
const VersionHeader = "X-Version"

// Defaults of a Config.
const (
	DefaultDialTimeout    = time.Second
	DefaultReadTimeout    = 2 * time.Second
	DefaultWriteTimeout   = 2 * time.Second
	DefaultWatchMargin    = 5 * time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxConnections = 32
)

// Config configures a client. New replaces a zero duration or MaxConnections by its
// default.
type Config struct {
	// Address is the IP address and port of the service.
	Address      string
	DialTimeout  time.Duration
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// WatchMargin is how long after its wait a watch may still be without a response.
	WatchMargin    time.Duration
	IdleTimeout    time.Duration
	MaxConnections int
	// Observe, if set, is called with the operation at the start of each call.
	Observe func(operation string)
	// Failed, if set, is called with the error of each failed call.
	Failed func(*store.UnavailableError)
}

// Client implements store.Store and vm.Lister. Its methods are safe for
// concurrent use.
type Client struct {
	clock  clock.Clock
	config Config
	calls  *httpcall.Client
	cached atomic.Pointer[cachedList]
}

// cachedList is the list of VMs that was read last, and its entity tag.
type cachedList struct {
	tag string
	vms []vm.VM
}

var (
	_ store.Store = (*Client)(nil)
	_ vm.Lister   = (*Client)(nil)
)

// New returns a client. It connects at the first call.
func New(clk clock.Clock, config Config) *Client {
	config = withDefaults(config)
	return &Client{clock: clk, config: config, calls: httpcall.New(clk, httpcall.Config{
		Address:        config.Address,
		DialTimeout:    config.DialTimeout,
		IdleTimeout:    config.IdleTimeout,
		MaxConnections: config.MaxConnections,
		Observe:        config.Observe,
		Failed:         config.Failed,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.calls.Close()
}

func withDefaults(config Config) Config {
	config.DialTimeout = orDefault(config.DialTimeout, DefaultDialTimeout)
	config.ReadTimeout = orDefault(config.ReadTimeout, DefaultReadTimeout)
	config.WriteTimeout = orDefault(config.WriteTimeout, DefaultWriteTimeout)
	config.WatchMargin = orDefault(config.WatchMargin, DefaultWatchMargin)
	config.IdleTimeout = orDefault(config.IdleTimeout, DefaultIdleTimeout)
	config.MaxConnections = orDefault(config.MaxConnections, DefaultMaxConnections)
	return config
}

func orDefault[T time.Duration | int](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, name string) (store.Object, error) {
	reply, err := c.do(ctx, c.newRead("get", name, objectPath+name))
	if err != nil {
		return store.Object{}, err
	}
	if reply.status == http.StatusNotFound {
		return store.Object{}, &store.NotFoundError{Name: name}
	}
	if reply.versionErr != nil {
		return store.Object{}, reply.unavailableError(reply.versionErr)
	}
	return store.Object{Name: name, Version: reply.version, Value: reply.body}, nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Change, error) {
	request := c.newRead("list", prefix, listPath)
	request.query.Set("prefix", prefix)
	return fetch[[]store.Change](ctx, c, request)
}

// Create implements store.Store.
func (c *Client) Create(ctx context.Context, name string, value []byte) (store.Version, error) {
	request := c.newWrite("create", http.MethodPut, name)
	request.body = value
	request.header.Set("If-None-Match", "*")
	return c.sendWrite(ctx, request, 0)
}

// Update implements store.Store.
func (c *Client) Update(ctx context.Context, name string, version store.Version, value []byte) (store.Version, error) {
	request := c.newWrite("update", http.MethodPut, name)
	request.body = value
	request.header.Set("If-Match", quote(version))
	return c.sendWrite(ctx, request, version)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, name string, version store.Version) error {
	request := c.newWrite("delete", http.MethodDelete, name)
	request.header.Set("If-Match", quote(version))
	_, err := c.sendWrite(ctx, request, version)
	return err
}

// sendWrite sends a conditional write and returns the new version of the object.
func (c *Client) sendWrite(ctx context.Context, request call, expected store.Version) (store.Version, error) {
	if err := store.CheckSize(request.name, request.body); err != nil {
		return 0, err
	}
	reply, err := c.do(ctx, request)
	if err != nil {
		return 0, err
	}
	if reply.versionErr != nil {
		return 0, reply.unavailableError(reply.versionErr)
	}
	if reply.status == http.StatusPreconditionFailed {
		return 0, &store.ConflictError{Name: request.name, Expected: expected, Current: reply.version}
	}
	return reply.version, nil
}

// Watch implements store.Store. A watch without a response after its wait and the
// margin fails. Its connection is closed, so that the next watch opens a new one.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Version, wait time.Duration) (store.Changes, error) {
	request := c.newRead("watch", prefix, watchPath)
	request.query.Set("prefix", prefix)
	request.query.Set("after", strconv.FormatInt(int64(after), 10))
	request.query.Set("wait", wait.String())
	request.timeout = wait + c.config.WatchMargin
	return fetch[store.Changes](ctx, c, request)
}

// VMs implements vm.Lister. A service that sends entity tags does not send an
// unchanged list again.
func (c *Client) VMs(ctx context.Context) (vm.List, error) {
	request := c.newRead("list", "vms", vmsPath)
	cached := c.cached.Load()
	if cached != nil {
		request.header.Set("If-None-Match", cached.tag)
	}
	reply, err := c.do(ctx, request)
	if err != nil {
		return vm.List{}, err
	}
	if reply.status == http.StatusNotModified {
		return vm.List{VMs: slices.Clone(cached.vms), ReadAt: c.clock.Now()}, nil
	}
	var list []vm.VM
	if err := json.Unmarshal(reply.body, &list); err != nil {
		return vm.List{}, reply.unavailableError(err)
	}
	if reply.tag != "" {
		c.cached.Store(&cachedList{tag: reply.tag, vms: slices.Clone(list)})
	}
	return vm.List{VMs: list, ReadAt: c.clock.Now()}, nil
}

func quote(version store.Version) string {
	return strconv.Quote(strconv.FormatInt(int64(version), 10))
}

func parseVersion(header string) (store.Version, error) {
	number, err := strconv.ParseInt(header, 10, 64)
	return store.Version(number), errors.Annotate(err, VersionHeader)
}
