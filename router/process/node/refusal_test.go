package node_test

import (
	"context"
	"maps"
	"testing"

	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/router/process/node"
)

// Refusals of a used-up budget and of one whose credits a router cannot reach counted as the
// same.
func TestRefusalsAreCountedByTheStateOfTheAccount(t *testing.T) {
	router := newTestRouter(t, 1_000)
	refuse := func(amount int64) {
		t.Helper()
		if _, ok := router.credits.Reserve(context.Background(), "hall", amount); ok {
			t.Fatalf("request for %d: got served, want refused", amount)
		}
	}
	router.io.down = true
	refuse(10)
	router.io.down = false
	for range 3 {
		router.tick()
	}
	if _, ok := router.credits.Reserve(context.Background(), "hall", 10); !ok {
		t.Fatal("request with the store available: got refused, want served")
	}
	refuse(5_000)
	got := control.Query(router.thread, func(state *node.State) map[string]int64 { return state.Refusals.Totals() })
	if want := map[string]int64{"unread": 1, "remaining": 0, "exhausted": 1}; !maps.Equal(got, want) {
		t.Errorf("refusals: got %v, want %v", got, want)
	}
}
