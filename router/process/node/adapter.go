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
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// Platform is a client of the platform's service.
type Platform interface {
	store.Store
	vm.Lister
	// Close closes the connections that are not in use.
	Close()
}

// Adapter translates between a platform and the product.
type Adapter interface {
	// Platform returns the client of the platform's service.
	Platform(settings Settings, clk clock.Clock, config platform.Config) Platform
	// Dialect is spoken with endpoints.
	Dialect() endpoint.Dialect
	// Frontends returns the callers' front ends.
	Frontends(parts FrontendDeps) []Frontend
}

// FrontendDeps are what a front end is made of.
type FrontendDeps struct {
	Self           ident.Incarnation
	Locality       vm.Locality
	Clock          clock.Clock
	Log            *event.Log
	Metrics        *meter.Metrics
	ActiveSnapshot *current.Value[*snapshot.Snapshot]
	Runner         *serve.Runner
	Listen         ListenSettings
	Limits         LimitSettings
	Locate         LocateSettings
	// Members returns the fleet as this process sees it.
	Members func() []member.Member
	// Ready reports whether new callers should come.
	Ready func() bool
}

// Frontend is an address, an IP number and a port, and what is served there.
type Frontend struct {
	Address string
	Handler http.Handler
}

// newPlatform returns the client of the platform's service.
func (n *Node) newPlatform() Platform {
	config := platform.Config{
		Address:      n.Settings.Platform.Address,
		ReadTimeout:  n.Settings.Platform.CallTimeout,
		WriteTimeout: n.Settings.Platform.CallTimeout,
		WatchMargin:  n.Settings.Platform.WatchMargin,
		Observe: func(operation string) {
			n.metrics.PlatformCalls.Add(n.ctx, 1, meter.Operation(operation))
		},
	}
	if n.Adapter == nil {
		return platform.New(n.Clock, config)
	}
	return n.Adapter.Platform(n.Settings, n.Clock, config)
}

// dialect returns what is spoken with endpoints, nil being the fleet's own.
func (n *Node) dialect() endpoint.Dialect {
	if n.Adapter == nil {
		return nil
	}
	return n.Adapter.Dialect()
}

// callerFrontends returns the callers' front ends.
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

// frontendDeps returns what an adapter's front ends are made of.
func (n *Node) frontendDeps() FrontendDeps {
	return FrontendDeps{
		Self:           n.Self,
		Locality:       n.Settings.Locality(),
		Clock:          n.Clock,
		Log:            n.Log,
		Metrics:        n.metrics,
		ActiveSnapshot: n.state.ActiveSnapshot,
		Runner:         n.runner,
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

// ready reports whether the process knows a configuration and is not leaving.
func (n *Node) ready() bool {
	_, known := n.state.ActiveSnapshot.Load()
	return known && !n.draining.Load()
}

// countRequests counts the requests in progress of a handler.
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
