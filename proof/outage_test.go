package proof_test

import (
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// toppedUpBudget is the declaration of a budget after its top-up.
const toppedUpBudget = "[budget hall]\npurchased = 2000000"

// creditsBeforeOutage is the unspent quota of each budget that every router holds
// before the store becomes unavailable, in credits. It exceeds what the callers spend
// during the outage.
const creditsBeforeOutage = 40_000

// TestStoreOutage stops the platform under load. Requests are served from the quota
// that was granted before, peers replicate the journal entries, and a top-up fails
// until the store is available again.
func TestStoreOutage(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 15, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags})
	callers := harness.StartCallers(t, callerCount, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
	awaitUnspentCredits(t, f, creditsBeforeOutage)
	f.SetPlatformFaults(t, harness.PlatformFaults{Down: true})
	callers.AwaitFinished(t, 3*warmUpOperations)
	topUp := f.WriteDeclarations(t, harness.DeclarationsWith("[budget hall]\npurchased = 1000000", toppedUpBudget))
	if got, want := f.RunCLI("apply", "--dir", topUp), harness.ExitPlatformUnavailable; got.Exit != want {
		t.Errorf("apply in the outage: got exit %d, want %d\n%s", got.Exit, want, got.Output)
	}
	f.SetPlatformFaults(t, harness.PlatformFaults{})
	if got := f.RunCLI("apply", "--dir", topUp); got.Exit != 0 {
		t.Errorf("apply after the outage: got exit %d, want 0\n%s", got.Exit, got.Output)
	}
	callers.AwaitFinished(t, warmUpOperations)
	outcomes := callers.Stop()
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	checkFirstAttemptsSucceeded(t, outcomes)
	if got, want := read.Purchased[harness.HallBudget], int64(2*harness.Purchased); got != want {
		t.Errorf("purchased: got %d, want %d", got, want)
	}
}

// TestLostReplies drops the replies to writes that the platform has applied, so that
// routers cannot know the outcome of these writes.
func TestLostReplies(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 16, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags})
	callers := harness.StartCallers(t, callerCount, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
	for range 4 {
		f.SetPlatformFaults(t, harness.PlatformFaults{LoseReplies: 8})
		callers.AwaitFinished(t, warmUpOperations)
	}
	outcomes := callers.Stop()
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	checkFirstAttemptsSucceeded(t, outcomes)
}

// awaitUnspentCredits waits until each router holds that many granted and unspent
// credits of both budgets.
func awaitUnspentCredits(t *testing.T, f *harness.Fleet, credits int64) {
	t.Helper()
	awaitUnspentCreditsAt(t, f.Routers, credits)
}

func awaitUnspentCreditsAt(t *testing.T, routers []*harness.Router, credits int64) {
	t.Helper()
	for _, router := range routers {
		var state harness.Dump
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("%s held %+v, linked to %v", router.VM.Name, state.Budgets, state.Linked)
			}
		})
		harness.Await(t, "quota held by "+router.VM.Name, func() bool {
			var err error
			state, err = router.Dump()
			return err == nil && hasUnspentCredits(state, credits)
		})
	}
}

func hasUnspentCredits(state harness.Dump, credits int64) bool {
	enough := 0
	for _, level := range state.Budgets {
		if level.Granted-level.Spent >= credits {
			enough++
		}
	}
	return enough == 2
}

// checkFirstAttemptsSucceeded asserts that every operation succeeded at its first
// attempt.
func checkFirstAttemptsSucceeded(t *testing.T, outcomes []harness.Outcome) {
	t.Helper()
	for _, outcome := range outcomes {
		if !outcome.Answered || outcome.Attempts != 1 {
			t.Errorf("%s: got answered=%t in %d attempts, want a result of the first, failure %+v",
				outcome.Operation.Name, outcome.Answered, outcome.Attempts, outcome.FirstFailure)
		}
	}
}
