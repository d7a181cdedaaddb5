package serve

import (
	"io"
	"net/http"

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

// suspectEndpoints returns the endpoints that failed with a suspect part of the prompt. The
// response of another endpoint shows whether the part or the endpoint is at fault, and a
// crashed endpoint has lost its prefix cache.
func (r *Runner) suspectEndpoints(job Job, endpoints []*endpoint.State) []*endpoint.State {
	if r.Prompts == nil {
		return nil
	}
	failed := r.Prompts.View().FailedAt(job.Parts)
	if len(failed) == 0 {
		return nil
	}
	var suspect []*endpoint.State
	for _, state := range endpoints {
		if failed[state.VM.Name] {
			suspect = append(suspect, state)
		}
	}
	return suspect
}

// maxSuspectEndpoints is the number of endpoints at which a part may have crashed before a
// stream with it is no longer resumed at another one. Most streams that a crash cuts off
// are sound.
const maxSuspectEndpoints = 1

// reportCrash reports an attempt whose connection broke before its response had ended. It
// returns true if the prompt is so suspect that it must not crash one more endpoint.
func (r *Runner) reportCrash(job Job, chosen *endpoint.State, err error, begun bool) bool {
	if r.Prompts == nil || len(job.Parts) == 0 || !connectionBroke(err) {
		return false
	}
	failedElsewhere := r.Prompts.View().FailedElsewhere(job.Parts, chosen.VM.Name)
	r.Prompts.ReportFailure(quarantine.Failure{Request: job.Request, Endpoint: chosen.VM.Name, Parts: job.Parts})
	if begun {
		return failedElsewhere > maxSuspectEndpoints
	}
	return failedElsewhere > 0
}

// reportWhole reports that a successful response has ended. One that is not delimited may
// have been cut off by a crash.
func (r *Runner) reportWhole(job Job, response *endpoint.Response) {
	if r.Prompts != nil && len(job.Parts) > 0 && response.Delimited && response.Status < http.StatusMultipleChoices {
		r.Prompts.ReportWhole(job.Parts)
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
