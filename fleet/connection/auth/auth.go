// Package auth proves to both ends of a new connection between routers that the
// other end holds the fleet's secret, and to the receiver of a single request
// that its sender does.
//
// Each end sends a fresh nonce and an HMAC-SHA-256 over its role, both
// incarnations and both nonces. A recorded proof fails on the fresh nonce, and a
// proof sent back to its maker fails on the role.
//
// The fleet uses a shared secret and not TLS, because its VMs keep nothing: a
// certificate would have to be issued to each of the 340 VMs replaced on a day,
// renewed and revoked. The links stay inside the operators' network. They are
// not encrypted, and frames after the proofs are not signed: who can alter
// traffic inside that network can alter a link.
//
// # Usage
//
//	session := auth.Session{Dialer: self, Acceptor: peer, DialerNonce: nonce, AcceptorNonce: theirs}
//	err := session.Verify(key, auth.Acceptor, proof)
//	proof := session.Proof(key, auth.Dialer)
package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
)

// Sizes in bytes.
const (
	NonceBytes = 32
	ProofBytes = sha256.Size
)

// linkDomain is what the secret signs here.
const linkDomain = "jacinthpaddle peer link 1"

// Role is an end of a connection.
type Role string

// Roles of the ends.
const (
	Dialer   Role = "dialer"
	Acceptor Role = "acceptor"
)

// Reason tells why an end was refused.
type Reason string

// Reasons to refuse an end.
const (
	WrongProof     Reason = "wrong_proof"
	BadNonce       Reason = "bad_nonce"
	OwnIncarnation Reason = "own_incarnation"
)

// Error says that the other end was refused. Incarnation is what it claimed.
type Error struct {
	Incarnation ident.Incarnation
	Role        Role
	Reason      Reason
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: refused: %s", e.Role, e.Incarnation.Short(), e.Reason)
}

// Session is what both ends know after they exchanged nonces.
type Session struct {
	Dialer        ident.Incarnation
	Acceptor      ident.Incarnation
	DialerNonce   []byte
	AcceptorNonce []byte
}

// NewNonce draws a fresh nonce.
func NewNonce() []byte {
	nonce := make([]byte, NonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// Proof returns what the end in that role sends.
func (s Session) Proof(key secret.Key, role Role) []byte {
	return key.Sign(linkDomain, s.parts(role)...)
}

func (s Session) parts(role Role) [][]byte {
	return [][]byte{
		[]byte(role),
		[]byte(s.Dialer),
		[]byte(s.Acceptor),
		s.DialerNonce,
		s.AcceptorNonce,
	}
}

// Verify checks the proof of the end in that role, and returns an Error if it is
// not one.
func (s Session) Verify(key secret.Key, role Role, proof []byte) error {
	claimed := s.Dialer
	if role == Acceptor {
		claimed = s.Acceptor
	}
	switch {
	case s.Dialer == s.Acceptor:
		return &Error{Incarnation: claimed, Role: role, Reason: OwnIncarnation}
	case len(s.DialerNonce) != NonceBytes || len(s.AcceptorNonce) != NonceBytes:
		return &Error{Incarnation: claimed, Role: role, Reason: BadNonce}
	case !key.Verify(proof, linkDomain, s.parts(role)...):
		return &Error{Incarnation: claimed, Role: role, Reason: WrongProof}
	}
	return nil
}
