package idempotency_test

import (
	"testing"
	"testing/synctest"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/request/outcome"
)

// attempt is one attempt of a scenario, with the result of its run and what the caller
// must receive.
type attempt struct {
	// before, if set, is called before the attempt.
	before  func(c *cluster)
	router  int
	key     string
	variant string
	result  runResult
	code    outcome.Code
	run     journal.RunStatus
	runs    int
}

func TestAttempts(t *testing.T) {
	storeDown := func(c *cluster) { c.objects.SetFaults(memory.Faults{Down: true}) }
	storeUp := func(c *cluster) { c.objects.SetFaults(memory.Faults{}) }
	loseReplies := func(writes int) func(c *cluster) {
		return func(c *cluster) { c.objects.SetFaults(memory.Faults{LoseReplies: writes}) }
	}
	crashFirst := func(c *cluster) { c.crash(0) }
	disconnect := func(c *cluster) { c.connected = false }
	tests := []struct {
		name     string
		attempts []attempt
	}{
		{"a repeat gets the same response", []attempt{{key: "a", runs: 1}, {key: "a", runs: 1}, {key: "a", router: 1, runs: 1}}},
		{"other content conflicts", []attempt{
			{key: "a", runs: 1},
			{key: "a", variant: "other", code: outcome.Conflict, run: journal.NotRun, runs: 1},
			{key: "a", variant: "other", router: 1, code: outcome.Conflict, run: journal.NotRun, runs: 1},
		}},
		{"the claim has the response after the holder crashed", []attempt{{key: "a", runs: 1}, {key: "a", router: 1, before: crashFirst, runs: 1}}},
		{"the reply of the claim is lost", []attempt{{key: "a", before: loseReplies(1), runs: 1}, {key: "a", router: 1, runs: 1}}},
		{"the store is unavailable", []attempt{
			{key: "a", before: storeDown, code: outcome.NoRecord, run: journal.Unknown},
			{key: "a", before: storeUp, runs: 1},
		}},
		{"a refused request may be retried", []attempt{
			{key: "a", result: reject, code: outcome.BudgetExhausted, run: journal.NotRun},
			{key: "a", router: 1, runs: 1},
			{key: "a", runs: 1},
		}},
		{"a refused request whose claim had no reply", []attempt{
			{key: "a", result: reject, before: loseReplies(1), code: outcome.BudgetExhausted, run: journal.NotRun},
			{key: "a", router: 1, runs: 1},
		}},
		{"an unknown outcome is kept", []attempt{
			{key: "a", result: fail, code: outcome.EndpointFailed, run: journal.Unknown},
			{key: "a", router: 1, code: outcome.EndpointFailed, run: journal.Unknown},
		}},
		{"a run that panics", []attempt{
			{key: "a", result: crash, code: outcome.EndpointFailed, run: journal.Unknown},
			{key: "a", router: 1, code: outcome.EndpointFailed, run: journal.Unknown},
		}},
		{"a ticket needs no store", []attempt{
			{key: "ticket:r0:1", before: storeDown, runs: 1},
			{key: "ticket:r0:1", runs: 1},
			{key: "ticket:r0:1", router: 1, runs: 1},
		}},
		{"a forwarded ticket runs at its issuer", []attempt{{key: "ticket:r0:1", router: 1, runs: 1}}},
		{"the issuer has crashed", []attempt{
			{key: "ticket:r0:1", runs: 1},
			{key: "ticket:r0:1", router: 1, before: crashFirst, code: outcome.Lost, run: journal.Unknown, runs: 1},
		}},
		{"the issuer cannot be reached", []attempt{
			{key: "ticket:r0:1", router: 1, before: disconnect, code: outcome.Lost, run: journal.Unknown},
			{key: "ticket:r0:1", runs: 1},
		}},
		{"a refused ticket may be retried", []attempt{
			{key: "ticket:r0:1", result: reject, code: outcome.BudgetExhausted, run: journal.NotRun},
			{key: "ticket:r0:1", runs: 1},
		}},
		{"an evicted ticket does not run again", []attempt{
			{key: "ticket:r0:1", runs: 1}, {key: "ticket:r0:2", runs: 1}, {key: "ticket:r0:3", runs: 1},
			{key: "ticket:r0:1", code: outcome.Lost, run: journal.Unknown, runs: 1},
		}},
		{"an evicted response is read from the claim", []attempt{
			{key: "a", runs: 1}, {key: "b", runs: 1}, {key: "c", runs: 1}, {key: "a", runs: 1},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				for step, each := range test.attempts {
					c.check(step, each)
				}
			})
		})
	}
}

