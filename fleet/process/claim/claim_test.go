package claim_test

import (
	"context"
	"strings"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/store/memory"
)

var key = claim.Key{Team: "clerks", Key: "order 7"}

func want(request string) claim.Claim {
	id := ident.Request(request)
	return claim.Claim{Request: id, Holder: id.Incarnation(), Budget: "festival", Fingerprint: "same", Reserved: 5, Floor: 5}
}

func TestRelation(t *testing.T) {
	held := want("a-1")
	held.State = claim.Held
	finished := held.Finish(response.Response{Status: 200, Body: []byte("ok")})
	bound := held
	bound.ResponseAtHolder = true
	bound = bound.Finish(response.Response{Status: 200, Body: []byte("ok")})
	large := held.Finish(response.Response{Body: make([]byte, claim.MaxResponseBytes+1)})
	tests := []struct {
		name        string
		claim       claim.Claim
		request     string
		fingerprint string
		abandoned   bool
		want        claim.Relation
	}{
		{"own", held, "a-1", "same", false, claim.Owned},
		{"own, released", held.Release(), "a-1", "same", false, claim.Available},
		{"other content", held, "a-2", "other", false, claim.Mismatch},
		{"other content, released", held.Release(), "a-2", "other", false, claim.Mismatch},
		{"in progress", held, "a-2", "same", false, claim.AtHolder},
		{"abandoned", held, "a-2", "same", true, claim.Available},
		{"released", held.Release(), "a-2", "same", false, claim.Available},
		{"finished", finished, "a-2", "same", false, claim.ResponseStored},
		{"finished, listed as abandoned", finished, "a-2", "same", true, claim.ResponseStored},
		{"finished with a large response", large, "a-2", "same", false, claim.AtHolder},
		{"finished with a response that stays at the holder", bound, "a-2", "same", false, claim.AtHolder},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.claim.RelationTo(ident.Request(test.request), test.fingerprint, test.abandoned)
			if got != test.want {
				t.Errorf("relation: got %s, want %s", got, test.want)
			}
		})
	}
	if large.Run != journal.Ran || finished.Response == nil {
		t.Errorf("finished claims: got run %q and response %v", large.Run, finished.Response)
	}
}

// TestAcquireResolvesLostReplies guards against refusing a request that has acquired
// its claim: the write took effect but its reply was lost, which the client must find
// by reading.
func TestAcquireResolvesLostReplies(t *testing.T) {
	clk := clock.NewFake()
	for lost := range claim.MaxWriteAttempts {
		objects := memory.New(clk)
		client := claim.NewClient(clk, objects)
		objects.SetFaults(memory.Faults{LoseReplies: lost})
		snapshot, err := client.Acquire(t.Context(), key, want("a-1"))
		if err != nil || snapshot.Relation != claim.Owned {
			t.Errorf("%d replies lost: got %s, %v, want %s", lost, snapshot.Relation, err, claim.Owned)
		}
		if err := client.Finish(t.Context(), snapshot, response.Response{Status: 200}); err != nil {
			t.Errorf("%d replies lost: finish: got %v, want none", lost, err)
		}
	}
}

func TestOnlyTheHolderReleasesItsClaim(t *testing.T) {
	clk := clock.NewFake()
	objects := memory.New(clk)
	holder, other := claim.NewClient(clk, objects), claim.NewClient(clk, objects)
	held, _ := holder.Acquire(t.Context(), key, want("a-1"))
	found, err := other.Acquire(t.Context(), key, want("b-1"))
	if err != nil || found.Relation != claim.AtHolder || found.Claim.Holder != "a" {
		t.Fatalf("held claim: got %s by %s, %v, want %s by a", found.Relation, found.Claim.Holder, err, claim.AtHolder)
	}
	if err := holder.Release(t.Context(), held); err != nil {
		t.Fatalf("release: got %v, want none", err)
	}
	acquired, err := other.Acquire(t.Context(), key, want("b-2"))
	if err != nil || acquired.Relation != claim.Owned {
		t.Fatalf("released claim: got %s, %v, want %s", acquired.Relation, err, claim.Owned)
	}
	err = holder.Finish(t.Context(), held, response.Response{})
	var lost *claim.LostError
	if !errors.As(err, &lost) {
		t.Errorf("Finish by the former holder: got %v, want a LostError", err)
	}
}

// hookedStore is a store that calls afterGet once, between a read and the write that
// follows it.
type hookedStore struct {
	store.Store
	afterGet func()
}

func (s *hookedStore) Get(ctx context.Context, name string) (store.Object, error) {
	object, err := s.Store.Get(ctx, name)
	if hook := s.afterGet; hook != nil {
		s.afterGet = nil
		hook()
	}
	return object, err
}

// TestOneOfTwoWritersAcquires guards against two holders of one claim: another process
// acquires a released claim after this one has read it and before it writes.
func TestOneOfTwoWritersAcquires(t *testing.T) {
	clk := clock.NewFake()
	objects := memory.New(clk)
	first, other := claim.NewClient(clk, objects), claim.NewClient(clk, objects)
	held, _ := first.Acquire(t.Context(), key, want("a-1"))
	if err := first.Release(t.Context(), held); err != nil {
		t.Fatal(err)
	}
	var between claim.Snapshot
	slow := claim.NewClient(clk, &hookedStore{Store: objects, afterGet: func() {
		between, _ = other.Acquire(t.Context(), key, want("b-1"))
	}})
	late, err := slow.Acquire(t.Context(), key, want("c-1"))
	if err != nil || between.Relation != claim.Owned || late.Relation != claim.AtHolder {
		t.Errorf("writers: got %s and %s, %v, want %s and %s", between.Relation, late.Relation, err, claim.Owned, claim.AtHolder)
	}
}

func TestStoredForm(t *testing.T) {
	clk := clock.NewFake()
	objects := memory.New(clk)
	client := claim.NewClient(clk, objects)
	snapshot, _ := client.Acquire(t.Context(), key, want("a-1"))
	final := response.Response{Request: "a-1", Parts: [][]byte{[]byte("one"), []byte("two")}}
	if err := client.Finish(t.Context(), snapshot, final); err != nil {
		t.Fatal(err)
	}
	object, err := objects.Get(t.Context(), key.Name())
	if err != nil || !strings.HasPrefix(object.Name, "claim/clerks/") || len(object.Name) != len("claim/clerks/")+64 {
		t.Fatalf("object: got %q, %v", object.Name, err)
	}
	got, err := claim.Decode(object.Value)
	if err != nil || got.Response == nil || string(got.Response.Parts[1]) != "two" {
		t.Errorf("claim: got %+v, %v", got, err)
	}
	if got.Reserved != 5 || got.Floor != 5 || !got.Created.Equal(clk.Now()) || got.State != claim.Finished {
		t.Errorf("claim: got %+v", got)
	}
	if _, err := claim.Decode([]byte("{")); err == nil {
		t.Error("broken value: got no error")
	}
}
