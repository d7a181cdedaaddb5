package idempotency

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
)

// errPanicked is the failure of a request whose dispatch panicked.
const errPanicked = errors.ConstError("run panicked")

// execute decides the steps for a key that is new in the cache, runs the request if the
// decision is StepRun, and ends the recording. It ignores whether the call was forwarded,
// since the recording is shared by forwarded and direct calls: follow checks it for each
// of them.
func (e *Executor) execute(ctx context.Context, call Call, verified verifiedKey, current *run) {
	defer e.inProgress.Add(-1)
	inputs := Inputs{
		Origin:   verified.origin,
		Cache:    CacheMiss,
		Ticket:   e.usedTickets.state(call.Key.Key),
		Claim:    ClaimUnread,
		Stopping: e.Stopping(),
	}
	step := Decide(inputs)
	var snapshot claim.Snapshot
	if step == StepClaim {
		snapshot = e.acquireClaim(ctx, call)
		inputs.Claim = snapshot.Relation
		inputs.HolderIsSelf = snapshot.Claim.Holder == e.Self
		step = Decide(inputs)
	}
	switch {
	case step == StepRun && verified.origin == OriginSelf:
		e.runTicket(ctx, call, current)
	case step == StepRun:
		e.runClaimed(ctx, call, current, snapshot)
	case step == StepReplay:
		e.finishRun(call.Key, current, *snapshot.Claim.Response)
	case step == StepForward:
		current.holder = snapshot.Claim.Holder
		current.claimedRun = claimedRun(snapshot)
		e.discardRun(call.Key, current, response.Response{})
	default:
		failed := stepError(step, claimedRun(snapshot))
		e.discardRun(call.Key, current, response.Response{Request: call.Request, Failure: encodeFailure(failed)})
	}
}

// claimedRun returns the run status that a claim states, or Unknown if no claim was
// read.
func claimedRun(snapshot claim.Snapshot) journal.RunStatus {
	if snapshot.Claim.Run == "" {
		return journal.Unknown
	}
	return snapshot.Claim.Run
}

// acquireClaim claims the key for the request. If the store does not confirm the
// claim, the request is abandoned.
func (e *Executor) acquireClaim(ctx context.Context, call Call) claim.Snapshot {
	ctx, cancel := context.WithTimeout(ctx, e.Limits.StoreTimeout)
	defer cancel()
	snapshot, err := e.Claims.Acquire(ctx, call.Key, claim.Claim{
		Request:          call.Request,
		Holder:           e.Self,
		Budget:           call.Budget,
		Fingerprint:      call.Fingerprint,
		Reserved:         call.Reserved,
		Floor:            call.Floor,
		ResponseAtHolder: call.ResponseAtHolder,
	})
	if err != nil {
		e.Claims.Abandon(call.Request)
		e.logClaimError(call, err)
		snapshot.Relation = ClaimUnconfirmed
	}
	return snapshot
}

// logClaimError logs the error of a change of a claim, which may not have taken effect. It
// does nothing if err is nil.
func (e *Executor) logClaimError(call Call, err error) {
	if err != nil {
		e.Log.Emit(event.ClaimFailed, event.String("request", call.Request), event.Cause(err))
	}
}

// runTicket runs a request with a ticket of this process. The ticket is marked as used
// before the run, and unmarked if nothing was dispatched.
func (e *Executor) runTicket(ctx context.Context, call Call, current *run) {
	e.usedTickets.add(call.Key.Key)
	final := e.dispatch(ctx, call, current)
	if final.Run() != journal.NotRun {
		e.finishRun(call.Key, current, final)
		return
	}
	e.usedTickets.remove(call.Key.Key)
	e.discardRun(call.Key, current, final)
}

// runClaimed runs a request that owns its claim. It updates the claim after it has
// ended the recording, so that callers do not wait for the store. A request that was not
// dispatched is also marked as abandoned, so that its claim counts as released even if
// the update fails.
func (e *Executor) runClaimed(ctx context.Context, call Call, current *run, snapshot claim.Snapshot) {
	final := e.dispatch(ctx, call, current)
	ctx, cancel := context.WithTimeout(ctx, e.Limits.StoreTimeout)
	defer cancel()
	if final.Run() != journal.NotRun {
		final = e.finishRun(call.Key, current, final)
		e.logClaimError(call, e.Claims.Finish(ctx, snapshot, final))
		return
	}
	e.Claims.Abandon(call.Request)
	e.discardRun(call.Key, current, final)
	e.logClaimError(call, e.Claims.Release(ctx, snapshot))
}

// dispatch runs the request and returns its response. A panic ends the request with an
// unknown outcome and leaves the process running, as net/http does with a panic in a
// handler.
func (e *Executor) dispatch(ctx context.Context, call Call, current *run) (final response.Response) {
	defer func() {
		if value := recover(); value != nil {
			e.Log.Emit(event.RunPanicked, event.String("request", call.Request), event.String("panic", fmt.Sprint(value)))
			final = response.Response{Request: call.Request, Failure: encodeFailure(errPanicked)}
		}
	}()
	recorder := &runRecorder{recording: current.Recording}
	err := call.Dispatch(ctx, recorder)
	return recorder.result(call.Request, err)
}

// finishRun ends the recording and keeps it in the cache for repeats. It returns the
// response with all of its parts.
func (e *Executor) finishRun(key claim.Key, current *run, final response.Response) response.Response {
	final = current.End(final)
	e.cache.Finish(key, final.Bytes())
	return final
}

// discardRun removes the run from the cache, so that the next attempt is decided anew,
// and ends the recording for callers that follow it.
func (e *Executor) discardRun(key claim.Key, current *run, final response.Response) {
	e.cache.Remove(key)
	current.End(final)
}
