package harness

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Bounds of a caller's retries.
const (
	maxCalls      = 200
	RetryInterval = 50 * time.Millisecond
)

// Outcome is what became of one piece of work. Answered says that the caller
// got the whole answer, and NotRun that its last reply was not_run. Broken
// counts the replies that broke off, and First is the first failure.
type Outcome struct {
	Work          Operation
	Calls         int
	Broken        int
	Answered      bool
	NotRun        bool
	Last          Reply
	First         *failure
	ResponseError error
}

// retries decides whether a caller repeats the work after a reply.
type retries func(done Operation, got Reply) bool

// RetryAllowed repeats what is idempotent, all that was not run, and what broke
// off under a key.
func RetryAllowed(done Operation, got Reply) bool {
	return done.Idempotent || got.NotRun() || done.Keyed && got.Broken
}

// AddressPicker chooses the address of the next call for a piece of work.
type AddressPicker interface {
	Next(ctx context.Context, start, calls int) string
}

// RoundRobinAddresses are used in turn.
type RoundRobinAddresses []string

// Next implements Addresses.
func (a RoundRobinAddresses) Next(_ context.Context, start, calls int) string {
	return a[(start+calls)%len(a)]
}

// CallerAddresses returns the callers' addresses of the routers.
func (f *Fleet) CallerAddresses() RoundRobinAddresses {
	var all RoundRobinAddresses
	for _, router := range f.Routers {
		all = append(all, router.CallerAddress())
	}
	return all
}

// CallerGroup is a number of callers that work until they are stopped.
type CallerGroup struct {
	Number    int64
	Client    *Client
	Addresses AddressPicker
	Retry     retries
	finished  atomic.Int64
	stopped   atomic.Bool
	Workers   sync.WaitGroup
	mu        sync.Mutex
	outcomes  []Outcome
}

// CallerGroupNumber numbers the crowds of all tests, so that no two pieces of work have the
// same name.
var CallerGroupNumber atomic.Int64

// OperationFactory returns a piece of work with the name.
type OperationFactory func(name string) Operation

// MixedOperations is one of each kind.
func MixedOperations() []OperationFactory {
	return []OperationFactory{
		func(name string) Operation { return StreamedChat(HallKey, name, 24) },
		func(name string) Operation { return ServiceCall(AnnexKey, "redeem", name) },
		func(name string) Operation { return UnstreamedChat(HallKey, name, 8) },
		func(name string) Operation { return ServiceCall(AnnexKey, "balance", name) },
	}
}

// KeyedOperations is one of each kind, and a redemption under a key.
func KeyedOperations() []OperationFactory {
	keyedRedeem := func(name string) Operation { return ServiceCall(AnnexKey, "redeem", name).keyed() }
	return append(MixedOperations(), keyedRedeem)
}

// StartCallers starts as many workers.
func StartCallers(t *testing.T, workers int, chosen AddressPicker, retry retries, kinds []OperationFactory) *CallerGroup {
	t.Helper()
	c := &CallerGroup{Number: CallerGroupNumber.Add(1), Client: NewClient(t), Addresses: chosen, Retry: retry}
	ctx := t.Context()
	for worker := range workers {
		c.Workers.Go(func() { c.run(ctx, worker, kinds) })
	}
	t.Cleanup(func() { c.stopped.Store(true) })
	return c
}

// run does work of all kinds, one after another.
func (c *CallerGroup) run(ctx context.Context, worker int, kinds []OperationFactory) {
	for number := 0; !c.stopped.Load() && ctx.Err() == nil; number++ {
		kind := kinds[(worker+number)%len(kinds)]
		start := worker/len(kinds) + number
		c.Record(c.Do(ctx, start, kind(fmt.Sprintf("c%d-w%d-%d", c.Number, worker, number))))
	}
}

// Record keeps an outcome.
func (c *CallerGroup) Record(done Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, done)
	c.finished.Add(1)
}

// Do calls until the work is answered or may not be repeated. The start shifts
// the addresses that are used.
func (c *CallerGroup) Do(ctx context.Context, start int, wanted Operation) Outcome {
	done := Outcome{Work: wanted}
	for done.Calls < maxCalls && ctx.Err() == nil {
		got := c.Client.Send(ctx, c.Addresses.Next(ctx, start, done.Calls), wanted.Call)
		done.Calls++
		done.Last = got
		done.NotRun = got.NotRun()
		if got.Broken {
			done.Broken++
		}
		if done.First == nil {
			done.First = got.Failure
		}
		if got.OK() {
			done.Answered = true
			done.ResponseError = wanted.CheckBody(got.Body)
			return done
		}
		if !c.Retry(wanted, got) {
			return done
		}
		Sleep(ctx, RetryInterval)
	}
	return done
}

// AwaitFinished waits until so many more pieces of work are finished.
func (c *CallerGroup) AwaitFinished(t *testing.T, more int64) {
	t.Helper()
	want := c.finished.Load() + more
	Await(t, fmt.Sprintf("%d more pieces of work", more), func() bool { return c.finished.Load() >= want })
}

// Stop waits until the workers have finished what they do and returns the
// outcomes of all.
func (c *CallerGroup) Stop() []Outcome {
	c.stopped.Store(true)
	c.Workers.Wait()
	return c.outcomes
}

// Sleep waits for the duration or the end of the context.
func Sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// CheckOutcomes asserts that each caller got its own whole answer or a true
// word, and that idempotent work was always answered.
func (s Records) CheckOutcomes(t *testing.T, outcomes []Outcome) {
	t.Helper()
	answered, unknown := 0, 0
	for _, done := range outcomes {
		if done.ResponseError != nil {
			t.Errorf("%s: answer: %v", done.Work.Name, done.ResponseError)
		}
		if done.Work.Idempotent && !done.Answered {
			t.Errorf("%s: got no answer in %d calls, last %+v", done.Work.Name, done.Calls, done.Last)
		}
		switch {
		case done.Answered:
			answered++
		case !done.NotRun:
			unknown++
		}
		s.checkRedeemed(t, done)
	}
	t.Logf("outcomes: %d pieces of work, %d answered, %d unknown", len(outcomes), answered, unknown)
}

// checkRedeemed compares the word that the caller got with what ran.
func (s Records) checkRedeemed(t *testing.T, done Outcome) {
	t.Helper()
	path := "/redeem/" + done.Work.Name
	if done.Work.Call.Path != "/services/redeem"+path {
		return
	}
	ran := s.ran(path)
	if done.Answered && ran != 1 {
		t.Errorf("%s: got %d runs of an answered call, want 1", done.Work.Name, ran)
	}
	if done.NotRun && ran != 0 {
		t.Errorf("%s: got %d runs of a call that was not_run, want 0", done.Work.Name, ran)
	}
}
