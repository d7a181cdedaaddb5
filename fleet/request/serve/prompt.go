package serve

import (
	"io"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/quarantine"
	"jacinthpaddle.example/fleet/request/outcome"
)

// checkPrompt returns an *outcome.Error if a part of the prompt is quarantined.
func (r *Runner) checkPrompt(job Job) error {
	if r.Prompts == nil {
		return nil
	}
	part, found := r.Prompts.View().Quarantined(job.Parts)
	if !found {
		return nil
	}
	return &outcome.Error{
		Code:   outcome.Quarantined,
		Run:    journal.NotRun,
		Object: "prompt part",
		Name:   string(part),
		Reason: "endpoints crash under a part of the prompt",
	}
}

// reportCrash reports an attempt whose connection broke before its response had begun. It
// returns true if another endpoint failed with a part of the prompt before.
func (r *Runner) reportCrash(job Job, chosen *endpoint.State, err error) bool {
	if r.Prompts == nil || len(job.Parts) == 0 || !connectionBroke(err) {
		return false
	}
	failedElsewhere := r.Prompts.View().FailedElsewhere(job.Parts, chosen.VM.Name)
	r.Prompts.ReportFailure(quarantine.Failure{Request: job.Request, Endpoint: chosen.VM.Name, Parts: job.Parts})
	return failedElsewhere
}

// reportBegun reports that a response has begun under the suspects among the parts of
// the prompt.
func (r *Runner) reportBegun(job Job) {
	if r.Prompts == nil {
		return
	}
	if suspects := r.Prompts.View().Suspects(job.Parts); len(suspects) > 0 {
		r.Prompts.ReportBegun(suspects)
	}
}

// connectionBroke reports whether the endpoint closed or reset the connection of a
// request that may have reached it.
func connectionBroke(err error) bool {
	var call *endpoint.CallError
	if errors.As(err, &call) {
		return call.Phase.Arrived() && !call.Inactive && !call.Canceled
	}
	return errors.Is(err, io.ErrUnexpectedEOF)
}
