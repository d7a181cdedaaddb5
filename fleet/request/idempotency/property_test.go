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

func (c *cluster) apply(next action) {
	switch next.Kind {
	case "send":
		c.send(c.routers[next.Router], next.Key, "")
	case "succeed", "reject", "fail":
		c.resume(runResult(next.Kind))
	case "lose":
		c.objects.SetFaults(memory.Faults{LoseReplies: 3})
	case "down":
		c.objects.SetFaults(memory.Faults{Down: true})
	case "up":
		c.objects.SetFaults(memory.Faults{})
	case "crash":
		c.crash(next.Router)
	case "cut", "join":
		c.connected = next.Kind == "join"
	}
	synctest.Wait()
}

// TestEachKeyRunsAtMostOnce guards against a second run or charge of a key, and
// against repeats with different responses. Random scripts for two routers combine
// repeats, lost replies of the store, outages, partitions, crashes and paused runs.
func TestEachKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := scripts().Draw(rt, "script")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			for _, next := range script {
				c.apply(next)
			}
			faults = c.faults(script, c.recover())
		})
		if len(faults) > 0 {
			rt.Fatalf("got %v, want none", faults)
		}
	})
}

// recover ends all faults and sends each key once more to each router. It returns
// these last attempts.
func (c *cluster) recover() []*sentAttempt {
	c.objects.SetFaults(memory.Faults{})
	c.connected = true
	c.finish()
	var last []*sentAttempt
	for _, key := range keys {
		last = append(last, c.send(c.routers[0], key, ""))
		c.finish()
		last = append(last, c.send(c.routers[1], key, ""))
		c.finish()
	}
	return last
}

func (c *cluster) finish() {
	synctest.Wait()
	for c.resume(succeed) {
		synctest.Wait()
	}
}

// faults lists the violations at the end of a script.
func (c *cluster) faults(script []action, last []*sentAttempt) []string {
	var faults []string
	for key, runs := range c.runs {
		if runs > 1 || c.billed[key] != runs*price {
			faults = append(faults, fmt.Sprintf("%s: %d runs, billed %d", key, runs, c.billed[key]))
		}
	}
	for _, sent := range c.sent {
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

// faults lists the violations of one attempt.
func (r *sentAttempt) faults() []string {
	var typed *outcome.Error
	failed := errors.As(r.err, &typed)
	switch {
	case !r.done:
		return []string{r.key + ": not answered"}
	case r.err == nil && r.content != r.key+" run 1":
		return []string{fmt.Sprintf("%s: answer %q", r.key, r.content)}
	case failed && typed.Code == outcome.BudgetExhausted && r.runs > 0:
		return []string{fmt.Sprintf("%s: not_run after a run: %v", r.key, r.err)}
	}
	return nil
}

// missing lists why an attempt that was made without faults got no complete response.
// The response of a ticket may have been evicted, and that of a claimed key too if
// unstored reports that the store may not have stored it.
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
