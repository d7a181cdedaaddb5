package auth

import (
	"encoding/binary"
	"fmt"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
)

// MaxRequestAge is the maximum difference between the time of a request and the clock of
// its receiver. It only limits how long a recorded request can be replayed: the receiver
// must handle a duplicate without harm.
const MaxRequestAge = 5 * time.Minute

// requestDomain separates proofs of requests from other signatures with the secret.
const requestDomain = "jacinthpaddle peer request 1"

// Stale means that the time of a request differs too much from the receiver's.
const Stale Reason = "stale"

// Request is the signed content of one request between routers.
type Request struct {
	// Target is the incarnation of the receiver.
	Target ident.Incarnation
	Method string
	Path   string
	// Digest covers the other content that must not be altered.
	Digest []byte
	Time   time.Time
	Nonce  []byte
}

// RequestError means that a request between routers was refused.
type RequestError struct {
	Method string
	Path   string
	Reason Reason
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s %s: refused: %s", e.Method, e.Path, e.Reason)
}

// Proof returns the proof that the sender adds to the request.
func (r Request) Proof(key secret.Key) []byte {
	return key.Sign(requestDomain, r.parts()...)
}

func (r Request) parts() [][]byte {
	return [][]byte{
		[]byte(r.Target),
		[]byte(r.Method),
		[]byte(r.Path),
		r.Digest,
		binary.BigEndian.AppendUint64(nil, uint64(r.Time.UnixNano())),
		r.Nonce,
	}
}

// Verify verifies the proof and the time of the request. An error is a *RequestError.
func (r Request) Verify(key secret.Key, proof []byte, now time.Time) error {
	refusal := &RequestError{Method: r.Method, Path: r.Path}
	switch {
	case len(r.Nonce) != NonceBytes:
		refusal.Reason = BadNonce
	case !key.Verify(proof, requestDomain, r.parts()...):
		refusal.Reason = WrongProof
	case now.Sub(r.Time).Abs() > MaxRequestAge:
		refusal.Reason = Stale
	default:
		return nil
	}
	return refusal
}
