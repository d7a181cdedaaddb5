package locate

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
)

// ticketPrefix distinguishes tickets from idempotency keys that callers chose.
const ticketPrefix = "jpt1."

// ticketDomain separates proofs of tickets from other signatures with the secret.
const ticketDomain = "jacinthpaddle ticket 1"

// Ticket is an idempotency key that a router issued. Only its issuer may run a request
// with it, so the issuer needs no store to run the request at most once.
type Ticket struct {
	// Issuer is the incarnation of the process that issued the ticket.
	Issuer ident.Incarnation
	// ID is random and unique for each ticket.
	ID   string
	Team string
}

// TicketFault is why a key is not a valid ticket for a team.
type TicketFault string

// Faults of tickets.
const (
	// NotATicket means that the key has no ticket prefix: a caller chose it.
	NotATicket TicketFault = "not_a_ticket"
	// Malformed means that the ticket cannot be decoded.
	Malformed TicketFault = "malformed"
	// WrongProof means that the proof does not match.
	WrongProof TicketFault = "wrong_proof"
	// OtherTeam means that the ticket was issued to another team.
	OtherTeam TicketFault = "other_team"
)

// TicketError means that a key is not a valid ticket for the team.
type TicketError struct {
	Fault TicketFault
	Team  string
}

// Error implements error.
func (e *TicketError) Error() string {
	return fmt.Sprintf("ticket for team %s: %s", e.Team, e.Fault)
}

// IssueTicket returns a new ticket for the team.
func IssueTicket(issuer ident.Incarnation, team string) Ticket {
	return Ticket{Issuer: issuer, ID: strings.ToLower(rand.Text()), Team: team}
}

// Encode returns the ticket and its proof, a signature with the secret of the fleet, as a
// string that is safe in URLs and header fields.
func (t Ticket) Encode(key secret.Key) string {
	fields := []string{
		string(t.Issuer),
		t.ID,
		encodeBase64([]byte(t.Team)),
		encodeBase64(key.Sign(ticketDomain, t.parts()...)),
	}
	return ticketPrefix + strings.Join(fields, ".")
}

// VerifyTicket decodes an idempotency key that a caller of the team sent and verifies
// its proof. An error is a *TicketError; its fault is NotATicket for a key that the
// caller chose.
func VerifyTicket(key secret.Key, text, team string) (Ticket, error) {
	body, ok := strings.CutPrefix(text, ticketPrefix)
	if !ok {
		return Ticket{}, &TicketError{Fault: NotATicket, Team: team}
	}
	ticket, proof, ok := parseTicket(body)
	switch {
	case !ok:
		return Ticket{}, &TicketError{Fault: Malformed, Team: team}
	case !key.Verify(proof, ticketDomain, ticket.parts()...):
		return Ticket{}, &TicketError{Fault: WrongProof, Team: team}
	case ticket.Team != team:
		return Ticket{}, &TicketError{Fault: OtherTeam, Team: team}
	}
	return ticket, nil
}

func parseTicket(body string) (ticket Ticket, proof []byte, ok bool) {
	fields := strings.Split(body, ".")
	if len(fields) != 4 || fields[0] == "" || fields[1] == "" {
		return Ticket{}, nil, false
	}
	team, teamErr := decodeBase64(fields[2])
	proof, proofErr := decodeBase64(fields[3])
	ticket = Ticket{Issuer: ident.Incarnation(fields[0]), ID: fields[1], Team: string(team)}
	return ticket, proof, teamErr == nil && proofErr == nil
}

func (t Ticket) parts() [][]byte {
	return [][]byte{[]byte(t.Issuer), []byte(t.ID), []byte(t.Team)}
}

func encodeBase64(value []byte) string {
	return base64.RawURLEncoding.EncodeToString(value)
}

func decodeBase64(text string) ([]byte, error) {
	return base64.RawURLEncoding.Strict().DecodeString(text)
}
