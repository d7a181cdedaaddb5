package proof_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// Sizes of the load in the tests that inject faults.
const (
	callerCount      = 24
	warmUpOperations = 120
	pinnedStreams    = 4
	pinnedTokens     = 800
)

// loadedEndpointFlags are flags with which the endpoints can serve the whole load
// of a test.
var loadedEndpointFlags = []string{"--token-delay", "4ms", "--first-token-delay", "80ms", "--slots", "32", "--queue", "128", "--answer-tokens", "800"}

// pinnedFirstAddress sends the first attempt to one router, and the following ones to
// the addresses that the other picker returns.
type pinnedFirstAddress struct {
	first string
	then  harness.AddressPicker
}

func (a pinnedFirstAddress) Next(ctx context.Context, start, calls int) string {
	if calls == 0 {
		return a.first
	}
	return a.then.Next(ctx, start, calls)
}

// startPinnedStreams starts streams whose first attempt goes to the router, and waits
// until each has delivered its first frame.
func startPinnedStreams(t *testing.T, first *harness.Router, then harness.AddressPicker) *harness.CallerGroup {
	t.Helper()
	streams := &harness.CallerGroup{Number: harness.CallerGroupNumber.Add(1), Client: harness.NewClient(t), Addresses: pinnedFirstAddress{first.CallerAddress(), then}, Retry: harness.RetryAllowed}
	var begun atomic.Int64
	ctx := t.Context()
	for worker := range pinnedStreams {
		operation := harness.StreamedChat(harness.HallKey, fmt.Sprintf("c%d-pinned-%d", streams.Number, worker), pinnedTokens)
		var once atomic.Bool
		operation.Call.OnFirstFrame = func() {
			if once.CompareAndSwap(false, true) {
				begun.Add(1)
			}
		}
		streams.Workers.Go(func() { streams.Record(streams.Do(ctx, worker, operation)) })
	}
	harness.Await(t, first.VM.Name+" to stream", func() bool { return begun.Load() == pinnedStreams })
	return streams
}

// TestKillMidStream kills a router while it streams. Each cut stream succeeds at a
// later attempt, and every request is billed once.
func TestKillMidStream(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 13, Routers: 4, Endpoints: 3, EndpointFlags: loadedEndpointFlags})
	callers := harness.StartCallers(t, callerCount, f.CallerAddresses(), harness.RetryAllowed, harness.KeyedOperations())
	callers.AwaitFinished(t, warmUpOperations)
	streams := startPinnedStreams(t, f.Routers[0], f.CallerAddresses())
	f.Routers[0].Process.Kill()
	callers.AwaitFinished(t, warmUpOperations)
	cut := streams.Stop()
	outcomes := append(callers.Stop(), cut...)
	read := f.AwaitBills(t, callerCount+pinnedStreams)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	for _, outcome := range cut {
		if got := outcome.Broken; got != 1 {
			t.Errorf("%s: got %d broken attempts, want 1, which the kill cut", outcome.Operation.Name, got)
		}
	}
}
