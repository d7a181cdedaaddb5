package serve_test

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
)

// TestPoolWithoutEndpointsRefusesAtOnce evacuates the only zone of a pool while all of its
// slots are taken. A request would wait for a slot and be refused after that.
func TestPoolWithoutEndpointsRefusesAtOnce(t *testing.T) {
	clk := clock.NewFake()
	table := endpoint.NewTable(endpoint.Defaults(vm.Locality{}, "a"), clk)
	pool := declaration.Pool{Name: "large", Kind: declaration.EndpointPool, Port: 80, MaxInFlight: 1}
	list := []vm.VM{{
		Name: "m1", Address: "127.0.0.1", Pool: "large", State: vm.Live,
		Locality: vm.Locality{AvailabilityZone: "hall"},
	}}
	table.Update(list, []declaration.Pool{pool})
	slots := serve.NewSlots(clk, table, time.Minute)
	plan := admission.Plan{Pool: pool, Timeout: time.Minute}
	release, err := slots.Acquire(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	table.SetEvacuated([]string{"hall"})
	table.Update(list, []declaration.Pool{pool})
	// With the fake clock a request that waits for the slot would never end.
	_, err = slots.Acquire(t.Context(), plan)
	var refusal *outcome.Error
	if !errors.As(err, &refusal) {
		t.Fatalf("error: got %v, want an outcome.Error", err)
	}
	if refusal.Code != outcome.NoEndpoint || refusal.Run != journal.NotRun {
		t.Errorf("refusal: got %s, run %s, want %s, run %s", refusal.Code, refusal.Run, outcome.NoEndpoint, journal.NotRun)
	}
}
