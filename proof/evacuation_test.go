package proof_test

import (
	"slices"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// evacuationSettings turn evacuations on.
const evacuationSettings = "\n[platform]\nevacuation_bound = 5s\n"

// TestEvacuation evacuates the zone of one of two endpoints. The evacuation holds while the
// platform is down, and for a router that is killed and started again meanwhile, which
// learns of it from its peers. That router gets no requests, since it has no credits.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{
		Network: 24, Routers: 4, Endpoints: 2, EndpointFlags: loadedEndpointFlags, Settings: evacuationSettings,
	})
	evacuated := f.Endpoints[0]
	zone := evacuated.VM.AvailabilityZone
	last := len(f.Routers) - 1
	var serving harness.RoundRobinAddresses
	for _, router := range f.Routers[:last] {
		serving = append(serving, router.CallerAddress())
	}
	callers := harness.StartCallers(t, callerCount, serving, harness.RetryAllowed, harness.MixedOperations())
	awaitUnspentCreditsAt(t, f.Routers[:last], creditsBeforeOutage)
	awaitServing(t, f, evacuated)
	expectCLI(t, f, 0, "evacuate", "--zone", zone)
	expectCLI(t, f, 1, "evacuate", "--zone", "attic")
	awaitEvacuated(t, f, zone)
	// A request that was being sent when the evacuation came into force still arrives.
	callers.AwaitFinished(t, warmUpOperations)
	before := countAttempts(t, evacuated)

	f.SetPlatformFaults(t, harness.PlatformFaults{Down: true})
	expectCLI(t, f, harness.ExitPlatformUnavailable, "evacuate", "--zone", zone, "--withdraw")
	f.Routers[last].Process.Kill()
	f.StartRouter(t, last)
	awaitEvacuated(t, f, zone)
	callers.AwaitFinished(t, warmUpOperations)
	if got := countAttempts(t, evacuated) - before; got != 0 {
		t.Errorf("new requests to the evacuated zone: got %d, want 0", got)
	}

	f.SetPlatformFaults(t, harness.PlatformFaults{})
	expectCLI(t, f, 0, "evacuate", "--zone", zone, "--withdraw")
	awaitServing(t, f, evacuated)
	outcomes := callers.Stop()
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
}

// expectCLI runs the operators' CLI and checks its exit code.
func expectCLI(t *testing.T, f *harness.Fleet, exit int, args ...string) {
	t.Helper()
	if got := f.RunCLI(args...); got.Exit != exit {
		t.Errorf("%v: got exit %d, want %d\n%s", args, got.Exit, exit, got.Output)
	}
}

// awaitEvacuated waits until each router has a configuration and the evacuation of the zone
// of one endpoint is in force there.
func awaitEvacuated(t *testing.T, f *harness.Fleet, zone string) {
	t.Helper()
	for _, router := range f.Routers {
		harness.Await(t, "evacuation at "+router.VM.Name, func() bool {
			state, err := router.Dump()
			return err == nil && slices.Contains(state.Evacuations.InForce, zone) &&
				state.Generation > 0 && len(state.Endpoints["runners"]) == len(f.Endpoints)-1
		})
	}
}
