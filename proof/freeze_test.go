package proof_test

import (
	"syscall"
	"testing"

	"jacinthpaddle.example/fleet/process/member"

	"jacinthpaddle.example/proof/process/harness"
)

// TestFreeze suspends a router that holds quota and open requests until its peers no
// longer regard it as live, then resumes it. The resumed process must not spend quota
// twice or run a request again.
func TestFreeze(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 14, Routers: 4, Endpoints: 3, EndpointFlags: loadedEndpointFlags})
	callers := harness.StartCallers(t, callerCount, f.CallerAddresses(), harness.RetryAllowed, harness.KeyedOperations())
	callers.AwaitFinished(t, warmUpOperations)
	streams := startPinnedStreams(t, f.Routers[0], f.CallerAddresses())
	stopped := incarnation(t, f, 0)
	f.Routers[0].Process.Signal(syscall.SIGSTOP)
	harness.Await(t, "the others to suspect the suspended router", func() bool { return reportedNotLive(f, stopped) })
	callers.AwaitFinished(t, warmUpOperations)
	f.Routers[0].Process.Signal(syscall.SIGCONT)
	harness.Await(t, "the others to report the router as live", func() bool { return reportedLive(f, stopped) })
	callers.AwaitFinished(t, warmUpOperations)
	outcomes := append(callers.Stop(), streams.Stop()...)
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
}

// incarnation returns the incarnation of the process on the router's VM.
func incarnation(t *testing.T, f *harness.Fleet, index int) string {
	t.Helper()
	state, err := f.Routers[index].Dump()
	if err != nil {
		t.Fatalf("dump: got %v, want no error", err)
	}
	return string(state.Self.Incarnation)
}

// reportedNotLive reports whether no other router regards the process as live.
func reportedNotLive(f *harness.Fleet, incarnation string) bool {
	return allPeersReport(f, incarnation, func(state member.State) bool { return state != member.Live })
}

// reportedLive reports whether all other routers regard the process as live.
func reportedLive(f *harness.Fleet, incarnation string) bool {
	return allPeersReport(f, incarnation, func(state member.State) bool { return state == member.Live })
}

func allPeersReport(f *harness.Fleet, incarnation string, wanted func(member.State) bool) bool {
	for _, router := range f.Routers[1:] {
		state, err := router.Dump()
		if err != nil || !memberStateMatches(state, incarnation, wanted) {
			return false
		}
	}
	return true
}

func memberStateMatches(state harness.Dump, incarnation string, wanted func(member.State) bool) bool {
	for _, known := range state.Members {
		if string(known.Incarnation) == incarnation {
			return wanted(known.State)
		}
	}
	return false
}
