package quota_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// holderWithDemand returns a holder whose demand requires more credits than it holds.
func holderWithDemand(now time.Time) *quota.Manager[quota.DemandSpread] {
	manager := idleManager(now, 0)
	allocation := manager.Allocation(budget)
	allocation.Demand.Rate = 100
	allocation.Demand.UpdatedAt, allocation.Demand.StartedAt = now, now
	return manager
}

// 59 processes that each requested grants themselves made 44,000 store calls a day and
// held credits that other processes lacked.
func TestSuppliedHoldersKeepNoReserve(t *testing.T) {
	now := time.Unix(0, 0)
	manager := holderWithDemand(now)
	manager.SetPeers([]ident.Incarnation{"x", "supplier"})
	manager.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	if actions := manager.Tick(now); len(actions.GrantRequests)+len(actions.TransferRequests) != 0 {
		t.Fatalf("actions without a request: got %+v, want none", actions)
	}
	actions := manager.Request(budget, 400, now)
	if len(actions.TransferRequests) != 1 || actions.TransferRequests[0].To != "supplier" || actions.TransferRequests[0].Need != 400 {
		t.Fatalf("transfer requests of a request: got %+v, want one of 400", actions.TransferRequests)
	}
	actions = manager.HandleTransfer(quota.Transfer{Budget: budget, From: "supplier", To: "a", Total: 400}, now)
	if got, want := manager.Balances.Get(budget).Level().Available, int64(400); got != want {
		t.Errorf("available: got %d, want %d", got, want)
	}
	if len(actions.TransferAcks) != 1 {
		t.Errorf("transfer acks: got %d, want 1", len(actions.TransferAcks))
	}
}

// In a partition holders without a reachable supplier requested their whole shares at
// the same time once the store was available again, and kept two fifths of the largest
// budget from the holders that spent it (kowhai-remind-grown trouble-3, RECOVER). They
// request only what waiting requests need.
func TestSuppliedHoldersRequestGrantsOnlyForRequests(t *testing.T) {
	now := time.Unix(0, 0)
	manager := holderWithDemand(now)
	manager.SetPeers([]ident.Incarnation{"x"})
	manager.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	if actions := manager.Tick(now); len(actions.GrantRequests)+len(actions.TransferRequests) != 0 {
		t.Errorf("actions without a request: got %d grant requests and %d transfer requests, want none", len(actions.GrantRequests), len(actions.TransferRequests))
	}
	actions := manager.Request(budget, 400, now)
	if len(actions.GrantRequests) != 1 || actions.GrantRequests[0].Target != 400 {
		t.Errorf("grant requests of a request: got %+v, want one of 400", actions.GrantRequests)
	}
}

// A waiting request leads to a grant request once the supplier had time to reply.
func TestRequestsTryTheSupplierThenTheStore(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 0)
	manager.SetPeers([]ident.Incarnation{"supplier"})
	manager.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	actions := manager.Request(budget, 50, now)
	if len(actions.TransferRequests) != 1 || len(actions.GrantRequests) != 0 {
		t.Fatalf("actions: got %d transfer requests and %d grant requests, want one transfer request", len(actions.TransferRequests), len(actions.GrantRequests))
	}
	actions = manager.Request(budget, 50, now.Add(quota.TransferRequestTimeout))
	if len(actions.GrantRequests) != 1 {
		t.Errorf("grant requests after the timeout of the supplier: got %d, want 1", len(actions.GrantRequests))
	}
}

// A fifth of the callers keep using a weak machine to which they were not directed. As
// a supplied holder it kept no reserve and refused their requests for the whole of a
// partition (kmfta-ale-grown quiet-1). When it requested grants itself, its updates of the
// account page lost to those of faster machines for 5 s, and it refused 1,453 requests of a
// budget of which nine tenths were left (galeria-nupcial-grown scale-1).
func TestHoldersWithSteadyDemandRefillAtTheSupplier(t *testing.T) {
	now := time.Unix(0, 0)
	manager := holderWithDemand(now)
	manager.SetPeers([]ident.Incarnation{"supplier"})
	manager.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	actions := manager.Request(budget, 200, now)
	if len(actions.TransferRequests) != 1 || actions.TransferRequests[0].Need != 200 || len(actions.GrantRequests) != 0 {
		t.Errorf("actions of a request: got %+v, want one transfer request of 200", actions)
	}
	known := &quota.AccountSummary{Remaining: 9_000, Demand: 200}
	manager.HandleTransfer(quota.Transfer{Budget: budget, From: "supplier", To: "a", Total: 200, Account: known}, now)
	manager.Request(budget, 0, now)
	manager.Balances.Get(budget).Reserve(200)
	actions = manager.Tick(now)
	if len(actions.TransferRequests) != 1 || actions.TransferRequests[0].Reserve == 0 || len(actions.GrantRequests) != 0 {
		t.Fatalf("actions without a request: got %+v, want one transfer request for a reserve", actions)
	}
	// The store serves requests while the supplier is not reachable.
	manager.SetPeers(nil)
	if actions := manager.Request(budget, 200, now); len(actions.GrantRequests) != 1 {
		t.Errorf("grant requests without a supplier: got %d, want 1", len(actions.GrantRequests))
	}
}

