package proof_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"jacinthpaddle.example/proof/process/harness"
)

// locatedAddresses come from locate, which is asked again once an answer has
// expired.
type locatedAddresses struct {
	client  *harness.Client
	key     string
	routers harness.RoundRobinAddresses

	mu      sync.Mutex
	held    harness.LocateResponse
	expires time.Time
}

func (a *locatedAddresses) Next(ctx context.Context, start, calls int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for asked := 0; !time.Now().Before(a.expires) && ctx.Err() == nil; asked++ {
		a.ask(ctx, a.routers[asked%len(a.routers)])
	}
	if len(a.held.Addresses) == 0 {
		return a.routers[0]
	}
	return a.held.Addresses[(start+calls)%len(a.held.Addresses)].Address
}

// ask takes the answer of one router if it gives one.
func (a *locatedAddresses) ask(ctx context.Context, router string) {
	asked := time.Now()
	answer, err := a.client.Locate(ctx, router, a.key)
	if err != nil || len(answer.Addresses) == 0 {
		harness.Sleep(ctx, harness.RetryInterval)
		return
	}
	a.held = answer
	a.expires = asked.Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
}

// retryNotRun repeats only what was not run.
func retryNotRun(_ harness.Operation, got harness.Reply) bool {
	return got.NotRun()
}

// TestRollingReplacement replaces all routers one after another under load. No
// request is lost and no answer is cut.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 18, Routers: 3, Endpoints: 2, EndpointFlags: busyEndpoints})
	chosen := &locatedAddresses{client: harness.NewClient(t), key: harness.HallKey, routers: f.CallerAddresses()}
	callers := harness.StartCallers(t, workers, chosen, retryNotRun, harness.MixedOperations())
	callers.AwaitFinished(t, warmUp)
	var outcomes []harness.Outcome
	for index, router := range f.Routers {
		streams := pinned(t, router, chosen)
		router.Process.Terminate(t, harness.DrainTimeout)
		if got := router.Process.Command.ProcessState.ExitCode(); got != 0 {
			t.Errorf("%s: got exit code %d, want 0", router.VM.Name, got)
		}
		f.StartRouter(t, index)
		f.AwaitReady(t)
		outcomes = append(outcomes, streams.Stop()...)
	}
	callers.AwaitFinished(t, warmUp)
	outcomes = append(outcomes, callers.Stop()...)
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	checkNothingLost(t, outcomes)
	checkRightsReturned(t, f, read)
}

// checkNothingLost asserts that all work was answered and no connection broke.
func checkNothingLost(t *testing.T, outcomes []harness.Outcome) {
	t.Helper()
	for _, done := range outcomes {
		if !done.Answered || done.Broken > 0 {
			t.Errorf("%s: got answered=%t with %d broken calls, want an answer and none, failure %+v, last error %v",
				done.Operation.Name, done.Answered, done.Broken, done.FirstFailure, done.LastReply.Err)
		}
	}
}

// checkRightsReturned asserts that only the processes that run now hold rights.
func checkRightsReturned(t *testing.T, f *harness.Fleet, read harness.Records) {
	t.Helper()
	running := make(map[string]bool)
	for index := range f.Routers {
		running[incarnation(t, f, index)] = true
	}
	for budget, account := range read.Accounts {
		for holder, record := range account.Holders {
			if !running[string(holder)] {
				t.Errorf("budget %s: got %d granted to %s, which has ended, want none", budget, record.Granted, holder)
			}
		}
	}
}
