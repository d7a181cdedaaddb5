// Package idempotency runs a request with an idempotency key at most once and
// returns the same complete response to every repeat of it.
//
// There are two kinds of keys. A key that the caller chose is claimed in the
// object store before the request is dispatched (see package claim). A ticket is a
// key that a router issued. It contains the identifier of its issuer, and only the
// issuer may run a request with it, so that no access to the store is needed.
//
// A run does not end when its caller disconnects. Its response is recorded, and
// the first caller reads the recording in the same way as callers that repeat the
// request. A repeat reserves no credits and is not charged.
//
// A used ticket is remembered as an 8-byte digest until its issuer exits, also
// after its response was evicted from the cache. Once Limits.MaxTickets tickets
// were used, further tickets are refused. The claim of a caller's key stays in the
// store.
//
// An outcome.Error whose Run is journal.NotRun states that this attempt was not
// dispatched. The code outcome.NoRecord, which is returned while the store is
// unavailable, does not rule out that an earlier attempt with the same key ran.
//
// # Usage
//
//	executor := idempotency.New(idempotency.Deps{
//		Self:    self,
//		Claims:  claims,
//		Tickets: idempotency.SecretVerifier{Secret: fleetSecret},
//		...
//	})
//	err := executor.Do(ctx, idempotency.Call{
//		Key:         claim.Key{Team: team, Key: key},
//		Fingerprint: idempotency.Fingerprint(method, path, body),
//		Request:     request,
//		Dispatch:    dispatch,
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

// KeyHeader is the HTTP header that carries the idempotency key of a request.
const KeyHeader = "Idempotency-Key"

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// Sink delivers a response to one caller.
type Sink interface {
	// Begin sets the identifier of the request whose run produced the response. It is
	// called before each batch of parts, and before the end or the recorded error that
	// Executor.Do returns in place of the end.
	Begin(request ident.Request)
	// Part delivers one part of a streamed response.
	Part(part []byte) error
	// End delivers the end of a streamed response, or the whole response if it is not
	// streamed.
	End(final response.Response) error
}

// DispatchFunc dispatches a request to an endpoint and records its response. It
// returns an *outcome.Error whose Run is journal.NotRun only if nothing was dispatched.
type DispatchFunc func(ctx context.Context, recorder Recorder) error

// ForwardFunc forwards the request to the process that holds its key and relays the
// response to the caller. It returns an error of another type than *outcome.Error only
// if nothing of the response was relayed.
type ForwardFunc func(ctx context.Context, holder ident.Incarnation) error

// TicketVerifier distinguishes tickets from keys that callers chose.
type TicketVerifier interface {
	// IssuerOf returns the process that issued the key, and false if the key is not a
	// ticket. An error reports a ticket that is altered or belongs to another team.
	IssuerOf(key claim.Key) (ident.Incarnation, bool, error)
}

// ClaimClient reads and changes the claims of callers' keys. It is implemented by
// claim.Client, which documents the methods.
type ClaimClient interface {
	Acquire(ctx context.Context, key claim.Key, want claim.Claim) (claim.Snapshot, error)
	Release(ctx context.Context, acquired claim.Snapshot) error
	Finish(ctx context.Context, acquired claim.Snapshot, final response.Response) error
	Abandon(request ident.Request)
}

// Call is one attempt at a request with an idempotency key.
type Call struct {
	Key claim.Key
	// Fingerprint identifies the content of the request, see func Fingerprint.
	Fingerprint string
	Request     ident.Request
	// Budget is the name of the budget that is charged. It is stored in the claim.
	Budget string
	// Reserved is the number of credits that are reserved for the request.
	Reserved int64
	// Floor is the number of credits that the request costs at least once it
	// was dispatched.
	Floor int64
	// ResponseAtHolder keeps the response out of the store, for a request whose response
	// must stay in some regions.
	ResponseAtHolder bool
	// Forwarded reports whether the request was forwarded to this router by another
	// one.
	Forwarded bool
	Dispatch  DispatchFunc
	Forward   ForwardFunc
}

// Limits bound an Executor.
type Limits struct {
	// Cache bounds the recorded responses of finished runs.
	Cache response.CacheLimits
	// StoreTimeout bounds the wait for the store before a request is dispatched,
	// and again after its end.
	StoreTimeout time.Duration
	// MaxTickets is the maximum number of used tickets that are remembered. Further
	// tickets are refused.
	MaxTickets int
}

// DefaultLimits returns the limits of a small router.
func DefaultLimits() Limits {
	return Limits{
		Cache:        response.CacheLimits{Entries: 10_000, Bytes: 32 << 20, Age: time.Hour},
		StoreTimeout: 5 * time.Second,
		MaxTickets:   1 << 20,
	}
}

// Deps are the settings and dependencies of an Executor. They must not change after
// New.
type Deps struct {
	Self    ident.Incarnation
	Clock   clock.Clock
	Log     *event.Log
	Claims  ClaimClient
	Tickets TicketVerifier
	Limits  Limits
	// Stopping reports whether the process is stopping and starts no new runs.
	Stopping func() bool
}

// Fingerprint returns the hexadecimal SHA-256 digest of the method, path and body of a
// request. The length of each part is hashed too, so that two requests whose parts
// only have the same concatenation, such as "/a" with "b" and "/ab" with an empty body,
// have different fingerprints.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		digest.Write(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// CheckKey returns a BadRequest error if the key is empty, longer than MaxKeyBytes or
// not printable ASCII.
func CheckKey(key string) error {
	if key == "" {
		return refusalError(outcome.BadRequest, "is empty")
	}
	if len(key) > MaxKeyBytes {
		return refusalError(outcome.BadRequest, "is longer than 255 bytes")
	}
	for _, char := range []byte(key) {
		if char < ' ' || char > '~' {
			return refusalError(outcome.BadRequest, "has a character that is not printable ASCII")
		}
	}
	return nil
}
