package idempotency_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/request/idempotency"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/request/outcome"
)

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		inputs idempotency.Inputs
		want   idempotency.Step
	}{
		{"ticket of another process", idempotency.Inputs{Origin: idempotency.OriginPeer}, idempotency.StepForward},
		{"ticket of another process, forwarded", idempotency.Inputs{Origin: idempotency.OriginPeer, Forwarded: true}, idempotency.StepReportLost},
		{"unused ticket", idempotency.Inputs{Origin: idempotency.OriginSelf, Cache: idempotency.CacheMiss, Ticket: idempotency.TicketUnused}, idempotency.StepRun},
		{"ticket that ran and was evicted", idempotency.Inputs{Origin: idempotency.OriginSelf, Cache: idempotency.CacheMiss, Ticket: idempotency.TicketUsed}, idempotency.StepReportLost},
		{"too many tickets", idempotency.Inputs{Origin: idempotency.OriginSelf, Cache: idempotency.CacheMiss, Ticket: idempotency.TicketTableFull}, idempotency.StepRefuseTableFull},
		{"unused ticket while stopping", idempotency.Inputs{Origin: idempotency.OriginSelf, Cache: idempotency.CacheMiss, Ticket: idempotency.TicketUnused, Stopping: true}, idempotency.StepRefuseStopping},
		{"evicted ticket while stopping", idempotency.Inputs{Origin: idempotency.OriginSelf, Cache: idempotency.CacheMiss, Ticket: idempotency.TicketUsed, Stopping: true}, idempotency.StepReportLost},
		{"key while stopping", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: idempotency.ClaimUnread, Stopping: true}, idempotency.StepReportLost},
		{"ticket in the cache", idempotency.Inputs{Origin: idempotency.OriginSelf, Cache: idempotency.CacheMatch, Ticket: idempotency.TicketUsed}, idempotency.StepFollow},
		{"ticket with other content", idempotency.Inputs{Origin: idempotency.OriginSelf, Cache: idempotency.CacheMismatch, Ticket: idempotency.TicketUsed}, idempotency.StepRefuseConflict},
		{"unclaimed key", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: idempotency.ClaimUnread}, idempotency.StepClaim},
		{"claimed key", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: claim.Owned}, idempotency.StepRun},
		{"key of other content", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: claim.Mismatch}, idempotency.StepRefuseConflict},
		{"response in the claim", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: claim.ResponseStored}, idempotency.StepReplay},
		{"claim of another process", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: claim.AtHolder}, idempotency.StepForward},
		{"own claim, run evicted", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: claim.AtHolder, HolderIsSelf: true}, idempotency.StepReportLost},
		{"claim unconfirmed", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMiss, Claim: idempotency.ClaimUnconfirmed}, idempotency.StepRefuseUnconfirmed},
		{"key in the cache", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMatch}, idempotency.StepFollow},
		{"key in the cache, other content", idempotency.Inputs{Origin: idempotency.OriginCaller, Cache: idempotency.CacheMismatch}, idempotency.StepRefuseConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := idempotency.Decide(test.inputs); got != test.want {
				t.Errorf("step: got %s, want %s", got, test.want)
			}
		})
	}
}

func TestCheckKey(t *testing.T) {
	tests := []struct {
		key string
		ok  bool
	}{
		{"order 7", true},
		{strings.Repeat("k", idempotency.MaxKeyBytes), true},
		{strings.Repeat("k", idempotency.MaxKeyBytes+1), false},
		{"", false},
		{"line\nbreak", false},
		{"kōwhai", false},
	}
	for _, test := range tests {
		err := idempotency.CheckKey(test.key)
		var typed *outcome.Error
		refused := errors.As(err, &typed) && typed.Code == outcome.BadRequest
		if got := !refused; got != test.ok {
			t.Errorf("key %q: got %v, want ok %t", test.key, err, test.ok)
		}
	}
}

func TestTickets(t *testing.T) {
	key := secret.Key("fleet secret")
	text := locate.IssueTicket("r0", "clerks").Encode(key)
	tests := []struct {
		name   string
		key    claim.Key
		issuer ident.Incarnation
		issued bool
		failed bool
	}{
		{"ticket", claim.Key{Team: "clerks", Key: text}, "r0", true, false},
		{"ticket of another team", claim.Key{Team: "brewers", Key: text}, "", true, true},
		{"altered ticket", claim.Key{Team: "clerks", Key: text + "x"}, "", true, true},
		{"key of the caller", claim.Key{Team: "clerks", Key: "order 7"}, "", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			issuer, issued, err := idempotency.SecretVerifier{Secret: key}.IssuerOf(test.key)
			if issuer != test.issuer || issued != test.issued || (err != nil) != test.failed {
				t.Errorf("issued: got %q, %t, %v, want %q, %t, failed %t", issuer, issued, err, test.issuer, test.issued, test.failed)
			}
		})
	}
}

func TestFingerprintSeparatesParts(t *testing.T) {
	first := idempotency.Fingerprint("POST", "/a", []byte("b"))
	for _, other := range []string{
		idempotency.Fingerprint("POST", "/ab", nil),
		idempotency.Fingerprint("PUT", "/a", []byte("b")),
		idempotency.Fingerprint("POST", "/a", []byte("c")),
	} {
		if other == first {
			t.Errorf("fingerprint: got %s twice", other)
		}
	}
}
