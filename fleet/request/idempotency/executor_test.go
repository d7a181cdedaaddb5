package idempotency_test

import (
	"testing"
	"testing/synctest"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/request/outcome"
)

// attempt is one attempt of a scenario. Before says what happens first.
type attempt struct {
	before  func(b *cluster)
	router  int
	key     string
	variant string
	result  runResult
	code    outcome.Code
	run     journal.Run
	runs    int
}

func TestAttempts(t *testing.T) {
	storeDown := func(b *cluster) { b.objects.SetFaults(memory.Faults{Down: true}) }
	storeUp := func(b *cluster) { b.objects.SetFaults(memory.Faults{}) }
	loseReplies := func(writes int) func(b *cluster) {
		return func(b *cluster) { b.objects.SetFaults(memory.Faults{LoseReplies: writes}) }
	}
	crashFirst := func(b *cluster) { b.crash(0) }
	disconnect := func(b *cluster) { b.connected = false }
	tests := []struct {
		name     string
		attempts []attempt
	}{
		{"a repeat gets the same answer", []attempt{{key: "a", runs: 1}, {key: "a", runs: 1}, {key: "a", router: 1, runs: 1}}},
		{"another content conflicts", []attempt{
			{key: "a", runs: 1},
			{key: "a", variant: "other", code: outcome.Conflict, run: journal.NotRun, runs: 1},
			{key: "a", variant: "other", router: 1, code: outcome.Conflict, run: journal.NotRun, runs: 1},
		}},
		{"the claim has the answer after the holder's death", []attempt{{key: "a", runs: 1}, {key: "a", router: 1, before: crashFirst, runs: 1}}},
		{"the reply of the claim is lost", []attempt{{key: "a", before: loseReplies(1), runs: 1}, {key: "a", router: 1, runs: 1}}},
		{"the store is away", []attempt{
			{key: "a", before: storeDown, code: outcome.NoRecord, run: journal.Unknown},
			{key: "a", before: storeUp, runs: 1},
		}},
		{"a refused request may try again", []attempt{
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
		{"a ticket that was never seen runs at its issuer", []attempt{{key: "ticket:r0:1", router: 1, runs: 1}}},
		{"the issuer is gone", []attempt{
			{key: "ticket:r0:1", runs: 1},
			{key: "ticket:r0:1", router: 1, before: crashFirst, code: outcome.Lost, run: journal.Unknown, runs: 1},
		}},
		{"the issuer cannot be reached", []attempt{
			{key: "ticket:r0:1", router: 1, before: disconnect, code: outcome.Lost, run: journal.Unknown},
			{key: "ticket:r0:1", runs: 1},
		}},
		{"a refused ticket may try again", []attempt{
			{key: "ticket:r0:1", result: reject, code: outcome.BudgetExhausted, run: journal.NotRun},
			{key: "ticket:r0:1", runs: 1},
		}},
		{"an evicted ticket does not run again", []attempt{
			{key: "ticket:r0:1", runs: 1}, {key: "ticket:r0:2", runs: 1}, {key: "ticket:r0:3", runs: 1},
			{key: "ticket:r0:1", code: outcome.Lost, run: journal.Unknown, runs: 1},
		}},
		{"an evicted answer is read from the claim", []attempt{
			{key: "a", runs: 1}, {key: "b", runs: 1}, {key: "c", runs: 1}, {key: "a", runs: 1},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(t)
				for step, each := range test.attempts {
					b.check(step, each)
				}
			})
		})
	}
}

// check makes one attempt, lets it end and compares.
func (b *cluster) check(step int, want attempt) {
	b.t.Helper()
	if want.before != nil {
		want.before(b)
	}
	sent := b.send(b.routers[want.router], want.key, want.variant)
	synctest.Wait()
	given := want.result
	if given == "" {
		given = succeed
	}
	for !sent.done && b.resume(given) {
		synctest.Wait()
	}
	synctest.Wait()
	if !sent.done {
		b.t.Fatalf("attempt %d: not answered", step)
	}
	if got := b.runs[want.key]; got != want.runs {
		b.t.Errorf("attempt %d: runs: got %d, want %d", step, got, want.runs)
	}
	var typed outcome.Error
	if failed := (*outcome.Error)(nil); errors.As(sent.err, &failed) {
		typed = *failed
	}
	if typed.Code != want.code || typed.Run != want.run {
		b.t.Errorf("attempt %d: got %q %q (%v), want %q %q", step, typed.Code, typed.Run, sent.err, want.code, want.run)
	}
	if whole := want.key + " run 1"; want.code == "" && sent.whole != whole {
		b.t.Errorf("attempt %d: answer: got %q, want %q", step, sent.whole, whole)
	}
}

func TestCallerLeavesAndRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		first := b.send(b.routers[0], "a", "")
		synctest.Wait()
		first.stop()
		synctest.Wait()
		if !first.done {
			t.Fatal("first attempt: still waits after its caller left")
		}
		if got := b.routers[0].flow.InProgress(); got != 1 {
			t.Errorf("runs in progress: got %d, want 1", got)
		}
		second := b.send(b.routers[1], "a", "")
		synctest.Wait()
		for b.resume(succeed) {
			synctest.Wait()
		}
		if second.whole != "a run 1" || b.runs["a"] != 1 {
			t.Errorf("repeat: got %q after %d runs, want %q after 1", second.whole, b.runs["a"], "a run 1")
		}
	})
}

func TestPausedHolderKeepsItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		first := b.send(b.routers[0], "a", "")
		synctest.Wait()
		b.connected = false
		b.check(1, attempt{key: "a", router: 1, code: outcome.Lost, run: journal.Unknown})
		b.finish()
		b.check(2, attempt{key: "a", router: 1, runs: 1})
		if first.whole != "a run 1" {
			t.Errorf("holder's answer: got %q %v, want %q", first.whole, first.err, "a run 1")
		}
	})
}

func TestHolderDiesInTheMidst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		b.send(b.routers[0], "a", "")
		synctest.Wait()
		b.resume(succeed)
		synctest.Wait()
		b.crash(0)
		b.check(1, attempt{key: "a", code: outcome.Lost, run: journal.Unknown, runs: 1})
		b.check(2, attempt{key: "a", router: 1, code: outcome.Lost, run: journal.Unknown, runs: 1})
	})
}

func TestReleaseThatWasNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		b.send(b.routers[0], "a", "")
		synctest.Wait()
		b.objects.SetFaults(memory.Faults{Down: true})
		b.resume(reject)
		synctest.Wait()
		b.objects.SetFaults(memory.Faults{})
		b.check(1, attempt{key: "a", router: 1, runs: 1})
	})
}
