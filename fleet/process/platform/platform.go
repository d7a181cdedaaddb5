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
//	GET    /watch?prefix=p&after=7&wait=30s       store.Changes, once something changed
//	GET    /vms                                   list of vm.VM, 304 if its ETag is If-None-Match
//
// Answers that concern one object carry its version in the header X-Version,
// which is 0 if it does not exist. The statuses 429 and 503 say that the call
// had no effect. Any other status above 499 leaves that open.
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

// VersionHeader carries the version of an object.
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

// Config says where the service is and how long calls may take. Fields that are
// zero take their default. WatchMargin is how long a watch may stay silent after
// its wait.
type Config struct {
	Address        string
	DialTimeout    time.Duration
	ReadTimeout    time.Duration
	WriteTimeout   time.Duration
	WatchMargin    time.Duration
	IdleTimeout    time.Duration
	MaxConnections int
	// Observe, if set, is called at the start of each call with its operation.
	Observe func(operation string)
}

// Client implements store.Store and vm.Lister. Its methods are safe for
// concurrent use.
type Client struct {
	config Config
	calls  *httpcall.Client
	list   atomic.Pointer[taggedList]
}

// taggedList is the last list of VMs that was read, and its entity tag.
type taggedList struct {
	tag string
	vms []vm.VM
}

var (
	_ store.Store = (*Client)(nil)
	_ vm.Lister   = (*Client)(nil)
)

// New returns a client. It connects when it is first used.
func New(clk clock.Clock, config Config) *Client {
	config = withDefaults(config)
	return &Client{config: config, calls: httpcall.New(clk, httpcall.Config{
		Address:        config.Address,
		DialTimeout:    config.DialTimeout,
		IdleTimeout:    config.IdleTimeout,
		MaxConnections: config.MaxConnections,
		Observe:        config.Observe,
	})}
}

// Close closes the connections that are not in use.
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
	answer, err := c.do(ctx, c.read("get", name, objectPath+name))
	if err != nil {
		return store.Object{}, err
	}
	if answer.status == http.StatusNotFound {
		return store.Object{}, &store.NotFoundError{Name: name}
	}
	if answer.versionErr != nil {
		return store.Object{}, answer.unusable(answer.versionErr)
	}
	return store.Object{Name: name, Version: answer.version, Value: answer.body}, nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Change, error) {
	request := c.read("list", prefix, listPath)
	request.query.Set("prefix", prefix)
	return fetch[[]store.Change](ctx, c, request)
}

// Create implements store.Store.
func (c *Client) Create(ctx context.Context, name string, value []byte) (store.Version, error) {
	request := c.write("create", http.MethodPut, name)
	request.body = value
	request.header.Set("If-None-Match", "*")
	return c.change(ctx, request, 0)
}

// Update implements store.Store.
func (c *Client) Update(ctx context.Context, name string, version store.Version, value []byte) (store.Version, error) {
	request := c.write("update", http.MethodPut, name)
	request.body = value
	request.header.Set("If-Match", quote(version))
	return c.change(ctx, request, version)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, name string, version store.Version) error {
	request := c.write("delete", http.MethodDelete, name)
	request.header.Set("If-Match", quote(version))
	_, err := c.change(ctx, request, version)
	return err
}

// change sends a conditional write and returns the object's version after it.
func (c *Client) change(ctx context.Context, request call, want store.Version) (store.Version, error) {
	if err := store.CheckSize(request.name, request.body); err != nil {
		return 0, err
	}
	answer, err := c.do(ctx, request)
	if err != nil {
		return 0, err
	}
	if answer.versionErr != nil {
		return 0, answer.unusable(answer.versionErr)
	}
	if answer.status == http.StatusPreconditionFailed {
		return 0, &store.ConflictError{Name: request.name, Want: want, Current: answer.version}
	}
	return answer.version, nil
}

// Watch implements store.Store. A watch that stays silent past its wait fails
// and takes its connection with it, so that the next one dials afresh.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Version, wait time.Duration) (store.Changes, error) {
	request := c.read("watch", prefix, watchPath)
	request.query.Set("prefix", prefix)
	request.query.Set("after", strconv.FormatInt(int64(after), 10))
	request.query.Set("wait", wait.String())
	request.timeout = wait + c.config.WatchMargin
	return fetch[store.Changes](ctx, c, request)
}

// VMs implements vm.Lister. An unchanged list is not sent again by a platform
// that gives entity tags.
func (c *Client) VMs(ctx context.Context) (vm.List, error) {
	request := c.read("list", "vms", vmsPath)
	held := c.list.Load()
	if held != nil {
		request.header.Set("If-None-Match", held.tag)
	}
	reply, err := c.do(ctx, request)
	if err != nil {
		return vm.List{}, err
	}
	if reply.status == http.StatusNotModified {
		return vm.List{VMs: slices.Clone(held.vms)}, nil
	}
	var list []vm.VM
	if err := json.Unmarshal(reply.body, &list); err != nil {
		return vm.List{}, reply.unusable(err)
	}
	if reply.tag != "" {
		c.list.Store(&taggedList{tag: reply.tag, vms: slices.Clone(list)})
	}
	return vm.List{VMs: list}, nil
}

func quote(version store.Version) string {
	return strconv.Quote(strconv.FormatInt(int64(version), 10))
}

func parseVersion(header string) (store.Version, error) {
	number, err := strconv.ParseInt(header, 10, 64)
	return store.Version(number), errors.Annotate(err, VersionHeader)
}
