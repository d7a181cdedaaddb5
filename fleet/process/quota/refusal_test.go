package quota_test

import (
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// An operator could not tell a used-up budget from one whose credits a router did not get:
// 3,668 refusals of a budget of which nine tenths were left looked like any others.
func TestRefusalTellsWhereTheCreditsAre(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 0)
	manager.SetPeers([]ident.Incarnation{"supplier"})
	manager.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	manager.Request(budget, 400, now)
	later := now.Add(quota.TransferRequestTimeout)
	if actions := manager.Request(budget, 400, later); len(actions.GrantRequests) != 1 {
		t.Fatalf("grant requests after the timeout: got %d, want 1", len(actions.GrantRequests))
	}
	manager.HandleStoreFailure(budget, later)
	if manager.Searching(budget) {
		t.Fatal("searching after the store and the supplier failed: got true, want false")
	}
	manager.AddRefused(budget, 300)
	manager.AddRefused(budget, 100)
	got, ok := manager.Explain(budget, later)
	if !ok {
		t.Fatal("explained: got false, want true")
	}
	if got.Count != 2 || got.Need != 400 || got.Remaining != 10_000 || got.Age != quota.TransferRequestTimeout {
		t.Errorf("count, need, remaining, age: got %d, %d, %d, %s, want 2, 400, 10000, %s", got.Count, got.Need, got.Remaining, got.Age, quota.TransferRequestTimeout)
	}
	if got.Store != quota.StoreFailed || !got.Supplied || !slices.Equal(got.Peers, []string{"supplier=timeout"}) {
		t.Errorf("store, supplied, peers: got %s, %t, %v, want failed, true, supplier=timeout", got.Store, got.Supplied, got.Peers)
	}
	if _, ok := manager.Explain(budget, later); ok {
		t.Error("explained again without another search: got true, want false")
	}
}

// Each request that is refused during the search back-off comes back at once. Counted as
// demand, they raised that of a router to three times what it could spend, and it took 7.1
// of 16.1 million credits of a budget (galeria-nupcial-grown scale-1).
func TestRefusalsDuringTheBackOffAreNoDemand(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 0)
	manager.Tick(now)
	manager.HandleStoreFailure(budget, now)
	manager.Request(budget, 400, now)
	manager.AddRefused(budget, 400)
	for range 100 {
		manager.Request(budget, 400, now)
		manager.AddRefused(budget, 400)
	}
	if got, want := manager.Allocation(budget).RefusedCredits, int64(400); got != want {
		t.Errorf("refused credits: got %d, want %d", got, want)
	}
}
