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
	// Kind is one of kinds.
	Kind string
	// Router is the index of the router that send and crash refer to.
	Router int
	// Key is the key that send uses.
	Key string
}

// kinds are the kinds of actions, repeated by their weight. succeed, reject and fail are
// results of the oldest paused run. lose makes the store lose its next three replies;
// down makes it unavailable, and up ends both. cut interrupts the connection between the
// routers and join restores it.
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
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			for _, next := range script {
				c.apply(next)
			}
			violations = c.violations(script, c.recover())
		})
		if len(violations) > 0 {
			rt.Fatalf("got %v, want none", violations)
		}
	})
}

// recover ends all injected faults and sends each key once more to each router. It
// returns these last attempts.
func (c *cluster) recover() []*sentAttempt {
	c.objects.SetFaults(memory.Faults{})
	c.connected = true
	c.finishRuns()
	var last []*sentAttempt
	for _, key := range keys {
		last = append(last, c.send(c.routers[0], key, ""))
		c.finishRuns()
		last = append(last, c.send(c.routers[1], key, ""))
		c.finishRuns()
	}
	return last
}

// finishRuns lets all paused runs succeed.
func (c *cluster) finishRuns() {
	synctest.Wait()
	for c.resume(succeed) {
		synctest.Wait()
	}
}

// violations lists what is wrong at the end of a script: keys that ran twice or were
// charged wrongly, and attempts with a wrong result.
func (c *cluster) violations(script []action, last []*sentAttempt) []string {
	var violations []string
	for key, runs := range c.runs {
		if runs > 1 || c.billed[key] != runs*price {
			violations = append(violations, fmt.Sprintf("%s: %d runs, billed %d", key, runs, c.billed[key]))
		}
	}
	for _, sent := range c.sent {
		violations = append(violations, sent.violations()...)
	}
	if !has(script, "crash", "fail") {
		for _, sent := range last {
			violations = append(violations, sent.unexpectedFailure(has(script, "down", "lose"))...)
		}
	}
	slices.Sort(violations)
	return violations
}

// violations lists what is wrong with the result of an attempt, whatever faults were
// injected.
func (s *sentAttempt) violations() []string {
	var typed *outcome.Error
	failed := errors.As(s.err, &typed)
	switch {
	case !s.done:
		return []string{s.key + ": got no response"}
	case s.err == nil && s.content != s.key+" run 1":
		return []string{fmt.Sprintf("%s: response %q", s.key, s.content)}
	case failed && typed.Code == outcome.BudgetExhausted && s.runs > 0:
		return []string{fmt.Sprintf("%s: not_run after a run: %v", s.key, s.err)}
	}
	return nil
}

// unexpectedFailure lists the error of an attempt that was made after all faults had
// ended, unless the error was to be expected: the response of a ticket may have been
// evicted, and that of a caller's key too if it may not have reached the store, which
// unstored reports.
func (s *sentAttempt) unexpectedFailure(unstored bool) []string {
	var typed *outcome.Error
	evictable := unstored || strings.HasPrefix(s.key, "ticket:")
	if errors.As(s.err, &typed) && typed.Code == outcome.Lost && evictable && s.runs > 0 {
		return nil
	}
	if s.err != nil {
		return []string{fmt.Sprintf("%s: last attempt: %v", s.key, s.err)}
	}
	return nil
}

func has(script []action, wanted ...string) bool {
	return slices.ContainsFunc(script, func(next action) bool { return slices.Contains(wanted, next.Kind) })
}
