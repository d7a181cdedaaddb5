package auth

import (
	"encoding/binary"
	"fmt"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
)

// MaxRequestAge is how far the time of a request may be from the receiver's. It
// only bounds the use of a recorded request: what a receiver does for a second
// copy must be harmless without it.
const MaxRequestAge = 5 * time.Minute

// requestDomain is what the secret signs here.
const requestDomain = "jacinthpaddle peer request 1"

// Stale means that a request is too old, or from the future.
const Stale Reason = "stale"

// Request is one request between routers. Digest covers what else of it must not
// be altered.
type Request struct {
	Target ident.Incarnation
	Method string
	Path   string
	Digest []byte
	Time   time.Time
	Nonce  []byte
}

// RequestError says that a request between routers was refused.
type RequestError struct {
	Method string
	Path   string
	Reason Reason
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s %s: refused: %s", e.Method, e.Path, e.Reason)
}

// Proof returns what the sender adds to the request.
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

// Verify checks the sender's proof and the time, and returns a RequestError if
// the request is to be refused.
func (r Request) Verify(key secret.Key, proof []byte, now time.Time) error {
	refused := &RequestError{Method: r.Method, Path: r.Path}
	switch {
	case len(r.Nonce) != NonceBytes:
		refused.Reason = BadNonce
	case !key.Verify(proof, requestDomain, r.parts()...):
		refused.Reason = WrongProof
	case now.Sub(r.Time).Abs() > MaxRequestAge:
		refused.Reason = Stale
	default:
		return nil
	}
	return refused
}
