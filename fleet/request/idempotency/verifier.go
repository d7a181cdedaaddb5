package idempotency

import (
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/request/locate"
)

// SecretVerifier verifies the signed tickets that package locate issues.
type SecretVerifier struct {
	Secret secret.Key
}

// IssuerOf implements TicketVerifier.
func (v SecretVerifier) IssuerOf(key claim.Key) (ident.Incarnation, bool, error) {
	ticket, err := locate.VerifyTicket(v.Secret, key.Key, key.Team)
	var fault *locate.TicketError
	if errors.As(err, &fault) && fault.Fault == locate.NotATicket {
		return "", false, nil
	}
	return ticket.Issuer, true, err
}
