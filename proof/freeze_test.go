package proof_test

import (
	"syscall"
	"testing"

	"jacinthpaddle.example/fleet/process/member"

	"jacinthpaddle.example/proof/process/harness"
)

// TestFreeze stops a router past every timeout while it holds rights and work,
// and lets it go on after its peers have given it up.
func TestFreeze(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 14, Routers: 4, Endpoints: 3, EndpointFlags: busyEndpoints})
	callers := harness.StartCallers(t, workers, f.CallerAddresses(), harness.RetryAllowed, harness.KeyedOperations())
	callers.AwaitFinished(t, warmUp)
	streams := pinned(t, f.Routers[0], f.CallerAddresses())
	frozen := incarnation(t, f, 0)
	f.Routers[0].Process.Signal(syscall.SIGSTOP)
	harness.Await(t, "the others to suspect the frozen router", func() bool { return suspected(f, frozen) })
	callers.AwaitFinished(t, warmUp)
	f.Routers[0].Process.Signal(syscall.SIGCONT)
	harness.Await(t, "the others to see the router live", func() bool { return live(f, frozen) })
	callers.AwaitFinished(t, warmUp)
	outcomes := append(callers.Stop(), streams.Stop()...)
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
}

// incarnation returns the name of the process that runs on the router's VM.
func incarnation(t *testing.T, f *harness.Fleet, index int) string {
	t.Helper()
	state, err := f.Routers[index].Dump()
	if err != nil {
		t.Fatalf("dump: got %v, want no error", err)
	}
	return string(state.Self.Incarnation)
}

// suspected reports whether all other routers have given the process up.
func suspected(f *harness.Fleet, incarnation string) bool {
	return allSee(f, incarnation, func(state member.State) bool { return state != member.Live })
}

// live reports whether all other routers count on the process.
func live(f *harness.Fleet, incarnation string) bool {
	return allSee(f, incarnation, func(state member.State) bool { return state == member.Live })
}

func allSee(f *harness.Fleet, incarnation string, wanted func(member.State) bool) bool {
	for _, router := range f.Routers[1:] {
		state, err := router.Dump()
		if err != nil || !sees(state, incarnation, wanted) {
			return false
		}
	}
	return true
}

func sees(state harness.Dump, incarnation string, wanted func(member.State) bool) bool {
	for _, known := range state.Members {
		if string(known.Incarnation) == incarnation {
			return wanted(known.State)
		}
	}
	return false
}
