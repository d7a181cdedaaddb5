package serve_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/homes"
)

// countingEndpoint is an endpoint in a region that counts its requests.
type countingEndpoint struct {
	vm.VM
	requests atomic.Int64
}

func newCountingEndpoint(t *testing.T, name, region string, status int) *countingEndpoint {
	t.Helper()
	made := &countingEndpoint{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		made.requests.Add(1)
		writer.Header().Set(endpoint.AttemptHeader, request.Header.Get(endpoint.AttemptHeader))
		if status == http.StatusServiceUnavailable {
			writer.Header().Set(endpoint.RunHeader, string(journal.NotRun))
		}
		writer.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	host, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	made.VM = vm.VM{Name: name, Address: host, Port: number, Pool: "runners", Locality: vm.Locality{Region: region}, State: vm.Live}
	return made
}

// The load is one pool whose endpoints are in two regions, and requests whose homes are one
// of them. An endpoint elsewhere is no last resort either: not for a retry, and not if the
// home region has lost its endpoints.
func TestHomeBoundRequestsReachNoOtherRegion(t *testing.T) {
	central := homes.Homes{Route: []string{"central"}}
	tests := []struct {
		name string
		// home is the status of the endpoint in the home region, or zero if there is none.
		home  int
		homes homes.Homes
		// failed is the code of the error, or empty for a served request.
		failed    outcome.Code
		elsewhere int64
	}{
		{"served at home", http.StatusOK, central, "", 0},
		{"retried at home", http.StatusServiceUnavailable, central, outcome.EndpointFailed, 0},
		{"home region lost", 0, central, outcome.HomeUnavailable, 0},
		{"no common home", http.StatusOK, homes.Homes{Route: []string{"central"}, Team: []string{"southern"}}, outcome.HomeUnavailable, 0},
		{"no homes", 0, homes.Homes{}, "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, func(http.ResponseWriter, *http.Request) {})
			elsewhere := newCountingEndpoint(t, "elsewhere", "western", http.StatusOK)
			list := []vm.VM{elsewhere.VM}
			if test.home != 0 {
				list = append(list, newCountingEndpoint(t, "home", "central", test.home).VM)
			}
			h.runner.Endpoints.Update(list, []declaration.Pool{h.plan.Pool})
			h.plan.Homes = test.homes
			err := h.run(serve.Verbatim{MaxBytes: 1 << 10})
			var failure *outcome.Error
			if errors.As(err, &failure); failure == nil && test.failed != "" || failure != nil && failure.Code != test.failed {
				t.Fatalf("error: got %v, want %q", err, test.failed)
			}
			if failure != nil && failure.Run != journal.NotRun {
				t.Errorf("run: got %s, want %s", failure.Run, journal.NotRun)
			}
			if got := elsewhere.requests.Load(); got != test.elsewhere {
				t.Errorf("requests elsewhere: got %d, want %d", got, test.elsewhere)
			}
		})
	}
}

// An endpoint of the home region that is leaving and one that is missing are the same to a
// caller: the refusal names the homes, since other regions could serve.
func TestLeavingHomeEndpointsAreNoEndpoints(t *testing.T) {
	h := newHarness(t, func(http.ResponseWriter, *http.Request) {})
	leaving := newCountingEndpoint(t, "home", "central", http.StatusOK)
	leaving.State = vm.Leaving
	elsewhere := newCountingEndpoint(t, "elsewhere", "western", http.StatusOK)
	h.runner.Endpoints.Update([]vm.VM{leaving.VM, elsewhere.VM}, []declaration.Pool{h.plan.Pool})
	h.plan.Homes = homes.Homes{Team: []string{"central"}}
	var failure *outcome.Error
	if err := h.run(serve.Verbatim{MaxBytes: 1 << 10}); !errors.As(err, &failure) || failure.Code != outcome.HomeUnavailable {
		t.Fatalf("error: got %v, want %s", err, outcome.HomeUnavailable)
	}
	if got := leaving.requests.Load() + elsewhere.requests.Load(); got != 0 {
		t.Errorf("requests: got %d, want 0", got)
	}
}

// The home region has lost its endpoints while other teams occupy all slots of the pool.
func TestHomeUnavailableIsRefusedWithoutWaitingForASlot(t *testing.T) {
	h := newHarness(t, func(http.ResponseWriter, *http.Request) {})
	h.plan.Pool.MaxInFlight = 1
	h.runner.Endpoints.Update([]vm.VM{newCountingEndpoint(t, "elsewhere", "western", http.StatusOK).VM}, []declaration.Pool{h.plan.Pool})
	release, err := h.runner.Slots.Acquire(t.Context(), h.plan)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	h.plan.Homes = homes.Homes{Route: []string{"central"}}
	h.plan.Timeout = time.Millisecond
	var failure *outcome.Error
	if err := h.run(serve.Verbatim{MaxBytes: 1 << 10}); !errors.As(err, &failure) || failure.Code != outcome.HomeUnavailable {
		t.Errorf("error: got %v, want %s", err, outcome.HomeUnavailable)
	}
	if got := len(h.recorder.entries); got != 0 {
		t.Errorf("journal entries: got %d, want 0", got)
	}
}

func TestRefusalWithoutAnyEndpointDoesNotBlameHomes(t *testing.T) {
	h := newHarness(t, func(http.ResponseWriter, *http.Request) {})
	h.runner.Endpoints.Update(nil, []declaration.Pool{h.plan.Pool})
	h.plan.Homes = homes.Homes{Route: []string{"central"}}
	var failure *outcome.Error
	if err := h.run(serve.Verbatim{MaxBytes: 1 << 10}); !errors.As(err, &failure) || failure.Code != outcome.NoEndpoint {
		t.Errorf("error: got %v, want %s", err, outcome.NoEndpoint)
	}
}
