// Package forward passes a caller's request on to the router that holds its
// idempotency key, over plain HTTP.
//
// The request travels with its own method, path, headers and body, the caller's
// Authorization included, and with a proof that its sender holds the fleet's
// secret. It names the incarnation that it is for, so that a process that was
// started anew at the same address refuses it. A second copy of a forwarded
// request is a repeat with the same key, and does no harm.
//
// Each request takes a connection of its own: forwards are rare, and a pooled
// connection can have gone silent. An answer counts only if the receiver marked
// it as settled by the key. Any other answer tells nothing about an earlier run.
//
// # Usage
//
//	client := forward.NewClient(forward.Settings{Secret: key, Clock: clock.New(), Address: address})
//	answer, err := client.Do(ctx, holder, forward.Request{Method: method, Path: uri, Header: header, Body: body})
//	if err != nil {
//		return err
//	}
//	defer func() { _ = answer.Body.Close() }()
//	err = forward.Relay(writer, answer)
package forward

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/auth"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
)

// Path is where a router takes forwarded requests.
const Path = "/peer/forward"

// Headers of a forwarded request and of its answer.
const (
	MethodHeader  = "X-Forward-Method"
	PathHeader    = "X-Forward-Path"
	TargetHeader  = "X-Forward-Target"
	TimeHeader    = "X-Forward-Time"
	NonceHeader   = "X-Forward-Nonce"
	ProofHeader   = "X-Forward-Proof"
	SettledHeader = "X-Forward-Settled"
)

const headerPrefix = "X-Forward-"

// signedHeaders lists the callers' headers that the proof covers.
var signedHeaders = []string{"Authorization", "Idempotency-Key", "Content-Type"}

// hopByHop lists headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Reason tells why a forwarded request has no answer.
type Reason string

// Reasons for an answer that is missing.
const (
	// NoAddress means that the holder is not known to run.
	NoAddress Reason = "no_address"
	// Unreachable means that the holder gave no answer. It may have run the request.
	Unreachable Reason = "unreachable"
	// Unsettled means that the answer was not decided by the key.
	Unsettled Reason = "unsettled"
	// Broken means that the answer broke off.
	Broken Reason = "broken"
)

// Error says that a forwarded request has no answer, or no whole one. Status is
// that of an unsettled answer.
type Error struct {
	Holder ident.Incarnation
	Reason Reason
	Status int
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("forward to %s: %s", e.Holder.Short(), e.Reason)
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Request is what a caller sent. Path includes the query.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// digest covers the body and the protected headers.
func (r Request) digest() []byte {
	hash := sha256.New()
	parts := [][]byte{r.Body}
	for _, name := range signedHeaders {
		parts = append(parts, []byte(strings.Join(r.Header.Values(name), "\n")))
	}
	for _, part := range parts {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}
	return hash.Sum(nil)
}

// sign sets the headers that prove the sender.
func (r Request) sign(header http.Header, key secret.Key, target ident.Incarnation, now time.Time) {
	proven := auth.Request{
		Target: target,
		Method: r.Method,
		Path:   r.Path,
		Digest: r.digest(),
		Time:   now,
		Nonce:  auth.NewNonce(),
	}
	header.Set(MethodHeader, r.Method)
	header.Set(PathHeader, r.Path)
	header.Set(TargetHeader, string(target))
	header.Set(TimeHeader, strconv.FormatInt(now.UnixNano(), 10))
	header.Set(NonceHeader, hex.EncodeToString(proven.Nonce))
	header.Set(ProofHeader, hex.EncodeToString(proven.Proof(key)))
}

// VerifyRequest checks the proof of a received request and returns what the caller sent.
// Its errors are an *auth.RequestError, or name a header that is no proof's.
func VerifyRequest(key secret.Key, header http.Header, body []byte, self ident.Incarnation, now time.Time) (Request, error) {
	request := Request{
		Method: header.Get(MethodHeader),
		Path:   header.Get(PathHeader),
		Header: endToEnd(header),
		Body:   body,
	}
	nanoseconds, err := strconv.ParseInt(header.Get(TimeHeader), 10, 64)
	if err != nil {
		return Request{}, errors.Annotate(err, TimeHeader)
	}
	nonce, err := hex.DecodeString(header.Get(NonceHeader))
	if err != nil {
		return Request{}, errors.Annotate(err, NonceHeader)
	}
	proof, err := hex.DecodeString(header.Get(ProofHeader))
	if err != nil {
		return Request{}, errors.Annotate(err, ProofHeader)
	}
	proven := auth.Request{
		Target: self,
		Method: request.Method,
		Path:   request.Path,
		Digest: request.digest(),
		Time:   time.Unix(0, nanoseconds),
		Nonce:  nonce,
	}
	return request, proven.Verify(key, proof, now)
}

// endToEnd returns the headers that travel with a forwarded message.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range hopByHop {
		kept.Del(name)
	}
	for name := range kept {
		if strings.HasPrefix(name, headerPrefix) {
			delete(kept, name)
		}
	}
	return kept
}

type forwardedKey struct{}

// WithForwarded marks the context of a request that another router passed on.
func WithForwarded(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardedKey{}, true)
}

// IsForwarded reports whether the request was passed on by another router.
func IsForwarded(ctx context.Context) bool {
	forwarded, _ := ctx.Value(forwardedKey{}).(bool)
	return forwarded
}
