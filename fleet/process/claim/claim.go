// Package claim stores, in the object store, which request runs under an
// idempotency key that a caller chose.
//
// A claim is created before its request is dispatched, and only if the key has
// none. Only its holder ends it: by Finish with the outcome, or by Release if the
// request was not dispatched and never will be. Another request can acquire only a
// released claim, by a conditional update. Claims do not expire, so a holder that
// was paused still owns its claim when it resumes, however long that took.
//
// If the result of a write is unknown, the client reads the claim back. If that
// fails too, the request must not be dispatched and must be marked by Abandon. Its
// claim, which may exist or may be created by a delayed write, then counts as released
// in this process, but as held by this process in all others.
//
// # Usage
//
//	claims := claim.NewClient(clock.New(), objects)
//	acquired, err := claims.Acquire(ctx, key, claim.Claim{Request: request, ...})
//	if err != nil {
//		claims.Abandon(request)
//		return err
//	}
//	if acquired.Relation == claim.Owned {
//		defer func() { _ = claims.Finish(ctx, acquired, final) }()
//	}
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/process/store"
)

// Prefix starts the names of all claims in the object store.
const Prefix = "claim/"

// MaxResponseBytes is the maximum size of a response that is stored in its claim. A
// larger response is only available from the holder.
const MaxResponseBytes = 64 << 10

// State is the state of the request that holds a claim.
type State string

// States of a claim.
const (
	// Held means that the request was dispatched or may still be.
	Held State = "held"
	// Released means that the request was not dispatched and never will be.
	Released State = "released"
	// Finished means that the request was dispatched and has ended.
	Finished State = "finished"
)

// Relation is how a claim relates to a request with the same key.
type Relation string

// Relations of a claim to a request.
const (
	// Owned means that the request itself holds the claim.
	Owned Relation = "ours"
	// Mismatch means that the key was claimed for a request with other content.
	Mismatch Relation = "differs"
	// Available means that the request may acquire the claim, since it was released or
	// abandoned.
	Available Relation = "vacant"
	// ResponseStored means that the claim contains the response.
	ResponseStored Relation = "ended"
	// AtHolder means that only the process that holds the claim can have the response:
	// the request is in progress, or its response was not stored.
	AtHolder Relation = "elsewhere"
)

// Key is an idempotency key in the scope of its team.
type Key struct {
	Team string
	Key  string
}

// Name returns the name of the claim in the object store, which contains the SHA-256
// digest of the key.
func (k Key) Name() string {
	sum := sha256.Sum256([]byte(k.Key))
	return Prefix + k.Team + "/" + hex.EncodeToString(sum[:])
}

// Claim is the stored record of the request that runs under a key.
type Claim struct {
	Request ident.Request     `json:"request"`
	Holder  ident.Incarnation `json:"holder"`
	Budget  string            `json:"budget"`
	// Fingerprint identifies the content of the request.
	Fingerprint string `json:"fingerprint"`
	// Reserved is the number of credits that are reserved for the request.
	Reserved int64 `json:"reserved"`
	// Floor is the number of credits that the request costs at least once it was
	// dispatched.
	Floor   int64     `json:"floor"`
	Created time.Time `json:"created"`
	State   State     `json:"state"`
	// Run is final once State is not Held.
	Run journal.RunStatus `json:"run"`
	// Status is the HTTP status of a finished request.
	Status int `json:"status,omitempty"`
	// ResponseAtHolder keeps the response out of the store, so that only the holder has it.
	ResponseAtHolder bool `json:"answer_at_holder,omitempty"`
	// Response is set for a finished request, unless it has more than
	// MaxResponseBytes or stays at the holder.
	Response *response.Response `json:"answer,omitempty"`
}

// Snapshot is a claim as it was read or written, with the version of its stored object
// and its relation to the request for which it was read.
type Snapshot struct {
	Key      Key
	Claim    Claim
	Relation Relation
	Version  store.Version
}

// Decode decodes the stored form of a claim.
func Decode(value []byte) (Claim, error) {
	var decoded Claim
	if err := json.Unmarshal(value, &decoded); err != nil {
		return Claim{}, errors.Annotate(err, "claim")
	}
	return decoded, nil
}

// Encode returns the stored form of the claim.
func (c Claim) Encode() ([]byte, error) {
	value, err := json.Marshal(c)
	return value, errors.Annotate(err, "claim")
}

// Release returns the claim as released, for a request that was not dispatched.
func (c Claim) Release() Claim {
	c.State = Released
	c.Run = journal.NotRun
	return c
}

// Finish returns the claim as finished, with the response unless it has more than
// MaxResponseBytes or stays at the holder.
func (c Claim) Finish(final response.Response) Claim {
	c.State = Finished
	c.Run = final.Run()
	c.Status = final.Status
	if final.Bytes() <= MaxResponseBytes && !c.ResponseAtHolder {
		c.Response = &final
	}
	return c
}

// RelationTo returns how the claim relates to a request with the same key. abandoned
// reports that the request that holds the claim will never be dispatched.
func (c Claim) RelationTo(request ident.Request, fingerprint string, abandoned bool) Relation {
	switch {
	case c.Request == request && c.State == Held:
		return Owned
	case c.Fingerprint != fingerprint:
		return Mismatch
	case c.State == Released, c.State == Held && abandoned:
		return Available
	case c.State == Finished && c.Response != nil:
		return ResponseStored
	default:
		return AtHolder
	}
}
