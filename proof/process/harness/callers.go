package harness

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Limits of a caller's retries.
const (
	maxAttempts   = 200
	RetryInterval = 50 * time.Millisecond
)

// Outcome is the result of all attempts of one operation.
type Outcome struct {
	Operation Operation
	Attempts  int
	// Broken is the number of attempts whose reply was broken.
	Broken int
	// Answered is true if an attempt got a complete response.
	Answered bool
	// NotRun is true if the last attempt was not run.
	NotRun    bool
	LastReply Reply
	// FirstFailure is the error object of the first failed attempt.
	FirstFailure *failure
	// ResponseError is the difference from the expected response, if any.
	ResponseError error
}

// retryPolicy decides whether a caller repeats the operation after a reply.
type retryPolicy func(operation Operation, got Reply) bool

// RetryAllowed repeats idempotent operations, operations that were not run, and
// operations with an idempotency key whose reply was broken.
func RetryAllowed(operation Operation, got Reply) bool {
	return operation.Idempotent || got.NotRun() || operation.Keyed && got.Broken
}

// AddressPicker chooses the address of the next attempt of an operation.
type AddressPicker interface {
	Next(ctx context.Context, start, calls int) string
}

// RoundRobinAddresses picks its addresses in turn.
type RoundRobinAddresses []string

// Next implements AddressPicker.
func (a RoundRobinAddresses) Next(_ context.Context, start, attempts int) string {
	return a[(start+attempts)%len(a)]
}

// CallerAddresses returns the addresses on which the routers serve callers.
func (f *Fleet) CallerAddresses() RoundRobinAddresses {
	var all RoundRobinAddresses
	for _, router := range f.Routers {
		all = append(all, router.CallerAddress())
	}
	return all
}

// CallerGroup is a set of concurrent callers that send operations until they are
// stopped.
type CallerGroup struct {
	Number    int64
	Client    *Client
	Addresses AddressPicker
	Retry     retryPolicy
	finished  atomic.Int64
	stopped   atomic.Bool
	Workers   sync.WaitGroup
	mu        sync.Mutex
	outcomes  []Outcome
}

// CallerGroupNumber is the number of the last caller group. Operation names contain
// it, so that they are unique across the tests of one run.
var CallerGroupNumber atomic.Int64

// OperationFactory returns an operation with the name, which must be unique.
type OperationFactory func(name string) Operation

// MixedOperations returns one factory for each kind of operation.
func MixedOperations() []OperationFactory {
	return []OperationFactory{
		func(name string) Operation { return StreamedChat(HallKey, name, 24) },
		func(name string) Operation { return ServiceCall(AnnexKey, "redeem", name) },
		func(name string) Operation { return UnstreamedChat(HallKey, name, 8) },
		func(name string) Operation { return ServiceCall(AnnexKey, "balance", name) },
	}
}

// KeyedOperations returns the factories of MixedOperations and one for a redemption
// with an idempotency key.
func KeyedOperations() []OperationFactory {
	keyedRedeem := func(name string) Operation { return ServiceCall(AnnexKey, "redeem", name).keyed() }
	return append(MixedOperations(), keyedRedeem)
}

// StartCallers starts one goroutine per caller. They stop after their current
// operation once Stop is called or the test ends.
func StartCallers(t *testing.T, workers int, addresses AddressPicker, retry retryPolicy, kinds []OperationFactory) *CallerGroup {
	t.Helper()
	c := &CallerGroup{Number: CallerGroupNumber.Add(1), Client: NewClient(t), Addresses: addresses, Retry: retry}
	ctx := t.Context()
	for worker := range workers {
		c.Workers.Go(func() { c.run(ctx, worker, kinds) })
	}
	t.Cleanup(func() { c.stopped.Store(true) })
	return c
}

// run executes operations of all kinds in turn until the group is stopped.
func (c *CallerGroup) run(ctx context.Context, worker int, kinds []OperationFactory) {
	for number := 0; !c.stopped.Load() && ctx.Err() == nil; number++ {
		kind := kinds[(worker+number)%len(kinds)]
		start := worker/len(kinds) + number
		c.Record(c.Do(ctx, start, kind(fmt.Sprintf("c%d-w%d-%d", c.Number, worker, number))))
	}
}

// Record adds an outcome to those that Stop returns.
func (c *CallerGroup) Record(outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome)
	c.finished.Add(1)
}

// Do repeats the operation until it gets a complete response, may not be repeated,
// or has used up its attempts. The start shifts the first address, which spreads the
// callers over the routers.
func (c *CallerGroup) Do(ctx context.Context, start int, operation Operation) Outcome {
	outcome := Outcome{Operation: operation}
	for outcome.Attempts < maxAttempts && ctx.Err() == nil {
		got := c.Client.Send(ctx, c.Addresses.Next(ctx, start, outcome.Attempts), operation.Call)
		outcome.Attempts++
		outcome.LastReply = got
		outcome.NotRun = got.NotRun()
		if got.Broken {
			outcome.Broken++
		}
		if outcome.FirstFailure == nil {
			outcome.FirstFailure = got.Failure
		}
		if got.OK() {
			outcome.Answered = true
			outcome.ResponseError = operation.CheckBody(got.Body)
			return outcome
		}
		if !c.Retry(operation, got) {
			return outcome
		}
		Sleep(ctx, RetryInterval)
	}
	return outcome
}

// AwaitFinished waits until that many more operations are finished.
func (c *CallerGroup) AwaitFinished(t *testing.T, more int64) {
	t.Helper()
	want := c.finished.Load() + more
	Await(t, fmt.Sprintf("%d more finished operations", more), func() bool { return c.finished.Load() >= want })
}

// Stop waits until the callers have finished their current operations and returns
// all outcomes.
func (c *CallerGroup) Stop() []Outcome {
	c.stopped.Store(true)
	c.Workers.Wait()
	return c.outcomes
}

// Sleep waits for the duration or until the context is done.
func Sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// CheckOutcomes asserts that each response is complete and belongs to its
// operation, that each reported run status is true, and that every idempotent
// operation succeeded.
func (s Records) CheckOutcomes(t *testing.T, outcomes []Outcome) {
	t.Helper()
	answered, unknown := 0, 0
	for _, outcome := range outcomes {
		if outcome.ResponseError != nil {
			t.Errorf("%s: response: %v", outcome.Operation.Name, outcome.ResponseError)
		}
		if outcome.Operation.Idempotent && !outcome.Answered {
			t.Errorf("%s: got no complete response in %d attempts, last %+v", outcome.Operation.Name, outcome.Attempts, outcome.LastReply)
		}
		switch {
		case outcome.Answered:
			answered++
		case !outcome.NotRun:
			unknown++
		}
		s.checkRedemption(t, outcome)
	}
	t.Logf("outcomes: %d operations, %d answered, %d unknown", len(outcomes), answered, unknown)
}

// checkRedemption compares the outcome that the caller got with the number of runs
// at the endpoints.
func (s Records) checkRedemption(t *testing.T, outcome Outcome) {
	t.Helper()
	path := "/redeem/" + outcome.Operation.Name
	if outcome.Operation.Call.Path != "/services/redeem"+path {
		return
	}
	ran := s.countRuns(path)
	if outcome.Answered && ran != 1 {
		t.Errorf("%s: got %d runs of an answered operation, want 1", outcome.Operation.Name, ran)
	}
	if outcome.NotRun && ran != 0 {
		t.Errorf("%s: got %d runs of an operation reported as not_run, want 0", outcome.Operation.Name, ran)
	}
}