// Credits that a supplier sends to its peers count as demand of the supplier.
func TestSuppliersHoldForOthers(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 1_000)
	manager.SetPeers([]ident.Incarnation{"b"})
	manager.SetSupply(quota.Supply{Supplies: true, DirectHolders: 1})
	manager.Allocation(budget).Demand = quota.Demand{Window: time.Second, Rate: 60, StartedAt: now, UpdatedAt: now}
	manager.Tick(now)
	manager.HandleTransferRequest(quota.TransferRequest{Budget: budget, From: "b", To: "a", ShareLimit: 600, Demand: 60}, now)
	later := now.Add(time.Second)
	manager.HandleAccount(budget, account.View{Found: true, Record: account.Holder{Granted: 1_000}, Remaining: 9_000}, later)
	manager.Tick(later)
	if got := manager.Allocation(budget).Demand.Rate; got < 100 {
		t.Errorf("demand: got %.0f a second, want at least 100 with that of the peer", got)
	}
}

// Credits from a supplier are few: a refund would only raise the demand at the
// supplier.
func TestSurplusFromASupplierStays(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 1_000)
	manager.SetPeers([]ident.Incarnation{"supplier"})
	manager.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	if actions := manager.Tick(now); len(actions.Refunds)+len(actions.Transfers) != 0 {
		t.Errorf("actions: got %+v, want none", actions)
	}
}

// A supplier with too few credits requests a grant and then sends the pending
// transfers, so that its peers need not call the store.
func TestSuppliersRequestGrantsForPeers(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 0)
	manager.SetPeers([]ident.Incarnation{"b"})
	manager.SetSupply(quota.Supply{Supplies: true, DirectHolders: 1})
	actions := manager.HandleTransferRequest(quota.TransferRequest{Budget: budget, From: "b", To: "a", Need: 300, ShareLimit: 300}, now)
	if len(actions.GrantRequests) != 1 || len(actions.Transfers) != 0 {
		t.Fatalf("actions: got %d grant requests and %d transfers, want one grant request", len(actions.GrantRequests), len(actions.Transfers))
	}
	if got := actions.GrantRequests[0].Minimum; got < 300 {
		t.Errorf("minimum: got %d, want at least 300", got)
	}
	record := account.Holder{Granted: 1_000}
	actions = manager.HandleAccount(budget, account.View{Found: true, Record: record, Remaining: 9_000}, now)
	if len(actions.Transfers) != 1 || actions.Transfers[0].Total != 300 {
		t.Errorf("transfers: got %+v, want a total of 300", actions.Transfers)
	}
}

// Records of processes that requested grants themselves earlier must not reduce the
// shares of suppliers: 59 of them left each availability zone with almost no credits.
// Shares depend mostly on demand.
func TestSuppliersShareAmongThemselves(t *testing.T) {
	now := time.Unix(0, 0)
	manager := holderWithDemand(now)
	others := make([]ident.Incarnation, 58)
	view := account.View{Found: true, Remaining: 250_000, OtherHolders: others, OtherDemand: 1_000}
	manager.HandleAccount(budget, view, now)
	manager.SetSupply(quota.Supply{Supplies: true, DirectHolders: 2})
	manager.Allocation(budget).Demand.Rate = 1_000
	actions := manager.Tick(now)
	if len(actions.GrantRequests) != 1 || actions.GrantRequests[0].MaxFraction*250_000 < 4_000 {
		t.Errorf("grant requests: got %+v, want one that allows at least 4000 credits, two fifths of what all holders keep", actions.GrantRequests)
	}
}

// A refund that began before a supplier became reachable was never sent again, and its
// credits were lost.
func TestRefundContinuesWithASupplier(t *testing.T) {
	now := time.Unix(0, 0)
	manager := idleManager(now, 1_000)
	total := manager.Tick(now).Refunds[0].Total
	manager.SetPeers([]ident.Incarnation{"supplier"})
	manager.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	record := account.Holder{Granted: 1_000}
	manager.HandleAccount(budget, account.View{Found: true, Record: record}, now)
	actions := manager.Tick(now.Add(time.Second))
	if len(actions.Refunds) != 1 || actions.Refunds[0].Total != total {
		t.Errorf("refunds: got %+v, want the one before of %d", actions.Refunds, total)
	}
}
