// Package secret creates and verifies signatures with the secret that the processes
// of a fleet share.
//
// # Usage
//
//	key := secret.Key(settings.Secret)
//	proof := key.Sign("ticket", []byte(issuer), []byte(id))
//	ok := key.Verify(proof, "ticket", []byte(issuer), []byte(id))
package secret

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// Key is the shared secret of a fleet.
type Key []byte

// Sign returns the HMAC-SHA-256 of the purpose and the parts. The purpose keeps a
// signature made for one use from being valid for another. Each part is preceded by
// its length, so that no other split of the same bytes has the same signature.
func (k Key) Sign(purpose string, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, k)
	for _, part := range append([][]byte{[]byte(purpose)}, parts...) {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// Verify reports whether the signature is that of the purpose and the parts. It
// compares in constant time.
func (k Key) Verify(signature []byte, purpose string, parts ...[]byte) bool {
	return hmac.Equal(signature, k.Sign(purpose, parts...))
}

// String keeps the key out of logs and dumps that package fmt formats. It does not
// apply to encoded forms such as JSON.
func (k Key) String() string {
	return "secret"
}
