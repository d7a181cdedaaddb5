package serve

import (
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/request/retry"
)

// logServed writes one line for a request with a whole answer, up to the rate of
// the sampler.
func (r *Runner) logServed(trial *trial, done RelayResult) {
	now := r.Clock.Now()
	if r.ServedSampler == nil || !r.ServedSampler.Allow(now) {
		return
	}
	last := trial.tried[len(trial.tried)-1]
	r.Log.Emit(event.RequestServed, event.Text("request", trial.job.Request), event.Text("team", trial.job.Plan.Team.Name),
		event.Text("target", trial.job.Plan.Target), event.Text("endpoint", last.VM.Name),
		event.Number("attempts", len(trial.tried)), event.Number("status", done.Response.Status),
		event.Number("charge", done.Charge), event.Number("took_ms", now.Sub(trial.started).Milliseconds()))
}

// logAttempt writes one line for an attempt that failed, with what decided on the
// next one.
func (r *Runner) logAttempt(trial *trial, failure failure, reason retry.Reason) {
	now := r.Clock.Now()
	last := trial.tried[len(trial.tried)-1]
	r.Log.Emit(event.AttemptFailed, event.Text("request", trial.job.Request), event.Text("endpoint", last.VM.Name),
		event.Number("attempt", len(trial.tried)), event.Text("moment", failure.moment), event.Text("said", failure.said),
		event.Text("run", trial.run), event.Text("reason", reason), event.Cause(trial.last.Err),
		event.Number("report_age_ms", reportAge(last, now)), event.Number("took_ms", now.Sub(trial.started).Milliseconds()))
}

// reportAge returns the age of the endpoint's last load report in milliseconds, or
// -1 if there is none.
func reportAge(state *endpoint.State, now time.Time) int64 {
	report := state.Report.Load()
	if report == nil {
		return -1
	}
	return now.Sub(report.ReceivedAt).Milliseconds()
}
