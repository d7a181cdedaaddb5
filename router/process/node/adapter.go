package node

import (
	"net/http"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/current"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/process/platform"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/intake"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// Platform is a client of the platform's API.
type Platform interface {
	store.Store
	vm.Lister
	// Close closes the idle connections.
	Close()
}

// Adapter connects the router to a platform whose protocols differ from the fleet's
// own.
type Adapter interface {
	// Platform returns the client of the platform's API.
	Platform(settings Settings, clk clock.Clock, config platform.Config) Platform
	// Dialect returns the protocol of the endpoints.
	Dialect() endpoint.Dialect
	// Frontends returns the front ends that callers connect to.
	Frontends(deps FrontendDeps) []Frontend
}

// FrontendDeps has the dependencies and settings of an adapter's front ends.
type FrontendDeps struct {
	Self           ident.Incarnation
	Locality       vm.Locality
	Clock          clock.Clock
	Log            *event.Log
	Metrics        *meter.Metrics
	ActiveSnapshot *current.Value[*snapshot.Snapshot]
	Runner         *serve.Runner
	// Bodies reads the bodies of requests.
	Bodies *intake.Reader
	Listen ListenSettings
	Limits LimitSettings
	Locate LocateSettings
	// Members returns the members in the view of this process. It is safe for
	// concurrent use, and its result must not be changed.
	Members func() []member.Member
	// Ready reports whether the process accepts new callers.
	Ready func() bool
}

// Frontend is a handler and the address at which the router serves it.
type Frontend struct {
	// Address is an IP address and a port.
	Address string
	Handler http.Handler
}

// newPlatform returns the client of the platform's API.
func (n *Node) newPlatform() Platform {
	config := platform.Config{
		Address:      n.Settings.Platform.Address,
		ReadTimeout:  n.Settings.Platform.CallTimeout,
		WriteTimeout: n.Settings.Platform.CallTimeout,
		WatchMargin:  n.Settings.Platform.WatchMargin,
		Observe: func(operation string) {
			n.metrics.PlatformCalls.Add(n.ctx, 1, meter.Operation(operation))
		},
		Failed: n.outage.Record,
	}
	if n.Adapter == nil {
		return platform.New(n.Clock, config)
	}
	return n.Adapter.Platform(n.Settings, n.Clock, config)
}

// dialect returns the protocol of the endpoints. Nil selects the fleet's own.
func (n *Node) dialect() endpoint.Dialect {
	if n.Adapter == nil {
		return nil
	}
	return n.Adapter.Dialect()
}

// callerFrontends returns the front ends that callers connect to.
func (n *Node) callerFrontends() []Frontend {
	if n.Adapter == nil {
		return []Frontend{{Address: n.Settings.callerAddress(), Handler: n.frontend}}
	}
	frontends := n.Adapter.Frontends(n.frontendDeps())
	for index, frontend := range frontends {
		frontends[index].Handler = n.countRequests(frontend.Handler)
	}
	return frontends
}

// frontendDeps returns the dependencies of an adapter's front ends.
func (n *Node) frontendDeps() FrontendDeps {
	return FrontendDeps{
		Self:           n.Self,
		Locality:       n.Settings.Locality(),
		Clock:          n.Clock,
		Log:            n.Log,
		Metrics:        n.metrics,
		ActiveSnapshot: n.state.ActiveSnapshot,
		Runner:         n.runner,
		Bodies:         n.intake.bodies,
		Listen:         n.Settings.Listen,
		Limits:         n.Settings.Limits,
		Locate:         n.Settings.Locate,
		Members:        n.members,
		Ready:          n.ready,
	}
}

func (n *Node) members() []member.Member {
	if members := n.state.Members.Load(); members != nil {
		return *members
	}
	return nil
}

// ready reports whether the process has an active configuration and is not draining.
func (n *Node) ready() bool {
	_, known := n.state.ActiveSnapshot.Load()
	return known && !n.draining.Load()
}

// countRequests wraps a handler so that its requests in progress are counted.
func (n *Node) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		n.adapterRequests.Add(1)
		defer n.adapterRequests.Add(-1)
		if n.draining.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}
