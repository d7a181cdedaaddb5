// Package idempotency runs a request with an idempotency key at most once and gives
// its repeats the same whole answer.
//
// There are two kinds of keys. A caller's own key is claimed in the object store
// before the request is dispatched (see package claim). A ticket that the system
// issued names its issuer: that process alone may run it, and needs no store.
//
// The work of a keyed request does not end with its caller. It is recorded, and
// the first caller follows the recording like any that repeats the request.
// A repeat reserves and costs nothing.
//
// A ticket that has run is remembered for as long as the incarnation lives, in
// eight bytes, also when its answer has been evicted. When MaxTickets have run,
// further tickets are refused. The claim of a caller's key stays in the store.
//
// A refusal with run not_run says that this attempt was not run. NoRecord, which
// is answered when the store is away, says nothing of earlier attempts that were
// made with the key.
//
// # Usage
//
//	flow := idempotency.New(idempotency.Deps{Self: self, Claims: claims, Issuer: idempotency.Tickets{Secret: key}, ...})
//	err := flow.Do(ctx, idempotency.Call{
//		Key:         claim.Key{Team: team, Key: key},
//		Fingerprint: idempotency.Fingerprint(method, path, body),
//		Request:     request,
//		Work:        work,
//		Forward:     forward,
//	}, sink)
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/request/outcome"
)

// KeyHeader carries an idempotency key.
const KeyHeader = "Idempotency-Key"

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 255

// Sink takes an answer for one caller.
type Sink interface {
	// Begin names the request that is answered, before its first part or its end.
	Begin(request ident.Request)
	// Part passes on a part of a streamed answer.
	Part(part []byte) error
	// End passes on the end of a streamed answer, or the whole of another.
	End(final response.Response) error
}

// DispatchFunc dispatches a request and records its answer. Its error is an
// *outcome.Error whose run is not_run only if nothing was dispatched.
type DispatchFunc func(ctx context.Context, record Recorder) error

// ForwardFunc passes the request on to the process and its answer to the caller.
// An error that is not an *outcome.Error came before any of the answer did.
type ForwardFunc func(ctx context.Context, holder ident.Incarnation) error

// TicketVerifier reads issued keys.
type TicketVerifier interface {
	// IssuerOf returns the issuer of the key. It is false for a caller's own key, and
	// the error is for what pretends to be a ticket of the team.
	IssuerOf(key claim.Key) (ident.Incarnation, bool, error)
}

// ClaimClient holds the claims of callers' keys.
type ClaimClient interface {
	Acquire(ctx context.Context, key claim.Key, want claim.Claim) (claim.Snapshot, error)
	Release(ctx context.Context, acquired claim.Snapshot) error
	Finish(ctx context.Context, acquired claim.Snapshot, final response.Response) error
	Abandon(request ident.Request)
}

// Call is one attempt of a caller at a keyed request. Forwarded tells that
// another router passed it on. Reserved and Floor are in credits.
type Call struct {
	Key         claim.Key
	Fingerprint string
	Request     ident.Request
	Budget      string
	Reserved    int64
	Floor       int64
	Forwarded   bool
	Dispatch    DispatchFunc
	Forward     ForwardFunc
}

// Limits bound the flow. Store bounds the wait for the store before a request is
// dispatched, and again after its end.
type Limits struct {
	Cache        response.CacheLimits
	StoreTimeout time.Duration
	MaxTickets   int
}

// DefaultLimits returns the limits of a small router.
func DefaultLimits() Limits {
	return Limits{
		Cache:        response.CacheLimits{Entries: 10_000, Bytes: 32 << 20, Age: time.Hour},
		StoreTimeout: 5 * time.Second,
		MaxTickets:   1 << 20,
	}
}

// Deps are what a flow needs. They are set once. Closed reports whether nothing
// new may run because the process stops.
type Deps struct {
	Self     ident.Incarnation
	Clock    clock.Clock
	Log      *event.Log
	Claims   ClaimClient
	Tickets  TicketVerifier
	Limits   Limits
	Stopping func() bool
}

// Fingerprint stands for the content of a request.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		digest.Write(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// CheckKey refuses a key that is empty, too long or not printable ASCII.
func CheckKey(key string) error {
	if key == "" {
		return refuse(outcome.BadRequest, "is empty")
	}
	if len(key) > MaxKeyBytes {
		return refuse(outcome.BadRequest, "is longer than 255 bytes")
	}
	for _, char := range []byte(key) {
		if char < ' ' || char > '~' {
			return refuse(outcome.BadRequest, "has a character that is not printable ASCII")
		}
	}
	return nil
}
