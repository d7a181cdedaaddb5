package proof_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/vm"

	"jacinthpaddle.example/proof/process/harness"
)

// leavingNoticeTime is how long an endpoint may still receive new requests after it
// is marked as leaving.
const leavingNoticeTime = 3 * time.Second

// TestEndpointLeaves marks an endpoint as leaving by its own load report, with and
// without the store, and by the list of VMs. After leavingNoticeTime it receives no new
// requests, and the other endpoint serves all of them.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		storeDown bool
		leave     func(f *harness.Fleet, t *testing.T)
	}{
		{"by its own report", false, reportLeaving},
		{"by its own report without the store", true, reportLeaving},
		{"by the list of VMs", false, listLeaving},
	}
	f := harness.NewFleet(t, harness.Config{Network: 19, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			callers := harness.StartCallers(t, callerCount, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
			awaitUnspentCredits(t, f, creditsBeforeOutage)
			awaitServing(t, f, f.Endpoints[0])
			f.SetPlatformFaults(t, harness.PlatformFaults{Down: test.storeDown})
			test.leave(f, t)
			harness.Sleep(t.Context(), leavingNoticeTime)
			before := countAttempts(t, f.Endpoints[0])
			callers.AwaitFinished(t, warmUpOperations)
			if got := countAttempts(t, f.Endpoints[0]) - before; got != 0 {
				t.Errorf("new requests after %v: got %d, want 0", leavingNoticeTime, got)
			}
			outcomes := callers.Stop()
			restoreEndpoint(t, f)
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
	updateListedVM(t, f, leaving)
}

// updateListedVM replaces the entry of the VM in the platform's list of VMs.
func updateListedVM(t *testing.T, f *harness.Fleet, machine vm.VM) {
	t.Helper()
	harness.PutJSON(t, "http://"+f.OwnPlatformAddress()+"/admin/vms/"+machine.Name, machine)
}

// restoreEndpoint clears all platform faults and marks the first endpoint as live.
func restoreEndpoint(t *testing.T, f *harness.Fleet) {
	t.Helper()
	f.SetPlatformFaults(t, harness.PlatformFaults{})
	harness.PutJSON(t, f.Endpoints[0].URL("/admin/state"), harness.StateUpdate{State: vm.Live})
	updateListedVM(t, f, f.Endpoints[0].VM)
}

// awaitServing waits until the endpoint receives new requests.
func awaitServing(t *testing.T, f *harness.Fleet, serving *harness.Endpoint) {
	t.Helper()
	before := countAttempts(t, serving)
	harness.Await(t, serving.VM.Name+" to receive new requests", func() bool { return countAttempts(t, serving) > before })
}

// countAttempts returns the number of attempts that reached the endpoint.
func countAttempts(t *testing.T, e *harness.Endpoint) int {
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
