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

const errPanicked = errors.ConstError("panicked")

// own decides on the key, which is fresh in memory, and ends its recording. That
// the call was handed on by another router matters only to those who follow it.
func (f *Executor) own(ctx context.Context, call Call, from origin, held *run) {
	defer f.open.Add(-1)
	facts := Inputs{
		Origin:   from.Origin,
		Cache:    CacheMiss,
		Ticket:   f.tickets.state(call.Key.Key),
		Claim:    ClaimUnread,
		Stopping: f.Stopping(),
	}
	step := Decide(facts)
	var standing claim.Snapshot
	if step == StepClaim {
		standing = f.take(ctx, call)
		facts.Claim = standing.Relation
		facts.HolderIsSelf = standing.Claim.Holder == f.Self
		step = Decide(facts)
	}
	switch {
	case step == StepRun && from.Origin == OriginSelf:
		f.runTicket(ctx, call, held)
	case step == StepRun:
		f.runClaim(ctx, call, held, standing)
	case step == StepReplay:
		f.keep(call.Key, held, *standing.Claim.Response)
	case step == StepForward:
		held.elsewhere = standing.Claim.Holder
		held.known = knownRun(standing)
		f.drop(call.Key, held, response.Response{})
	default:
		refused := refusal(step, knownRun(standing))
		f.drop(call.Key, held, response.Response{Request: call.Request, Failure: encodeFailure(refused)})
	}
}

// knownRun returns what a claim tells of the run of its holder.
func knownRun(standing claim.Snapshot) journal.Run {
	if standing.Claim.Run == "" {
		return journal.Unknown
	}
	return standing.Claim.Run
}

// take claims the key. Without a clear answer the request is abandoned.
func (f *Executor) take(ctx context.Context, call Call) claim.Snapshot {
	ctx, cancel := context.WithTimeout(ctx, f.Limits.StoreTimeout)
	defer cancel()
	standing, err := f.Claims.Acquire(ctx, call.Key, claim.Claim{
		Request:     call.Request,
		Holder:      f.Self,
		Budget:      call.Budget,
		Fingerprint: call.Fingerprint,
		Reserved:    call.Reserved,
		Floor:       call.Floor,
	})
	if err != nil {
		f.Claims.Abandon(call.Request)
		f.unwritten(call, err)
		standing.Relation = ClaimUnconfirmed
	}
	return standing
}

// unwritten logs a change of a claim that may not have taken effect.
func (f *Executor) unwritten(call Call, err error) {
	if err != nil {
		f.Log.Emit(event.ClaimFailed, event.Text("request", call.Request), event.Cause(err))
	}
}

// runTicket runs a ticket of this process, which is marked before.
func (f *Executor) runTicket(ctx context.Context, call Call, held *run) {
	f.tickets.add(call.Key.Key)
	whole := f.work(ctx, call, held)
	if whole.Run() != journal.NotRun {
		f.keep(call.Key, held, whole)
		return
	}
	f.tickets.remove(call.Key.Key)
	f.drop(call.Key, held, whole)
}

// runClaim runs a request that holds its claim, and tells the store how it ended
// once its callers have the answer.
func (f *Executor) runClaim(ctx context.Context, call Call, held *run, standing claim.Snapshot) {
	whole := f.work(ctx, call, held)
	ctx, cancel := context.WithTimeout(ctx, f.Limits.StoreTimeout)
	defer cancel()
	if whole.Run() != journal.NotRun {
		whole = f.keep(call.Key, held, whole)
		f.unwritten(call, f.Claims.Finish(ctx, standing, whole))
		return
	}
	f.Claims.Abandon(call.Request)
	f.drop(call.Key, held, whole)
	f.unwritten(call, f.Claims.Release(ctx, standing))
}

// work runs the request. A panic ends it with an unknown outcome, as a panic in
// a handler would, and not the process.
func (f *Executor) work(ctx context.Context, call Call, held *run) (whole response.Response) {
	defer func() {
		if value := recover(); value != nil {
			f.Log.Emit(event.RunPanicked, event.Text("request", call.Request), event.Text("panic", fmt.Sprint(value)))
			whole = response.Response{Request: call.Request, Failure: encodeFailure(errPanicked)}
		}
	}()
	kept := &runRecorder{recording: held.Recording}
	err := call.Dispatch(ctx, kept)
	return kept.result(call.Request, err)
}

// keep ends the recording and remembers it for repeats. It returns the answer
// with all of its parts.
func (f *Executor) keep(key claim.Key, held *run, whole response.Response) response.Response {
	whole = held.End(whole)
	f.memory.Finish(key, whole.Bytes())
	return whole
}

// drop ends the recording for those who follow it and forgets it, so that the
// next attempt decides anew.
func (f *Executor) drop(key claim.Key, held *run, whole response.Response) {
	f.memory.Remove(key)
	held.End(whole)
}
