package serve

import (
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/request/retry"
)

// logServed logs a request that got a complete response, as often as ServedSampler
// allows.
func (r *Runner) logServed(state *requestState, result RelayResult) {
	now := r.Clock.Now()
	if r.ServedSampler == nil || !r.ServedSampler.Allow(now) {
		return
	}
	last := state.attempted[len(state.attempted)-1]
	r.Log.Emit(event.RequestServed, event.String("request", state.job.Request), event.String("team", state.job.Plan.Team.Name),
		event.String("target", state.job.Plan.Target), event.String("endpoint", last.VM.Name),
		event.Int("attempts", len(state.attempted)), event.Int("status", result.Response.Status),
		event.Int("charge", result.Charge), event.Int("took_ms", now.Sub(state.startedAt).Milliseconds()))
}

// logFailedAttempt logs a failed attempt and the reason for the retry decision.
func (r *Runner) logFailedAttempt(state *requestState, failure attemptFailure, reason retry.Reason) {
	now := r.Clock.Now()
	last := state.attempted[len(state.attempted)-1]
	r.Log.Emit(event.AttemptFailed, event.String("request", state.job.Request), event.String("endpoint", last.VM.Name),
		event.Int("attempt", len(state.attempted)), event.String("moment", failure.phase), event.String("said", failure.reportedRun),
		event.String("run", state.run), event.String("reason", reason), event.Cause(state.last.Err),
		event.Int("report_age_ms", reportAge(last, now)), event.Int("took_ms", now.Sub(state.startedAt).Milliseconds()))
}

// reportAge returns the age of the endpoint's last load report in milliseconds, or -1
// if there is none.
func reportAge(state *endpoint.State, now time.Time) int64 {
	report := state.Report.Load()
	if report == nil {
		return -1
	}
	return now.Sub(report.ReceivedAt).Milliseconds()
}
