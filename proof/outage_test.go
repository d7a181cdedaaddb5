package proof_test

import (
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// toppedUp is the purchased total of a budget after its top-up.
const toppedUp = "[budget hall]\npurchased = 2000000"

// heldInOutage is what each router holds of each budget when the store goes
// away, in credits. It is more than the callers spend in the outage.
const heldInOutage = 40_000

// TestStoreOutage takes the platform down while callers go on. What is granted
// is spent, what is billed is kept by peers, and a top-up waits for the store.
func TestStoreOutage(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 15, Routers: 3, Endpoints: 2, EndpointFlags: busyEndpoints})
	callers := harness.StartCallers(t, workers, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
	awaitHeld(t, f, heldInOutage)
	f.SetPlatformFaults(t, harness.PlatformFaults{Down: true})
	callers.AwaitFinished(t, 3*warmUp)
	topUp := f.WriteDeclarations(t, harness.DeclarationsWith("[budget hall]\npurchased = 1000000", toppedUp))
	if got, want := f.RunCLI("apply", "--dir", topUp), harness.ExitPlatformUnavailable; got.Exit != want {
		t.Errorf("apply in the outage: got exit %d, want %d\n%s", got.Exit, want, got.Output)
	}
	f.SetPlatformFaults(t, harness.PlatformFaults{})
	if got := f.RunCLI("apply", "--dir", topUp); got.Exit != 0 {
		t.Errorf("apply after the outage: got exit %d, want 0\n%s", got.Exit, got.Output)
	}
	callers.AwaitFinished(t, warmUp)
	outcomes := callers.Stop()
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	checkAllAnsweredAtOnce(t, outcomes)
	if got, want := read.Purchased[harness.HallBudget], int64(2*harness.Purchased); got != want {
		t.Errorf("purchased: got %d, want %d", got, want)
	}
}

// TestLostReplies loses the replies of writes that took effect.
func TestLostReplies(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 16, Routers: 3, Endpoints: 2, EndpointFlags: busyEndpoints})
	callers := harness.StartCallers(t, workers, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
	for range 4 {
		f.SetPlatformFaults(t, harness.PlatformFaults{LoseReplies: 8})
		callers.AwaitFinished(t, warmUp)
	}
	outcomes := callers.Stop()
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	checkAllAnsweredAtOnce(t, outcomes)
}

// awaitHeld waits until each router was granted so much of each budget that it
// has not spent.
func awaitHeld(t *testing.T, f *harness.Fleet, credits int64) {
	t.Helper()
	for _, router := range f.Routers {
		var state harness.Dump
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("%s held %+v, linked to %v", router.VM.Name, state.Budgets, state.Linked)
			}
		})
		harness.Await(t, "rights held by "+router.VM.Name, func() bool {
			var err error
			state, err = router.Dump()
			return err == nil && holds(state, credits)
		})
	}
}

func holds(state harness.Dump, credits int64) bool {
	enough := 0
	for _, level := range state.Budgets {
		if level.Granted-level.Spent >= credits {
			enough++
		}
	}
	return enough == 2
}

// checkAllAnsweredAtOnce asserts that no call was refused or cut.
func checkAllAnsweredAtOnce(t *testing.T, outcomes []harness.Outcome) {
	t.Helper()
	for _, done := range outcomes {
		if !done.Answered || done.Attempts != 1 {
			t.Errorf("%s: got answered=%t in %d calls, want an answer to the first, failure %+v",
				done.Operation.Name, done.Answered, done.Attempts, done.FirstFailure)
		}
	}
}
