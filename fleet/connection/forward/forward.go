// Package forward sends a caller's request to the router that holds its idempotency key,
// over plain HTTP.
//
// The request keeps its method, path, headers and body, including the caller's
// Authorization. Added headers prove that the sender has the secret of the fleet. They
// name the incarnation of the receiver, so that a process that was started later at the
// same address refuses the request. A duplicate of a forwarded request is harmless: it
// repeats a request with the same key.
//
// Each request opens a connection of its own: forwarding is rare, and a pooled
// connection can be dead without notice. A response is only accepted if the receiver
// marked it with KeyCheckedHeader, which means that it was decided by the idempotency key. Any other
// response does not show whether the request ran earlier.
//
// # Usage
//
//	client := forward.NewClient(forward.Settings{Secret: key, Clock: clock.New(), Address: address})
//	response, err := client.Do(ctx, holder, forward.Request{Method: method, Path: uri, Header: header, Body: body})
//	if err != nil {
//		return err
//	}
//	defer func() { _ = response.Body.Close() }()
//	err = forward.Relay(writer, response)
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
	"jacinthpaddle.example/fleet/version/homes"
)

// Path is the path at which a router accepts forwarded requests.
const Path = "/peer/forward"

// Headers of a forwarded request and of its response.
const (
	MethodHeader = "X-Forward-Method"
	PathHeader   = "X-Forward-Path"
	TargetHeader = "X-Forward-Target"
	TimeHeader   = "X-Forward-Time"
	NonceHeader  = "X-Forward-Nonce"
	ProofHeader  = "X-Forward-Proof"
	// KeyCheckedHeader is set in a response if the receiver checked the idempotency key.
	KeyCheckedHeader = "X-Forward-Settled"
)

// headerPrefix is the prefix of the headers that this package adds. They are removed
// from forwarded messages.
const headerPrefix = "X-Forward-"

// signedHeaders lists the caller's headers that the proof covers.
var signedHeaders = []string{"Authorization", "Idempotency-Key", "Content-Type"}

// hopByHop lists headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Reason is why a forwarded request has no complete response.
type Reason string

// Reasons for a missing or incomplete response.
const (
	// NoAddress means that the holder is not known to run.
	NoAddress Reason = "no_address"
	// Unreachable means that no response arrived. The holder may have run the request.
	Unreachable Reason = "unreachable"
	// KeyNotChecked means that the response does not have KeyCheckedHeader.
	KeyNotChecked Reason = "unsettled"
	// OutsideHomes means that the holder is in another region than this process, and not in
	// a home region of the request. Nothing was sent.
	OutsideHomes Reason = "outside_homes"
	// Broken means that the response ended early or could not be written to the caller.
	Broken Reason = "broken"
)

// Error means that a forwarded request has no complete response.
type Error struct {
	Holder ident.Incarnation
	Reason Reason
	// Status is the status code of a response with reason KeyNotChecked, or zero.
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

// Request is the request of a caller.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Homes are the regions to which the body may be sent, besides that of this process,
	// which is the one of its caller.
	Homes homes.Homes
}

// digest returns a hash of the body and the signed headers.
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

// sign sets the headers that authenticate the sender.
func (r Request) sign(header http.Header, key secret.Key, receiver ident.Incarnation, now time.Time) {
	signed := auth.Request{
		Target: receiver,
		Method: r.Method,
		Path:   r.Path,
		Digest: r.digest(),
		Time:   now,
		Nonce:  auth.NewNonce(),
	}
	header.Set(MethodHeader, r.Method)
	header.Set(PathHeader, r.Path)
	header.Set(TargetHeader, string(receiver))
	header.Set(TimeHeader, strconv.FormatInt(now.UnixNano(), 10))
	header.Set(NonceHeader, hex.EncodeToString(signed.Nonce))
	header.Set(ProofHeader, hex.EncodeToString(signed.Proof(key)))
}

// VerifyRequest verifies the proof of a forwarded request that this process, self, received
// and returns the request of the caller. An error is an *auth.RequestError, or names the
// header that cannot be parsed.
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
	signed := auth.Request{
		Target: self,
		Method: request.Method,
		Path:   request.Path,
		Digest: request.digest(),
		Time:   time.Unix(0, nanoseconds),
		Nonce:  nonce,
	}
	return request, signed.Verify(key, proof, now)
}

// endToEnd returns a copy of the header without the headers that apply to one connection
// and without those of this package.
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

// forwardedKey is the context key that WithForwarded sets.
type forwardedKey struct{}

// WithForwarded returns a context for a request that another router forwarded.
func WithForwarded(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardedKey{}, true)
}

// IsForwarded reports whether another router forwarded the request.
func IsForwarded(ctx context.Context) bool {
	forwarded, _ := ctx.Value(forwardedKey{}).(bool)
	return forwarded
}
