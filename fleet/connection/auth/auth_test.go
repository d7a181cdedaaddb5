package auth_test

import (
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/auth"
)

var secret = []byte("the secret of the fleet")

func session() auth.Session {
	return auth.Session{
		Dialer:        "a",
		Acceptor:      "b",
		DialerNonce:   auth.NewNonce(),
		AcceptorNonce: auth.NewNonce(),
	}
}

func TestVerifyAcceptsOnlyProofOfSameSession(t *testing.T) {
	tests := []struct {
		name   string
		proof  func(auth.Session) []byte
		change func(*auth.Session)
		reason auth.Reason
	}{
		{"own proof", nil, nil, ""},
		{"other secret", func(s auth.Session) []byte { return s.Proof([]byte("guess"), auth.Dialer) }, nil, auth.WrongProof},
		{"reflected proof", func(s auth.Session) []byte { return s.Proof(secret, auth.Acceptor) }, nil, auth.WrongProof},
		{"no proof", func(auth.Session) []byte { return nil }, nil, auth.WrongProof},
		{"truncated proof", func(s auth.Session) []byte { return s.Proof(secret, auth.Dialer)[:8] }, nil, auth.WrongProof},
		{"fresh acceptor nonce", nil, func(s *auth.Session) { s.AcceptorNonce = auth.NewNonce() }, auth.WrongProof},
		{"fresh dialer nonce", nil, func(s *auth.Session) { s.DialerNonce = auth.NewNonce() }, auth.WrongProof},
		{"other dialer", nil, func(s *auth.Session) { s.Dialer = "c" }, auth.WrongProof},
		{"other acceptor", nil, func(s *auth.Session) { s.Acceptor = "c" }, auth.WrongProof},
		{"shifted boundary of incarnations", nil, func(s *auth.Session) { s.Dialer, s.Acceptor = "ab", "" }, auth.WrongProof},
		{"short nonce", nil, func(s *auth.Session) { s.DialerNonce = nil }, auth.BadNonce},
		{"same incarnation at both ends", nil, func(s *auth.Session) { s.Dialer = s.Acceptor }, auth.OwnIncarnation},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checked := session()
			proof := checked.Proof(secret, auth.Dialer)
			if test.proof != nil {
				proof = test.proof(checked)
			}
			if test.change != nil {
				test.change(&checked)
			}
			err := checked.Verify(secret, auth.Dialer, proof)
			var refused *auth.Error
			got := auth.Reason("")
			if errors.As(err, &refused) {
				got = refused.Reason
			}
			if got != test.reason {
				t.Errorf("reason: got %q, want %q", got, test.reason)
			}
		})
	}
}
