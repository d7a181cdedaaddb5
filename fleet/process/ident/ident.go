// Package ident defines the identifiers of process incarnations, requests and
// attempts.
//
// An incarnation is one run of one process. VMs keep no state, so a restarted
// process is a new incarnation and never resumes its predecessor.
//
// # Usage
//
//	self := ident.NewIncarnation()
//	request := ident.NewRequest(self)
package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Incarnation is the random identifier of one run of a process. It is never reused.
type Incarnation string

// Request is the identifier of one request of a caller. It starts with the incarnation
// that accepted the request.
type Request string

// Attempt is the identifier of one attempt to serve a request at one endpoint.
type Attempt string

// NewIncarnation returns a new random identifier.
func NewIncarnation() Incarnation {
	return Incarnation(strings.ToLower(rand.Text()))
}

// NewRequest returns a new random identifier of a request that self accepted.
func NewRequest(self Incarnation) Request {
	return Request(string(self) + "-" + strings.ToLower(rand.Text()))
}

// MaxCallerIDBytes is the maximum length of a caller's id that CallerRequest keeps.
const MaxCallerIDBytes = 64

// CallerRequest returns the identifier of a request that self accepted and to which its
// caller gave the id.
func CallerRequest(self Incarnation, id string) Request {
	return Request(string(self) + "-" + BoundCallerID(id))
}

// BoundCallerID returns the form of a caller's id in records and logs. An id that is longer
// than MaxCallerIDBytes or not printable ASCII is replaced by its first characters and a
// digest.
func BoundCallerID(id string) string {
	printable := !strings.ContainsFunc(id, func(char rune) bool { return char < ' ' || char > '~' })
	switch {
	case printable && len(id) <= MaxCallerIDBytes:
		return id
	case printable:
		return id[:digestPrefixBytes] + digestOf(id)
	default:
		return digestOf(id)
	}
}

// digestPrefixBytes is how much of a long id is kept before its digest.
const digestPrefixBytes = 16

// digestOf returns a tilde and the first half of the SHA-256 digest in hex.
func digestOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	return "~" + hex.EncodeToString(sum[:sha256.Size/2])
}

// NewAttempt returns a new random identifier.
func NewAttempt() Attempt {
	return Attempt(strings.ToLower(rand.Text()))
}

// Incarnation returns the incarnation that accepted the request.
func (r Request) Incarnation() Incarnation {
	incarnation, _, _ := strings.Cut(string(r), "-")
	return Incarnation(incarnation)
}

// Short returns at most the first eight characters, for logs and tables.
func (i Incarnation) Short() string {
	if len(i) <= 8 {
		return string(i)
	}
	return string(i[:8])
}
