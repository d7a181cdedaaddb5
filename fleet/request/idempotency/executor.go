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

// Executor runs keyed requests. Its methods are safe for concurrent use.
type Executor struct {
	Deps
	cache       *response.Cache[claim.Key, *run]
	usedTickets *usedTickets
	inProgress  atomic.Int64
}

// State is what a flow holds, for dumps.
type State struct {
	Open      int64               `json:"open"`
	Responses response.CacheStats `json:"answers"`
	Tickets   int                 `json:"tickets"`
}

// run is the one run of a key at this process. Elsewhere is set before the
// recording ends if another process holds the key, and Known is then what its
// claim says.
type run struct {
	*response.Recording
	fingerprint string
	request     ident.Request
	holder      ident.Incarnation
	claimedRun  journal.Run
}

// keyOrigin is a key and who made it.
type keyOrigin struct {
	Origin Origin
	issuer ident.Incarnation
}

// New returns a flow that holds nothing.
func New(deps Deps) *Executor {
	return &Executor{
		Deps:        deps,
		cache:       response.NewCache[claim.Key, *run](deps.Clock, deps.Limits.Cache),
		usedTickets: newUsedTickets(deps.Limits.MaxTickets),
	}
}

// InProgress returns how many runs are in progress, also those without a caller.
func (f *Executor) InProgress() int64 {
	return f.inProgress.Load()
}

// State returns what the flow holds.
func (f *Executor) State() State {
	return State{Open: f.InProgress(), Responses: f.cache.Stats(), Tickets: f.usedTickets.len()}
}

// Do answers one attempt at a keyed request. Its error is an *outcome.Error, or
// the sink's when the caller has gone.
func (f *Executor) Do(ctx context.Context, call Call, sink Sink) error {
	origin, err := f.originOf(call.Key)
	if err != nil {
		return err
	}
	if origin.Origin == OriginPeer {
		return f.forward(ctx, call, origin.issuer, journal.Unknown)
	}
	current, created := f.cache.GetOrCreate(call.Key, func() *run {
		return &run{Recording: response.NewRecording(), fingerprint: call.Fingerprint, request: call.Request}
	})
	if created {
		f.inProgress.Add(1)
		go f.execute(context.WithoutCancel(ctx), call, origin, current)
	} else if current.fingerprint != call.Fingerprint {
		return refusal(Decide(Inputs{Origin: origin.Origin, Cache: CacheMismatch}), journal.NotRun)
	}
	return f.follow(ctx, call, current, sink)
}

// originOf checks the key and tells who made it.
func (f *Executor) originOf(key claim.Key) (keyOrigin, error) {
	if err := CheckKey(key.Key); err != nil {
		return keyOrigin{}, err
	}
	issuer, issued, err := f.Tickets.IssuerOf(key)
	switch {
	case err != nil:
		return keyOrigin{}, refuse(outcome.BadRequest, "is no ticket of this team: "+err.Error())
	case !issued:
		return keyOrigin{Origin: OriginCaller}, nil
	case issuer == f.Self:
		return keyOrigin{Origin: OriginSelf, issuer: issuer}, nil
	}
	return keyOrigin{Origin: OriginPeer, issuer: issuer}, nil
}

// forward hands the call to the holder, unless it was handed on before. If that
// gives no answer, only what the claim told is known of the run.
func (f *Executor) forward(ctx context.Context, call Call, holder ident.Incarnation, earlier journal.Run) error {
	if step := Decide(Inputs{Origin: OriginPeer, Forwarded: call.Forwarded}); step != StepForward {
		return refusal(step, earlier)
	}
	err := call.Forward(ctx, holder)
	var typed *outcome.Error
	if err == nil || errors.As(err, &typed) {
		return err
	}
	f.Log.Emit(event.ForwardFailed, event.Text("holder", holder), event.Text("request", call.Request), event.Cause(err))
	return lost(earlier, "the router that holds the answer gave none")
}

// follow passes on the answer while it is recorded.
func (f *Executor) follow(ctx context.Context, call Call, current *run, sink Sink) error {
	for delivered := 0; ; {
		progress, err := current.Next(ctx, delivered)
		if err != nil {
			return waitError(err)
		}
		if progress.End != nil && current.holder != "" {
			return f.forward(ctx, call, current.holder, current.claimedRun)
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

// waitError types the end of a caller's wait. The request goes on.
func waitError(err error) error {
	return &outcome.Error{
		Code:   outcome.TimedOut,
		Run:    journal.Unknown,
		Object: "request",
		Reason: "is still in progress, ask again with the same key: " + err.Error(),
	}
}

// refusal returns the error of a step that ends without an answer. Known is what
// is known of an earlier run.
func refusal(step Step, earlier journal.Run) error {
	switch step {
	case StepRefuseConflict:
		return refuse(outcome.Conflict, "was used for a request with other content")
	case StepRefuseTableFull:
		return refuse(outcome.NoRecord, "cannot be recorded now, and this attempt was not run")
	case StepRefuseUnconfirmed:
		return &outcome.Error{
			Code:   outcome.NoRecord,
			Run:    journal.Unknown,
			Object: "key",
			Field:  KeyHeader,
			Reason: "cannot be looked up now, so that an earlier run cannot be ruled out: ask again with the same key",
		}
	case StepRefuseStopping:
		return refuse(outcome.Overloaded, "was issued by a router that stops, and was not run")
	default:
		return lost(earlier, "nobody holds the answer any more")
	}
}
