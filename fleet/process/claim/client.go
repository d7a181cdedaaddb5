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

// MaxWriteAttempts bounds how often one change of a claim is written. The first
// creation of a claim by Acquire is not counted.
const MaxWriteAttempts = 4

// MaxAbandoned is the maximum number of abandoned requests that a client remembers. The
// oldest are forgotten first; the claim of a forgotten one counts as held again.
const MaxAbandoned = 1 << 16

// Operation is a kind of change of a claim, for error messages.
type Operation string

// Operations on claims.
const (
	OperationAcquire Operation = "take"
	OperationRelease Operation = "release"
	OperationFinish  Operation = "finish"
)

// UnconfirmedError reports that the store did not confirm a change of a claim, which
// may have taken effect.
type UnconfirmedError struct {
	Operation Operation
	// Name is the name of the claim in the object store.
	Name  string
	Cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Operation, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

// LostError reports that the claim was not changed because another request has
// acquired it or its holder has already ended it.
type LostError struct {
	Operation Operation
	// Name is the name of the claim in the object store.
	Name string
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("%s %s: the claim has changed", e.Operation, e.Name)
}

// errContended is the cause of an UnconfirmedError after MaxWriteAttempts.
const errContended = errors.ConstError("all write attempts conflicted with other writers or had unknown results")

// Client reads and changes claims in the object store. Its methods are safe for
// concurrent use.
type Client struct {
	clock     clock.Clock
	objects   store.Store
	abandoned *recent.Set[ident.Request]
}

// NewClient returns a client that remembers no abandoned requests.
func NewClient(clk clock.Clock, objects store.Store) *Client {
	return &Client{clock: clk, objects: objects, abandoned: recent.NewSet[ident.Request](MaxAbandoned)}
}

// Abandon marks a request that was not dispatched and never will be, so that its claim
// counts as released in this process. It must be called for a request whose Acquire returned an error.
func (c *Client) Abandon(request ident.Request) {
	c.abandoned.Add(request)
}

// Abandoned returns how many abandoned requests are remembered.
func (c *Client) Abandoned() int {
	return c.abandoned.Len()
}

// Acquire claims the key for the request of want. The request may be dispatched if the
// relation of the result is Owned; any other relation is that of the claim of another
// request, which is left unchanged. If the store fails, the error is an
// UnconfirmedError.
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

// Release ends the claim of a request that was not dispatched and never will be. It
// returns a LostError or an UnconfirmedError if the claim was not, or may not have
// been, changed.
func (c *Client) Release(ctx context.Context, acquired Snapshot) error {
	return c.replace(ctx, OperationRelease, acquired, acquired.Claim.Release())
}

// Finish ends the claim of a request with its response. It returns the same errors as
// Release.
func (c *Client) Finish(ctx context.Context, acquired Snapshot, final response.Response) error {
	return c.replace(ctx, OperationFinish, acquired, acquired.Claim.Finish(final))
}

// replace stores next if the stored object still has the version of acquired. After a
// conflict or an unknown result it reads the claim: the write has taken effect if the
// stored claim has the request and state of next, is lost to another writer if the
// version is different, and is repeated otherwise.
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

// read returns the stored claim and its relation to the request.
func (c *Client) read(ctx context.Context, key Key, request Claim) (Snapshot, error) {
	object, err := c.objects.Get(ctx, key.Name())
	if err != nil {
		return Snapshot{}, err
	}
	found, err := Decode(object.Value)
	if err != nil {
		return Snapshot{}, err
	}
	relation := found.RelationTo(request.Request, request.Fingerprint, c.abandoned.Has(found.Request))
	return Snapshot{Key: key, Claim: found, Relation: relation, Version: object.Version}, nil
}

// resolvableByRead reports whether reading the claim back shows if a failed write must be
// repeated. That is so after a conflict, and if the write may have taken effect.
func resolvableByRead(err error) bool {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}

// isMissing reports whether err means that the object does not exist.
func isMissing(err error) bool {
	var missing *store.NotFoundError
	return errors.As(err, &missing)
}
