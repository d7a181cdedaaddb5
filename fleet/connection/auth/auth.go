// Package auth authenticates both ends of a new connection between routers, and the
// sender of a single request, by the shared secret of the fleet.
//
// Each end of a connection sends a fresh nonce and an HMAC-SHA-256 over its role, both
// incarnations and both nonces. The nonces prevent the replay of a recorded proof, and
// the role prevents a proof from being reflected to its sender.
//
// The fleet uses a shared secret instead of TLS because its VMs keep no state: a
// certificate would have to be issued, renewed and revoked for each of the 340 VMs that
// are replaced per day. The connections stay inside the operators' network. They are not
// encrypted, and messages after the proofs are not signed: whoever can alter traffic inside
// that network can alter a connection.
//
// # Usage
//
//	session := auth.Session{Dialer: self, Acceptor: peer, DialerNonce: nonce, AcceptorNonce: peerNonce}
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

// linkDomain separates proofs of connections from other signatures with the secret.
const linkDomain = "jacinthpaddle peer link 1"

// Role is an end of a connection.
type Role string

// Roles of the ends.
const (
	Dialer   Role = "dialer"
	Acceptor Role = "acceptor"
)

// Reason is why a peer or its request was refused.
type Reason string

// Reasons to refuse an end.
const (
	// WrongProof means that the HMAC does not match.
	WrongProof Reason = "wrong_proof"
	// BadNonce means that a nonce has the wrong size.
	BadNonce Reason = "bad_nonce"
	// OwnIncarnation means that both ends have the same incarnation.
	OwnIncarnation Reason = "own_incarnation"
)

// Error means that the other end of a connection was refused.
type Error struct {
	// Incarnation is what the other end claimed to be.
	Incarnation ident.Incarnation
	Role        Role
	Reason      Reason
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: refused: %s", e.Role, e.Incarnation.Short(), e.Reason)
}

// Session is the input of the proofs of a connection. Both ends have it once they
// exchanged nonces.
type Session struct {
	Dialer        ident.Incarnation
	Acceptor      ident.Incarnation
	DialerNonce   []byte
	AcceptorNonce []byte
}

// NewNonce returns a random nonce.
func NewNonce() []byte {
	nonce := make([]byte, NonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// Proof returns the proof that the end in that role sends.
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

// Verify verifies the proof of the end in that role. An error is an *Error.
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
