package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/platform"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/router/process/node"
)

// memoryPlatform is an in-memory platform with an empty list of VMs.
type memoryPlatform struct{ store.Store }

func (memoryPlatform) VMs(context.Context) (vm.List, error) { return vm.List{}, nil }
func (memoryPlatform) Close()                               {}

// slowAdapter has a front end for one request. Its handler closes started when it begins
// and responds when release is closed.
type slowAdapter struct {
	address string
	started chan struct{}
	release chan struct{}
}

func (slowAdapter) Platform(_ node.Settings, clk clock.Clock, _ platform.Config) node.Platform {
	return memoryPlatform{memory.New(clk)}
}

func (slowAdapter) Dialect() endpoint.Dialect { return nil }

func (a slowAdapter) Frontends(node.FrontendDeps) []node.Frontend {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(a.started)
		<-a.release
		_, _ = io.WriteString(writer, "whole")
	})
	return []node.Frontend{{Address: a.address, Handler: handler}}
}

// A draining process with an adapter must accept no connections once the locate responses
// that contain it have expired: a late request was aborted at the end of the drain
// (randomized run, seed 83881868348). Requests in progress are completed.
func TestDrainAcceptsNoLateConnections(t *testing.T) {
	adapter := slowAdapter{address: "127.0.0.29:7970", started: make(chan struct{}), release: make(chan struct{})}
	settings := node.DefaultSettings()
	settings.VM = node.VMSettings{Name: "vm-1", Address: "127.0.0.29", Region: "western", AvailabilityZone: "hall"}
	settings.Listen = node.ListenSettings{Callers: adapter.address, CallerPort: 7970, PeerPort: 7971, OperatorsPort: 7972, MetricsPort: 7973}
	settings.Platform.Address = "127.0.0.29:7974"
	settings.Fleet.Secret = "secret-of-this-test"
	settings.Locate.TTL = 100 * time.Millisecond
	router, err := node.New(settings, node.Deps{
		Clock: clock.New(), Log: event.NewLog(io.Discard, logrus.ErrorLevel), Fatal: func(any) {}, Adapter: adapter,
	})
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- router.Run(t.Context()) }()
	received := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + adapter.address)
		if err != nil {
			received <- err.Error()
			return
		}
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		received <- string(content)
	}()
	<-adapter.started
	router.Drain()
	refused := func() bool {
		connection, err := net.Dial("tcp", adapter.address)
		if err == nil {
			_ = connection.Close()
		}
		return err != nil
	}
	deadline := time.Now().Add(20 * time.Second)
	for !refused() {
		if time.Now().After(deadline) {
			t.Fatal("new connections are still accepted while a request is in progress")
		}
	}
	close(adapter.release)
	if got, want := <-received, "whole"; got != want {
		t.Errorf("request in progress: got %q, want %q", got, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("run: got %v, want no error", err)
	}
}
