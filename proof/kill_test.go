package proof_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// Sizes of the tests that stop routers.
const (
	workers       = 24
	warmUp        = 120
	pinnedStreams = 4
	pinnedTokens  = 800
)

// busyEndpoints are flags of endpoints that take the whole load of a test.
var busyEndpoints = []string{"--token-delay", "4ms", "--first-token-delay", "80ms", "--slots", "32", "--queue", "128", "--answer-tokens", "800"}

// pinnedAddresses send the first call to one router.
type pinnedAddresses struct {
	first string
	then  harness.AddressPicker
}

func (a pinnedAddresses) Next(ctx context.Context, start, calls int) string {
	if calls == 0 {
		return a.first
	}
	return a.then.Next(ctx, start, calls)
}

// pinned starts streams whose first call goes to the router and waits until
// all of them have begun.
func pinned(t *testing.T, first *harness.Router, then harness.AddressPicker) *harness.CallerGroup {
	t.Helper()
	streams := &harness.CallerGroup{Number: harness.CallerGroupNumber.Add(1), Client: harness.NewClient(t), Addresses: pinnedAddresses{first.CallerAddress(), then}, Retry: harness.RetryAllowed}
	var begun atomic.Int64
	ctx := t.Context()
	for worker := range pinnedStreams {
		wanted := harness.StreamedChat(harness.HallKey, fmt.Sprintf("c%d-pinned-%d", streams.Number, worker), pinnedTokens)
		var once atomic.Bool
		wanted.Call.OnFirstFrame = func() {
			if once.CompareAndSwap(false, true) {
				begun.Add(1)
			}
		}
		streams.Workers.Go(func() { streams.Record(streams.Do(ctx, worker, wanted)) })
	}
	harness.Await(t, first.VM.Name+" to stream", func() bool { return begun.Load() == pinnedStreams })
	return streams
}

func TestKillMidStream(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 13, Routers: 4, Endpoints: 3, EndpointFlags: busyEndpoints})
	callers := harness.StartCallers(t, workers, f.CallerAddresses(), harness.RetryAllowed, harness.KeyedOperations())
	callers.AwaitFinished(t, warmUp)
	streams := pinned(t, f.Routers[0], f.CallerAddresses())
	f.Routers[0].Process.Kill()
	callers.AwaitFinished(t, warmUp)
	cut := streams.Stop()
	outcomes := append(callers.Stop(), cut...)
	read := f.AwaitBills(t, workers+pinnedStreams)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	for _, done := range cut {
		if got := done.Broken; got != 1 {
			t.Errorf("%s: got %d broken calls, want the 1 that the kill cut", done.Operation.Name, got)
		}
	}
}
