package quota_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/quota"
)

// idleManager returns a manager whose holder has the credits and no demand.
func idleManager(now time.Time, credits int64) *quota.Manager[quota.DemandSpread] {
	policy := quota.DemandSpread{Horizon: 10 * time.Second, Share: 0.04, Holders: 1, Refill: 0.9}
	manager := quota.New("a", policy, &quota.Balances{})
	manager.SetPurchased(budget, 10_000)
	record := account.Holder{Granted: credits}
	manager.HandleAccount(budget, account.View{Found: true, Record: record, Remaining: 10_000 - credits}, now)
	return manager
}

// A process whose demand has ended must not keep credits that others could spend and
// that a crash would lose.
func TestSurplusIsRefunded(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 1_000)
	manager.Allocation(budget).Demand.Rate = 20
	manager.Allocation(budget).Demand.UpdatedAt = now
	actions := manager.Tick(now)
	if got, want := len(actions.Refunds), 1; got != want {
		t.Fatalf("refunds: got %d, want %d", got, want)
	}
	if got, want := actions.Refunds[0].Total, int64(800); got != want {
		t.Errorf("refunded: got %d, want %d", got, want)
	}
	if got, want := manager.Balances.Get(budget).Level().Available, int64(200); got != want {
		t.Errorf("available: got %d, want %d", got, want)
	}
}

func TestRefundIsRepeatedUntilStored(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 1_000)
	total := manager.Tick(now).Refunds[0].Total
	manager.HandleStoreFailure(budget, now)
	later := now.Add(quota.MaxStoreBackoff)
	actions := manager.Tick(later)
	if len(actions.GrantRequests) > 0 {
		// A failed call may have granted credits, so that the record is read first.
		manager.HandleAccount(budget, account.View{Found: true, Record: account.Holder{Granted: 1_000}, Remaining: 9_000}, later)
		actions = manager.Tick(later)
	}
	if len(actions.Refunds) != 1 || actions.Refunds[0].Total != total {
		t.Fatalf("refunds after a failure: got %+v, want a total of %d", actions.Refunds, total)
	}
	record := account.Holder{Granted: 1_000, Returned: total}
	manager.HandleAccount(budget, account.View{Found: true, Record: record, Remaining: 9_000}, later)
	if got := manager.Tick(later.Add(time.Second)).Refunds; len(got) != 0 {
		t.Errorf("refunds once stored: got %+v, want none", got)
	}
}

func TestSurplusWithWitnessesStays(t *testing.T) {
	policy := quota.NewDemandShrinking(8)
	if got := policy.Surplus(quota.SizingInput{Held: 1_000}); got != 0 {
		t.Errorf("surplus: got %d, want 0", got)
	}
}

// After a long outage the store back-off delayed the next call by up to 16 s, although
// the store was available again.
func TestStoreRecoveryEndsTheBackoff(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 0)
	for range 6 {
		manager.HandleStoreFailure(budget, now)
	}
	manager.Request(budget, 100, now)
	if got := len(manager.Tick(now.Add(time.Second)).GrantRequests); got != 0 {
		t.Fatalf("grant requests while the store is unavailable: got %d, want 0", got)
	}
	manager.HandleStoreRecovery()
	if got := len(manager.Request(budget, 100, now.Add(2*time.Second)).GrantRequests); got != 1 {
		t.Errorf("grant requests once it is available again: got %d, want 1", got)
	}
}

// Each request for a budget that was used up caused a store call: 9,000 of 12,000
// calls in a load test (kowhai-remind-grown trouble-3).
func TestEmptyAccountIsNotQueriedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 0)
	manager.ObserveAccount(budget, account.View{Found: true, Remaining: 0}, now)
	if actions := manager.Request(budget, 100, now.Add(time.Second/2)); len(actions.GrantRequests) != 0 {
		t.Errorf("grant requests to an empty account: got %d, want 0", len(actions.GrantRequests))
	}
	if manager.Searching(budget) {
		t.Error("request: got waiting, want refused because no other holder can have credits")
	}
	later := now.Add(quota.MinSearchBackoff + quota.EmptyAccountDelay)
	if actions := manager.Request(budget, 100, later); len(actions.GrantRequests) != 1 {
		t.Errorf("grant requests after the delay: got %d, want 1", len(actions.GrantRequests))
	}
}

// Reading an account along with others of its page shows that it has credits again.
func TestObservedCreditsAreRequested(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 0)
	manager.ObserveAccount(budget, account.View{Found: true, Remaining: 0}, now)
	manager.ObserveAccount(budget, account.View{Found: true, Remaining: 5_000}, now.Add(time.Second/2))
	if actions := manager.Request(budget, 100, now.Add(time.Second/2)); len(actions.GrantRequests) != 1 {
		t.Errorf("grant requests after a refund by others: got %d, want 1", len(actions.GrantRequests))
	}
}