// check sends one attempt, ends its run and compares the result with the wanted one.
func (c *cluster) check(step int, want attempt) {
	c.t.Helper()
	if want.before != nil {
		want.before(c)
	}
	sent := c.send(c.routers[want.router], want.key, want.variant)
	synctest.Wait()
	result := want.result
	if result == "" {
		result = succeed
	}
	for !sent.done && c.resume(result) {
		synctest.Wait()
	}
	synctest.Wait()
	if !sent.done {
		c.t.Fatalf("attempt %d: got no response", step)
	}
	if got := c.runs[want.key]; got != want.runs {
		c.t.Errorf("attempt %d: runs: got %d, want %d", step, got, want.runs)
	}
	var typed outcome.Error
	if failed := (*outcome.Error)(nil); errors.As(sent.err, &failed) {
		typed = *failed
	}
	if typed.Code != want.code || typed.Run != want.run {
		c.t.Errorf("attempt %d: got %q %q (%v), want %q %q", step, typed.Code, typed.Run, sent.err, want.code, want.run)
	}
	if whole := want.key + " run 1"; want.code == "" && sent.content != whole {
		c.t.Errorf("attempt %d: response: got %q, want %q", step, sent.content, whole)
	}
}

func TestCallerDisconnectsAndRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := c.send(c.routers[0], "a", "")
		synctest.Wait()
		first.stop()
		synctest.Wait()
		if !first.done {
			t.Fatal("first attempt: still waits after its caller disconnected")
		}
		if got := c.routers[0].executor.InProgress(); got != 1 {
			t.Errorf("runs in progress: got %d, want 1", got)
		}
		second := c.send(c.routers[1], "a", "")
		synctest.Wait()
		for c.resume(succeed) {
			synctest.Wait()
		}
		if second.content != "a run 1" || c.runs["a"] != 1 {
			t.Errorf("repeat: got %q after %d runs, want %q after 1", second.content, c.runs["a"], "a run 1")
		}
	})
}

// TestPausedHolderKeepsItsClaim guards against a second run of a key while its holder is
// paused and cannot be reached.
func TestPausedHolderKeepsItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := c.send(c.routers[0], "a", "")
		synctest.Wait()
		c.connected = false
		c.check(1, attempt{key: "a", router: 1, code: outcome.Lost, run: journal.Unknown})
		c.finishRuns()
		c.check(2, attempt{key: "a", router: 1, runs: 1})
		if first.content != "a run 1" {
			t.Errorf("holder's response: got %q %v, want %q", first.content, first.err, "a run 1")
		}
	})
}

// TestHolderCrashesBeforeFinish guards against a second run of a key whose holder crashed
// between the work and the update of the claim.
func TestHolderCrashesBeforeFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.send(c.routers[0], "a", "")
		synctest.Wait()
		c.resume(succeed)
		synctest.Wait()
		c.crash(0)
		c.check(1, attempt{key: "a", code: outcome.Lost, run: journal.Unknown, runs: 1})
		c.check(2, attempt{key: "a", router: 1, code: outcome.Lost, run: journal.Unknown, runs: 1})
	})
}

// TestFailedReleaseCountsAsReleased guards against a key that can never run because the
// store was unavailable when the claim of a rejected request was released.
func TestFailedReleaseCountsAsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.send(c.routers[0], "a", "")
		synctest.Wait()
		c.objects.SetFaults(memory.Faults{Down: true})
		c.resume(reject)
		synctest.Wait()
		c.objects.SetFaults(memory.Faults{})
		c.check(1, attempt{key: "a", router: 1, runs: 1})
	})
}
