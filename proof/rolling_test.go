package proof_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"jacinthpaddle.example/proof/process/harness"
)

// locatedAddresses picks addresses from a locate response and requests a new one when
// it has expired.
type locatedAddresses struct {
	client  *harness.Client
	key     string
	routers harness.RoundRobinAddresses

	mu      sync.Mutex
	located harness.LocateResponse
	expires time.Time
}

func (a *locatedAddresses) Next(ctx context.Context, start, calls int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for asked := 0; !time.Now().Before(a.expires) && ctx.Err() == nil; asked++ {
		a.refresh(ctx, a.routers[asked%len(a.routers)])
	}
	if len(a.located.Addresses) == 0 {
		return a.routers[0]
	}
	return a.located.Addresses[(start+calls)%len(a.located.Addresses)].Address
}

// refresh sends a locate request to one router and keeps the response if it contains
// addresses.
func (a *locatedAddresses) refresh(ctx context.Context, router string) {
	asked := time.Now()
	answer, err := a.client.Locate(ctx, router, a.key)
	if err != nil || len(answer.Addresses) == 0 {
		harness.Sleep(ctx, harness.RetryInterval)
		return
	}
	a.located = answer
	a.expires = asked.Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
}

// retryNotRun repeats only operations that were not run.
func retryNotRun(_ harness.Operation, got harness.Reply) bool {
	return got.NotRun()
}

// TestRollingReplacement drains and replaces all routers one after another under load.
// No operation fails and no response is cut.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 18, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags})
	addresses := &locatedAddresses{client: harness.NewClient(t), key: harness.HallKey, routers: f.CallerAddresses()}
	callers := harness.StartCallers(t, callerCount, addresses, retryNotRun, harness.MixedOperations())
	callers.AwaitFinished(t, warmUpOperations)
	var outcomes []harness.Outcome
	for index, router := range f.Routers {
		streams := startPinnedStreams(t, router, addresses)
		router.Process.Terminate(t, harness.DrainTimeout)
		if got := router.Process.Command.ProcessState.ExitCode(); got != 0 {
			t.Errorf("%s: got exit code %d, want 0", router.VM.Name, got)
		}
		f.StartRouter(t, index)
		f.AwaitReady(t)
		outcomes = append(outcomes, streams.Stop()...)
	}
	callers.AwaitFinished(t, warmUpOperations)
	outcomes = append(outcomes, callers.Stop()...)
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	checkNoFailures(t, outcomes)
	checkQuotaReturned(t, f, read)
}

// checkNoFailures asserts that all operations succeeded and no response was cut.
func checkNoFailures(t *testing.T, outcomes []harness.Outcome) {
	t.Helper()
	for _, outcome := range outcomes {
		if !outcome.Answered || outcome.Broken > 0 {
			t.Errorf("%s: got answered=%t with %d broken attempts, want a result and none, failure %+v, last error %v",
				outcome.Operation.Name, outcome.Answered, outcome.Broken, outcome.FirstFailure, outcome.LastReply.Err)
		}
	}
}

// checkQuotaReturned asserts that only the running processes hold quota.
func checkQuotaReturned(t *testing.T, f *harness.Fleet, read harness.Records) {
	t.Helper()
	running := make(map[string]bool)
	for index := range f.Routers {
		running[incarnation(t, f, index)] = true
	}
	for budget, account := range read.Accounts {
		for holder, record := range account.Holders {
			if !running[string(holder)] {
				t.Errorf("budget %s: got %d granted to %s, which has exited, want none", budget, record.Granted, holder)
			}
		}
	}
}
