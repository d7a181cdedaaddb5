package retry_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/retry"
)

// TestFleetBudgetBoundsRetriesOfAllProcesses has each process retry whenever its budget
// allows. All together must stay within the ratio of requests plus the slack, from the
// start and also if there are more processes than the slack has retries.
func TestFleetBudgetBoundsRetriesOfAllProcesses(t *testing.T) {
	const (
		ratio  = 0.1
		window = 10 * time.Second
	)
	tests := []struct {
		processes int
		slack     float64
	}{{1, 54}, {7, 54}, {50, 54}, {195, 39.04}, {195, 0}}
	for _, test := range tests {
		processes, slack := test.processes, test.slack
		clk := clock.NewFake()
		var budgets []*retry.Budgets
		for range processes {
			config := retry.FleetBudgetConfig(ratio, slack, window, processes)
			budgets = append(budgets, retry.NewBudgets(config, clk))
		}
		requests, retries := 0, 0
		for windowStart := clk.Now(); clk.Now().Sub(windowStart) < window; clk.Advance(100 * time.Millisecond) {
			for _, processBudgets := range budgets {
				processBudgets.ForPool("pool").RecordRequest(clk.Now())
				requests++
				for processBudgets.ForPool("pool").Take(clk.Now()) {
					retries++
				}
			}
			if got, want := float64(retries), ratio*float64(requests)+slack; got > want {
				t.Fatalf("%d processes, slack %v, after %s: got %v retries, want at most %v",
					processes, slack, clk.Now().Sub(windowStart), got, want)
			}
		}
	}
}

func TestBudgetsOfPoolsAreIndependent(t *testing.T) {
	budgets := retry.NewBudgets(retry.BudgetConfig{Burst: 1, Start: 1}, clock.NewFake())
	if !budgets.ForPool("a").Take(start) || !budgets.ForPool("b").Take(start) || budgets.ForPool("a").Take(start) {
		t.Error("a retry at one pool was taken from the budget of another")
	}
	budgets.SetConfig(retry.BudgetConfig{Burst: 0})
	if budgets.ForPool("c").Take(start) {
		t.Error("a new budget has the old configuration")
	}
}

// TestDecideBoundsStartedAttempts checks that attempts refused by an endpoint do not
// count towards MaxStarted.
func TestDecideBoundsStartedAttempts(t *testing.T) {
	policy := retry.Policy{MaxAttempts: 9}
	failure := retry.Failure{Idempotent: true, Phase: endpoint.AfterHeaders, ReportedRun: journal.NotRun, Attempts: 3, MaxStarted: 1}
	if got := policy.Decide(failure, start); got.Action != retry.Again || got.Started != 0 {
		t.Errorf("refused attempts: got %+v, want another attempt", got)
	}
	failure.ReportedRun = journal.Ran
	if got := policy.Decide(failure, start); got.Action != retry.Fail || got.Reason != retry.AttemptsExhausted {
		t.Errorf("attempt that ran: got %+v, want no other", got)
	}
}
