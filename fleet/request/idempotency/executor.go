package idempotency

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/request/outcome"
)

// Executor runs requests with an idempotency key. Its methods are safe for concurrent
// use.
type Executor struct {
	Deps
	cache       *response.Cache[claim.Key, *run]
	usedTickets *usedTickets
	inProgress  atomic.Int64
}

// State counts the runs and used tickets of an Executor, for state dumps.
type State struct {
	// InProgress is the number of runs in progress, see Executor.InProgress.
	InProgress int64               `json:"open"`
	Responses  response.CacheStats `json:"answers"`
	// Tickets is the number of used tickets.
	Tickets int `json:"tickets"`
}

// run is the cache entry of a key: the recording of the request that runs under it at
// this process, or the result of the decision not to run it here.
type run struct {
	*response.Recording
	// fingerprint and request are those of the first request with the key.
	fingerprint string
	request     ident.Request
	// holder is the process that holds the claim of the key, if that is another process,
	// else it is empty. It is set before the recording ends.
	holder ident.Incarnation
	// claimedRun is the run status in the claim of holder.
	claimedRun journal.RunStatus
}

// verifiedKey is the origin of a key that was checked and, if the key is a ticket, its
// issuer.
type verifiedKey struct {
	origin Origin
	issuer ident.Incarnation
}

// New returns an Executor with an empty cache and no used tickets.
func New(deps Deps) *Executor {
	return &Executor{
		Deps:        deps,
		cache:       response.NewCache[claim.Key, *run](deps.Clock, deps.Limits.Cache),
		usedTickets: newUsedTickets(deps.Limits.MaxTickets),
	}
}

// InProgress returns the number of runs in progress, including those whose callers
// have disconnected.
func (e *Executor) InProgress() int64 {
	return e.inProgress.Load()
}

// State returns the current counts.
func (e *Executor) State() State {
	return State{InProgress: e.InProgress(), Responses: e.cache.Stats(), Tickets: e.usedTickets.len()}
}

// Do runs the request of the call, or delivers the response of an earlier run, to the
// sink. It returns an *outcome.Error, or the error of the sink if the caller has
// disconnected.
func (e *Executor) Do(ctx context.Context, call Call, sink Sink) error {
	verified, err := e.verifyKey(call.Key)
	if err != nil {
		return err
	}
	if verified.origin == OriginPeer {
		return e.forward(ctx, call, verified.issuer, journal.Unknown)
	}
	current, created := e.cache.GetOrCreate(call.Key, func() *run {
		return &run{Recording: response.NewRecording(), fingerprint: call.Fingerprint, request: call.Request}
	})
	if created {
		e.inProgress.Add(1)
		go e.execute(context.WithoutCancel(ctx), call, verified, current)
	} else if current.fingerprint != call.Fingerprint {
		return stepError(Decide(Inputs{Origin: verified.origin, Cache: CacheMismatch}), journal.NotRun)
	}
	return e.follow(ctx, call, current, sink)
}

// verifyKey checks the key and returns its origin.
func (e *Executor) verifyKey(key claim.Key) (verifiedKey, error) {
	if err := CheckKey(key.Key); err != nil {
		return verifiedKey{}, err
	}
	issuer, issued, err := e.Tickets.IssuerOf(key)
	switch {
	case err != nil:
		return verifiedKey{}, refusalError(outcome.BadRequest, "is no ticket of this team: "+err.Error())
	case !issued:
		return verifiedKey{origin: OriginCaller}, nil
	case issuer == e.Self:
		return verifiedKey{origin: OriginSelf, issuer: issuer}, nil
	}
	return verifiedKey{origin: OriginPeer, issuer: issuer}, nil
}

// forward sends the call to the holder of the key, unless it was forwarded before.
// earlier is the run status that the claim of the holder states, or Unknown for a
// ticket. It is the run status of the error if the holder does not return a response.
func (e *Executor) forward(ctx context.Context, call Call, holder ident.Incarnation, earlier journal.RunStatus) error {
	if step := Decide(Inputs{Origin: OriginPeer, Forwarded: call.Forwarded}); step != StepForward {
		return stepError(step, earlier)
	}
	err := call.Forward(ctx, holder)
	var typed *outcome.Error
	if err == nil || errors.As(err, &typed) {
		return err
	}
	e.Log.Emit(event.ForwardFailed, event.String("holder", holder), event.String("request", call.Request), event.Cause(err))
	return lostError(earlier, "the router that holds the answer gave none")
}

// follow delivers the recorded response, while it grows, until its end. If the recording
// ends because another process holds the key, it forwards the call instead.
func (e *Executor) follow(ctx context.Context, call Call, current *run, sink Sink) error {
	for delivered := 0; ; {
		progress, err := current.Next(ctx, delivered)
		if err != nil {
			return waitError(err)
		}
		if progress.End != nil && current.holder != "" {
			return e.forward(ctx, call, current.holder, current.claimedRun)
		}
		if err := deliver(current, progress, sink); err != nil {
			return err
		}
		if progress.End != nil {
			return nil
		}
		delivered += len(progress.Parts)
	}
}

// deliver passes new parts of a recording, and its end, to the sink.
func deliver(current *run, progress response.Progress, sink Sink) error {
	request := current.request
	if progress.End != nil {
		request = progress.End.Request
	}
	sink.Begin(request)
	for _, part := range progress.Parts {
		if err := sink.Part(part); err != nil {
			return err
		}
	}
	switch {
	case progress.End == nil:
		return nil
	case progress.End.Failure != nil:
		return decodeFailure(progress.End.Failure)
	default:
		return sink.End(*progress.End)
	}
}

// waitError returns the error for a caller whose context ended before the run did. The
// run continues.
func waitError(err error) error {
	return &outcome.Error{
		Code:   outcome.TimedOut,
		Run:    journal.Unknown,
		Object: "request",
		Reason: "is still in progress, ask again with the same key: " + err.Error(),
	}
}

// stepError returns the error for a step that ends a call without a response. earlier is
// the run status that StepReportLost reports for the earlier run.
func stepError(step Step, earlier journal.RunStatus) error {
	switch step {
	case StepRefuseConflict:
		return refusalError(outcome.Conflict, "was used for a request with other content")
	case StepRefuseTableFull:
		return refusalError(outcome.NoRecord, "cannot be recorded now, and this attempt was not run")
	case StepRefuseUnconfirmed:
		return &outcome.Error{
			Code:   outcome.NoRecord,
			Run:    journal.Unknown,
			Object: "key",
			Field:  KeyHeader,
			Reason: "cannot be looked up now, so that an earlier run cannot be ruled out: ask again with the same key",
		}
	case StepRefuseStopping:
		return refusalError(outcome.Overloaded, "was issued by a router that stops, and was not run")
	default:
		return lostError(earlier, "nobody holds the answer any more")
	}
}
