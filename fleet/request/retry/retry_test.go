package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestDecide covers each phase with the values of ReportedRun that can occur in it, for
// requests that are idempotent and requests that are not.
func TestDecide(t *testing.T) {
	const fail, again = retry.Fail, retry.Again
	tests := []struct {
		phase         endpoint.Phase
		reported      journal.RunStatus
		run           journal.RunStatus
		notIdempotent retry.Action
		idempotent    retry.Action
	}{
		{endpoint.BeforeConnect, "", journal.NotRun, again, again},
		{endpoint.AfterConnect, "", journal.NotRun, again, again},
		{endpoint.AfterRequestBytes, "", journal.Unknown, fail, again},
		{endpoint.AfterHeaders, "", journal.Unknown, fail, again},
		{endpoint.AfterHeaders, journal.NotRun, journal.NotRun, again, again},
		{endpoint.AfterHeaders, journal.Ran, journal.Ran, fail, again},
		{endpoint.AfterHeaders, journal.Unknown, journal.Unknown, fail, again},
		{endpoint.MidStream, "", journal.Unknown, fail, again},
		{endpoint.MidStream, journal.NotRun, journal.NotRun, again, again},
		{endpoint.MidStream, journal.Ran, journal.Ran, fail, again},
		{endpoint.MidStream, journal.Unknown, journal.Unknown, fail, again},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{false, true} {
			want := test.notIdempotent
			if idempotent {
				want = test.idempotent
			}
			failure := retry.Failure{Idempotent: idempotent, Phase: test.phase, ReportedRun: test.reported, Attempts: 1}
			got := retry.Defaults().Decide(failure, start)
			if got.Action != want || got.Run != test.run {
				t.Errorf("%s, reported %q, idempotent %t: got %s and %s, want %s and %s",
					test.phase, test.reported, idempotent, got.Action, got.Run, want, test.run)
			}
			failure.Forwarded = true
			if got := retry.Defaults().Decide(failure, start); got.Action != retry.Fail || got.Reason != retry.ResponseForwarded {
				t.Errorf("%s, forwarded: got %+v, want fail", test.phase, got)
			}
		}
	}
}

func TestDecideBounds(t *testing.T) {
	fresh := retry.Failure{Idempotent: true, Phase: endpoint.BeforeConnect, Attempts: 1, Deadline: start.Add(time.Second)}
	tests := []struct {
		name   string
		change func(*retry.Failure)
		now    time.Time
		want   retry.Decision
	}{
		{"in time", func(*retry.Failure) {}, start, retry.Decision{Action: retry.Again, Run: journal.NotRun}},
		{"at deadline", func(*retry.Failure) {}, start.Add(time.Second),
			retry.Decision{Action: retry.Fail, Run: journal.NotRun, Reason: retry.DeadlinePassed}},
		{"no deadline", func(f *retry.Failure) { f.Deadline = time.Time{} }, start.Add(time.Hour),
			retry.Decision{Action: retry.Again, Run: journal.NotRun}},
		{"last attempt", func(f *retry.Failure) { f.Attempts = 3 }, start,
			retry.Decision{Action: retry.Fail, Run: journal.NotRun, Reason: retry.AttemptsExhausted}},
		{"earlier attempt unknown", func(f *retry.Failure) { f.EarlierRun = journal.Unknown; f.Attempts = 3 }, start,
			retry.Decision{Action: retry.Fail, Run: journal.Unknown, Reason: retry.AttemptsExhausted}},
		{"earlier attempt ran", func(f *retry.Failure) { f.EarlierRun = journal.Ran; f.Attempts = 3 }, start,
			retry.Decision{Action: retry.Fail, Run: journal.Ran, Reason: retry.AttemptsExhausted}},
		{"earlier unknown, not idempotent", func(f *retry.Failure) { f.EarlierRun = journal.Unknown; f.Idempotent = false }, start,
			retry.Decision{Action: retry.Fail, Run: journal.Unknown, Reason: retry.MayHaveRun}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			failure := fresh
			test.change(&failure)
			if got := retry.Defaults().Decide(failure, test.now); got != test.want {
				t.Errorf("decision: got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	bounds := []time.Duration{25, 50, 100, 200, 400, 800, 1000, 1000}
	for attempts, bound := range bounds {
		var longest time.Duration
		for range 1000 {
			longest = max(longest, retry.Defaults().Backoff(attempts+1, source))
		}
		want := bound * time.Millisecond
		if longest > want || longest < want*9/10 {
			t.Errorf("longest backoff after %d: got %s, want close below %s", attempts+1, longest, want)
		}
	}
}

// TestAmplificationInOutage simulates an outage in which all attempts fail before they
// connect, at several request rates. The budget must bound the attempts for each
// request, the amplification, although the policy allows three.
func TestAmplificationInOutage(t *testing.T) {
	const seconds, maxAmplification = 60, 1.2
	for _, perSecond := range []int{2, 20, 100, 1700} {
		budget := retry.NewBudget(retry.BudgetDefaults(), start)
		attempts := 0
		for i := range seconds * perSecond {
			now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			attempts += attemptsOf(budget, now)
		}
		got := float64(attempts) / float64(seconds*perSecond)
		t.Logf("%d a second: amplification %.3f", perSecond, got)
		if got > maxAmplification {
			t.Errorf("amplification at %d a second: got %.3f, want at most %.1f", perSecond, got, maxAmplification)
		}
	}
}

// attemptsOf returns the number of attempts of one request that always fails.
func attemptsOf(budget *retry.Budget, now time.Time) int {
	budget.RecordRequest(now)
	for attempts := 1; ; attempts++ {
		failure := retry.Failure{Idempotent: true, Phase: endpoint.BeforeConnect, Attempts: attempts}
		if retry.Defaults().Decide(failure, now).Action != retry.Again || !budget.Take(now) {
			return attempts
		}
	}
}
