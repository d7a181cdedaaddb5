package proof_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/vm"

	"jacinthpaddle.example/proof/process/harness"
)

// leaveBound is how long a leaving endpoint may still get new work.
const leaveBound = 3 * time.Second

// TestEndpointLeaves tells the fleet in each way that an endpoint leaves. After
// the bound it gets no new request, while the other one serves them all.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		away  bool
		leave func(f *harness.Fleet, t *testing.T)
	}{
		{"by its own report", false, reportLeaving},
		{"by its own report without the store", true, reportLeaving},
		{"by the list of VMs", false, listLeaving},
	}
	f := harness.NewFleet(t, harness.Config{Network: 19, Routers: 3, Endpoints: 2, EndpointFlags: busyEndpoints})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			callers := harness.StartCallers(t, workers, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
			awaitHeld(t, f, heldInOutage)
			awaitServing(t, f, f.Endpoints[0])
			f.SetPlatformFaults(t, harness.PlatformFaults{Down: test.away})
			test.leave(f, t)
			harness.Sleep(t.Context(), leaveBound)
			before := arrived(t, f.Endpoints[0])
			callers.AwaitFinished(t, warmUp)
			if got := arrived(t, f.Endpoints[0]) - before; got != 0 {
				t.Errorf("new requests after %v: got %d, want 0", leaveBound, got)
			}
			outcomes := callers.Stop()
			comeBack(t, f)
			read := f.AwaitBills(t, 0)
			read.Check(t)
			read.CheckOutcomes(t, outcomes)
		})
	}
}

func reportLeaving(f *harness.Fleet, t *testing.T) {
	t.Helper()
	harness.PutJSON(t, f.Endpoints[0].URL("/admin/state"), harness.StateUpdate{State: vm.Leaving})
}

func listLeaving(f *harness.Fleet, t *testing.T) {
	t.Helper()
	leaving := f.Endpoints[0].VM
	leaving.State = vm.Leaving
	list(t, f, leaving)
}

// list puts a VM into the platform's list.
func list(t *testing.T, f *harness.Fleet, machine vm.VM) {
	t.Helper()
	harness.PutJSON(t, "http://"+f.OwnPlatformAddress()+"/admin/vms/"+machine.Name, machine)
}

// comeBack ends all faults and makes the first endpoint live.
func comeBack(t *testing.T, f *harness.Fleet) {
	t.Helper()
	f.SetPlatformFaults(t, harness.PlatformFaults{})
	harness.PutJSON(t, f.Endpoints[0].URL("/admin/state"), harness.StateUpdate{State: vm.Live})
	list(t, f, f.Endpoints[0].VM)
}

// awaitServing waits until the endpoint gets new requests.
func awaitServing(t *testing.T, f *harness.Fleet, serving *harness.Endpoint) {
	t.Helper()
	before := arrived(t, serving)
	harness.Await(t, serving.VM.Name+" to get new requests", func() bool { return arrived(t, serving) > before })
}

// arrived counts the attempts that reached the endpoint.
func arrived(t *testing.T, e *harness.Endpoint) int {
	t.Helper()
	runs, err := harness.GetJSON[[]harness.EndpointRun](e.URL("/admin/runs"))
	if err != nil {
		t.Fatalf("runs of %s: got %v, want no error", e.VM.Name, err)
	}
	count := 0
	for _, run := range runs {
		count += run.Attempts
	}
	return count
}
