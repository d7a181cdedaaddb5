// Package claim keeps, in the object store, which request runs under a caller's
// idempotency key.
//
// A claim is created before its request is dispatched, and only if there is
// none. Its holder alone ends it: by Finish with the outcome, or by Release if
// the request was not dispatched and will not be. Only a released claim passes
// to another request, by a conditional update. So a holder that was paused and
// wakes still has its claim, whatever the time.
//
// A write without a clear result is settled by reading back. Where that fails
// too the request is not dispatched, and Abandon remembers it: such a claim,
// which may stand or may still appear, counts as released at its holder.
//
// # Usage
//
//	claims := claim.NewClient(clock.New(), objects)
//	standing, err := claims.Acquire(ctx, key, claim.Claim{Request: request, ...})
//	if err != nil {
//		claims.Abandon(request)
//		return err
//	}
//	if standing.Meaning == claim.Ours {
//		defer func() { _ = claims.Finish(ctx, standing, whole) }()
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

// Prefix is where claims are in the object store.
const Prefix = "claim/"

// MaxResponseBytes is the largest answer that a claim carries.
const MaxResponseBytes = 64 << 10

// State tells what became of the request that holds a claim.
type State string

// States of a claim.
const (
	// Held means that the request may be dispatched, or was.
	Held State = "held"
	// Released means that the request was not dispatched and will not be.
	Released State = "released"
	// Finished means that the request has ended after it was dispatched.
	Finished State = "finished"
)

// Relation is what a claim means for a request with the same key.
type Relation string

// Meanings of a claim.
const (
	// Owned means that the request holds the claim.
	Owned Relation = "ours"
	// Mismatch means that the key belongs to a request with other content.
	Mismatch Relation = "differs"
	// Available means that the request may take the claim over.
	Available Relation = "vacant"
	// Answered means that the claim carries the answer.
	Answered Relation = "ended"
	// AtHolder means that only the holder has the answer, if anyone has.
	AtHolder Relation = "elsewhere"
)

// Key is an idempotency key, scoped by its team.
type Key struct {
	Team string
	Key  string
}

// Name returns the name of the claim's object.
func (k Key) Name() string {
	sum := sha256.Sum256([]byte(k.Key))
	return Prefix + k.Team + "/" + hex.EncodeToString(sum[:])
}

// Claim says which request runs under a key. Fingerprint stands for the content
// of the request. Reserved and Floor are in credits. Run, Status and Answer are
// those of a finished claim; a large answer is left out.
type Claim struct {
	Request     ident.Request      `json:"request"`
	Holder      ident.Incarnation  `json:"holder"`
	Budget      string             `json:"budget"`
	Fingerprint string             `json:"fingerprint"`
	Reserved    int64              `json:"reserved"`
	Floor       int64              `json:"floor"`
	Created     time.Time          `json:"created"`
	State       State              `json:"state"`
	Run         journal.Run        `json:"run"`
	Status      int                `json:"status,omitempty"`
	Response    *response.Response `json:"answer,omitempty"`
}

// Snapshot is a claim as it was read or written.
type Snapshot struct {
	Key      Key
	Claim    Claim
	Relation Relation
	Version  store.Version
}

// Decode reads a claim.
func Decode(value []byte) (Claim, error) {
	var decoded Claim
	if err := json.Unmarshal(value, &decoded); err != nil {
		return Claim{}, errors.Annotate(err, "claim")
	}
	return decoded, nil
}

// Encode returns the stored form.
func (c Claim) Encode() ([]byte, error) {
	value, err := json.Marshal(c)
	return value, errors.Annotate(err, "claim")
}

// Release returns the claim of a request that was not dispatched.
func (c Claim) Release() Claim {
	c.State = Released
	c.Run = journal.NotRun
	return c
}

// Finish returns the claim of a request that has ended with the answer.
func (c Claim) Finish(final response.Response) Claim {
	c.State = Finished
	c.Run = final.Run()
	c.Status = final.Status
	if final.Bytes() <= MaxResponseBytes {
		c.Response = &final
	}
	return c
}

// RelationTo returns what the claim means for a request. Abandoned tells that
// the request that holds the claim is known never to be dispatched.
func (c Claim) RelationTo(request ident.Request, fingerprint string, abandoned bool) Relation {
	switch {
	case c.Request == request && c.State == Held:
		return Owned
	case c.Fingerprint != fingerprint:
		return Mismatch
	case c.State == Released, c.State == Held && abandoned:
		return Available
	case c.State == Finished && c.Response != nil:
		return Answered
	default:
		return AtHolder
	}
}
