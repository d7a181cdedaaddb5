package claim

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/recent"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/process/store"
)

// MaxWriteAttempts bounds the writes of one change.
const MaxWriteAttempts = 4

// MaxAbandoned is how many abandoned requests a client remembers.
const MaxAbandoned = 1 << 16

// Operation names a change of a claim.
type Operation string

// Operations on claims.
const (
	OperationAcquire Operation = "take"
	OperationRelease Operation = "release"
	OperationFinish  Operation = "finish"
)

// UnconfirmedError says that the store did not tell whether a change took effect.
type UnconfirmedError struct {
	Operation Operation
	Name      string
	Cause     error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Operation, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

// LostError says that the claim is no longer the one that was to be changed.
type LostError struct {
	Operation Operation
	Name      string
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("%s %s: the claim has changed", e.Operation, e.Name)
}

const errContended = errors.ConstError("other writers won every try")

// Client changes claims. Its methods are safe for concurrent use.
type Client struct {
	clock     clock.Clock
	objects   store.Store
	abandoned *recent.Set[ident.Request]
}

// NewClient returns a client that has abandoned nothing.
func NewClient(clk clock.Clock, objects store.Store) *Client {
	return &Client{clock: clk, objects: objects, abandoned: recent.NewSet[ident.Request](MaxAbandoned)}
}

// Abandon remembers that the request was not dispatched and will not be. It must
// be called for a request whose Acquire failed.
func (c *Client) Abandon(request ident.Request) {
	c.abandoned.Add(request)
}

// Abandoned returns how many abandoned requests are remembered.
func (c *Client) Abandoned() int {
	return c.abandoned.Len()
}

// OperationAcquire claims the key for the request. Its result is Ours if the request may be
// dispatched, and else tells what the claim of another request means. An error
// is an UnsettledError.
func (c *Client) Acquire(ctx context.Context, key Key, want Claim) (Snapshot, error) {
	want.State = Held
	want.Run = journal.Unknown
	want.Created = c.clock.Now()
	value, err := want.Encode()
	if err != nil {
		return Snapshot{}, err
	}
	name := key.Name()
	version, err := c.objects.Create(ctx, name, value)
	for range MaxWriteAttempts {
		if err == nil {
			return Snapshot{Key: key, Claim: want, Relation: Owned, Version: version}, nil
		}
		if !resolvableByRead(err) {
			return Snapshot{}, &UnconfirmedError{Operation: OperationAcquire, Name: name, Cause: err}
		}
		found, readErr := c.read(ctx, key, want)
		switch {
		case isMissing(readErr):
			version, err = c.objects.Create(ctx, name, value)
		case readErr != nil:
			return Snapshot{}, &UnconfirmedError{Operation: OperationAcquire, Name: name, Cause: readErr}
		case found.Relation == Available:
			version, err = c.objects.Update(ctx, name, found.Version, value)
		default:
			return found, nil
		}
	}
	if err == nil {
		return Snapshot{Key: key, Claim: want, Relation: Owned, Version: version}, nil
	}
	return Snapshot{}, &UnconfirmedError{Operation: OperationAcquire, Name: name, Cause: errContended}
}

// OperationRelease ends the claim of a request that was not dispatched and will not be.
func (c *Client) Release(ctx context.Context, acquired Snapshot) error {
	return c.replace(ctx, OperationRelease, acquired, acquired.Claim.Release())
}

// OperationFinish ends the claim of a request with its answer.
func (c *Client) Finish(ctx context.Context, acquired Snapshot, final response.Response) error {
	return c.replace(ctx, OperationFinish, acquired, acquired.Claim.Finish(final))
}

// replace writes the claim if it still has the version. A repeated write that
// took effect before is found by its state.
func (c *Client) replace(ctx context.Context, operation Operation, acquired Snapshot, next Claim) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	name := acquired.Key.Name()
	for range MaxWriteAttempts {
		_, err = c.objects.Update(ctx, name, acquired.Version, value)
		if err == nil {
			return nil
		}
		if !resolvableByRead(err) {
			return &UnconfirmedError{Operation: operation, Name: name, Cause: err}
		}
		found, readErr := c.read(ctx, acquired.Key, next)
		switch {
		case readErr != nil:
			return &UnconfirmedError{Operation: operation, Name: name, Cause: readErr}
		case found.Claim.Request == next.Request && found.Claim.State == next.State:
			return nil
		case found.Version != acquired.Version:
			return &LostError{Operation: operation, Name: name}
		}
	}
	return &UnconfirmedError{Operation: operation, Name: name, Cause: err}
}

func (c *Client) read(ctx context.Context, key Key, request Claim) (Snapshot, error) {
	object, err := c.objects.Get(ctx, key.Name())
	if err != nil {
		return Snapshot{}, err
	}
	found, err := Decode(object.Value)
	if err != nil {
		return Snapshot{}, err
	}
	meaning := found.RelationTo(request.Request, request.Fingerprint, c.abandoned.Has(found.Request))
	return Snapshot{Key: key, Claim: found, Relation: meaning, Version: object.Version}, nil
}

// resolvableByRead reports whether reading back tells what to do next.
func resolvableByRead(err error) bool {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}

func isMissing(err error) bool {
	var missing *store.NotFoundError
	return errors.As(err, &missing)
}
