package idempotency_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/request/outcome"
)

// action is one step of a script.
type action struct {
	Kind   string
	Router int
	Key    string
}

var kinds = []string{
	"send", "send", "send", "send", "succeed", "succeed", "succeed", "reject", "fail",
	"lose", "down", "up", "crash", "cut", "join",
}

var keys = []string{"a", "b", "c", "ticket:r0:1", "ticket:r1:1"}

func scripts() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Router: rapid.IntRange(0, 1).Draw(t, "router"),
			Key:    rapid.SampledFrom(keys).Draw(t, "key"),
		}
	})
	return rapid.SliceOfN(one, 1, 60)
}

func (b *cluster) apply(next action) {
	switch next.Kind {
	case "send":
		b.send(b.routers[next.Router], next.Key, "")
	case "succeed", "reject", "fail":
		b.resume(runResult(next.Kind))
	case "lose":
		b.objects.SetFaults(memory.Faults{LoseReplies: 3})
	case "down":
		b.objects.SetFaults(memory.Faults{Down: true})
	case "up":
		b.objects.SetFaults(memory.Faults{})
	case "crash":
		b.crash(next.Router)
	case "cut", "join":
		b.connected = next.Kind == "join"
	}
	synctest.Wait()
}

// TestEachKeyRunsAtMostOnce drives two routers by scripts of repeats, lost
// replies, outages, partitions, crashes and runs that are held back.
func TestEachKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := scripts().Draw(rt, "script")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			b := newCluster(t)
			for _, next := range script {
				b.apply(next)
			}
			faults = b.faults(script, b.recover())
		})
		if len(faults) > 0 {
			rt.Fatalf("got %v, want none", faults)
		}
	})
}

// recover ends all faults and lets each key be asked for once more at each router.
// It returns these last attempts.
func (b *cluster) recover() []*sentAttempt {
	b.objects.SetFaults(memory.Faults{})
	b.connected = true
	b.finish()
	var last []*sentAttempt
	for _, key := range keys {
		last = append(last, b.send(b.routers[0], key, ""))
		b.finish()
		last = append(last, b.send(b.routers[1], key, ""))
		b.finish()
	}
	return last
}

func (b *cluster) finish() {
	synctest.Wait()
	for b.resume(succeed) {
		synctest.Wait()
	}
}

// faults lists what a script broke.
func (b *cluster) faults(script []action, last []*sentAttempt) []string {
	var faults []string
	for key, runs := range b.runs {
		if runs > 1 || b.billed[key] != runs*price {
			faults = append(faults, fmt.Sprintf("%s: %d runs, billed %d", key, runs, b.billed[key]))
		}
	}
	for _, sent := range b.sent {
		faults = append(faults, sent.faults()...)
	}
	if !has(script, "crash", "fail") {
		for _, sent := range last {
			faults = append(faults, sent.missing(has(script, "down", "lose"))...)
		}
	}
	slices.Sort(faults)
	return faults
}

// faults lists what is wrong with any attempt.
func (r *sentAttempt) faults() []string {
	var typed *outcome.Error
	failed := errors.As(r.err, &typed)
	switch {
	case !r.done:
		return []string{r.key + ": not answered"}
	case r.err == nil && r.whole != r.key+" run 1":
		return []string{fmt.Sprintf("%s: answer %q", r.key, r.whole)}
	case failed && typed.Code == outcome.BudgetExhausted && r.runs > 0:
		return []string{fmt.Sprintf("%s: not_run after a run: %v", r.key, r.err)}
	}
	return nil
}

// missing lists why an attempt without faults under way got no whole answer. The
// answer of a ticket may have been evicted, and that of another key too if the
// store did not take it.
func (r *sentAttempt) missing(unstored bool) []string {
	var typed *outcome.Error
	evictable := unstored || strings.HasPrefix(r.key, "ticket:")
	if errors.As(r.err, &typed) && typed.Code == outcome.Lost && evictable && r.runs > 0 {
		return nil
	}
	if r.err != nil {
		return []string{fmt.Sprintf("%s: last attempt: %v", r.key, r.err)}
	}
	return nil
}

func has(script []action, wanted ...string) bool {
	return slices.ContainsFunc(script, func(next action) bool { return slices.Contains(wanted, next.Kind) })
}
