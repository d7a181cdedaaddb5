package locate_test

import (
	"net/url"
	"strings"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/request/locate"
)

var secret = []byte("the secret of the fleet")

func TestTicketNamesItsIssuer(t *testing.T) {
	issuer := ident.NewIncarnation()
	issued := locate.IssueTicket(issuer, "Kōwhai vans")
	key := issued.Encode(secret)
	if got := url.QueryEscape(key); got != key {
		t.Errorf("escaped: got %s, want %s", got, key)
	}
	got, err := locate.VerifyTicket(secret, key, "Kōwhai vans")
	if err != nil || got != issued {
		t.Errorf("verify: got %+v and %v, want %+v", got, err, issued)
	}
	if again := locate.IssueTicket(issuer, "Kōwhai vans"); again == issued {
		t.Errorf("second ticket: got %+v, want another", again)
	}
}

func TestVerifyTicketRefusesInvalidKeys(t *testing.T) {
	issued := locate.IssueTicket(ident.NewIncarnation(), "brewers")
	key := issued.Encode(secret)
	other := locate.Ticket{Issuer: ident.NewIncarnation(), ID: issued.ID, Team: issued.Team}
	moved := locate.Ticket{Issuer: issued.Issuer, ID: issued.ID, Team: "clerks"}
	body := func(key string) string { return key[:strings.LastIndex(key, ".")] }
	proof := key[strings.LastIndex(key, "."):]
	tests := []struct {
		name string
		key  string
		team string
		want locate.TicketFault
	}{
		{"key chosen by the caller", "order-17", "brewers", locate.NotATicket},
		{"empty", "", "brewers", locate.NotATicket},
		{"other team", key, "clerks", locate.OtherTeam},
		{"other secret", issued.Encode([]byte("guess")), "brewers", locate.WrongProof},
		{"other issuer", body(other.Encode(secret)) + proof, "brewers", locate.WrongProof},
		{"changed team", body(moved.Encode(secret)) + proof, "clerks", locate.WrongProof},
		{"no proof", body(key) + ".", "brewers", locate.WrongProof},
		{"truncated", body(key), "brewers", locate.Malformed},
		{"additional field", key + ".x", "brewers", locate.Malformed},
		{"invalid base64", body(key) + ".*", "brewers", locate.Malformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := locate.VerifyTicket(secret, test.key, test.team)
			var refused *locate.TicketError
			if !errors.As(err, &refused) {
				t.Fatalf("error: got %v, want a *TicketError", err)
			}
			if refused.Fault != test.want {
				t.Errorf("fault: got %s, want %s", refused.Fault, test.want)
			}
		})
	}
}
