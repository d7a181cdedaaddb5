package frontend_test

import (
	"runtime"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/journal"
)

// The store may be in any region. The response to a request with homes is available from its
// holder only.
func TestResponsesOfHomeBoundRequestsAreNotStored(t *testing.T) {
	tests := []struct {
		path   string
		stored bool
	}{
		{"/services/desk/redeem", true},
		{"/services/bound/redeem", false},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			fleet := newTestFleet(t)
			fleet.check(t, 0, call{path: test.path, key: "a", status: 200, run: journal.Ran, want: "redeemed 1", runs: 1})
			fleet.check(t, 1, call{path: test.path, key: "a", router: 1, status: 200, run: journal.Ran, want: "redeemed 1", runs: 1})
			for fleet.handlers[0].Executor.InProgress() > 0 {
				runtime.Gosched()
			}
			changes, err := fleet.objects.List(t.Context(), claim.Prefix)
			if err != nil || len(changes) != 1 {
				t.Fatalf("claims: got %d and %v, want 1", len(changes), err)
			}
			object, err := fleet.objects.Get(t.Context(), changes[0].Name)
			if err != nil {
				t.Fatal(err)
			}
			stored, err := claim.Decode(object.Value)
			if err != nil || stored.State != claim.Finished {
				t.Fatalf("claim: got %s, %v, want %s", stored.State, err, claim.Finished)
			}
			if got := stored.Response != nil; got != test.stored {
				t.Errorf("response in the store: got %t, want %t", got, test.stored)
			}
			if got := strings.Contains(string(object.Value), "answer_at_holder"); got == test.stored {
				t.Errorf("mark of the claim: got %t, want %t", got, !test.stored)
			}
		})
	}
}
