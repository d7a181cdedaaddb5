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
	book := idleManager(now, 0)
	holding := book.Allocation(budget)
	holding.Demand.Rate = 100
	holding.Demand.UpdatedAt, holding.Demand.StartedAt = now, now
	return book
}

// 59 processes that each took grants themselves made 44,000 store calls a day and held
// credits that other processes lacked.
func TestSuppliedHoldersKeepNoReserve(t *testing.T) {
	now := time.Unix(0, 0)
	book := holderWithDemand(now)
	book.SetPeers([]ident.Incarnation{"x", "supplier"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	if orders := book.Tick(now); len(orders.GrantRequests)+len(orders.TransferRequests) != 0 {
		t.Fatalf("actions without a request: got %+v, want none", orders)
	}
	orders := book.Request(budget, 400, now)
	if len(orders.TransferRequests) != 1 || orders.TransferRequests[0].To != "supplier" || orders.TransferRequests[0].Need != 400 {
		t.Fatalf("transfer requests of a request: got %+v, want one of 400", orders.TransferRequests)
	}
	orders = book.HandleTransfer(quota.Transfer{Budget: budget, From: "supplier", To: "a", Total: 400}, now)
	if got, want := book.Balances.Get(budget).Level().Available, int64(400); got != want {
		t.Errorf("available: got %d, want %d", got, want)
	}
	if len(orders.TransferAcks) != 1 {
		t.Errorf("transfer acks: got %d, want 1", len(orders.TransferAcks))
	}
}

// In a partition holders without a reachable supplier requested their whole shares at
// the same time once the store was available again, and kept two fifths of the largest
// budget from the holders that spent it. They request only what waiting requests need.
func TestSuppliedHoldersTakeGrantsOnlyForRequests(t *testing.T) {
	now := time.Unix(0, 0)
	book := holderWithDemand(now)
	book.SetPeers([]ident.Incarnation{"x"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	if orders := book.Tick(now); len(orders.GrantRequests)+len(orders.TransferRequests) != 0 {
		t.Errorf("actions without a request: got %d grant requests and %d transfer requests, want none", len(orders.GrantRequests), len(orders.TransferRequests))
	}
	orders := book.Request(budget, 400, now)
	if len(orders.GrantRequests) != 1 || orders.GrantRequests[0].Target != 400 {
		t.Errorf("grant requests of a request: got %+v, want one of 400", orders.GrantRequests)
	}
}

// A waiting request leads to a grant request once the supplier had time to reply.
func TestRequestsTryTheSupplierThenTheStore(t *testing.T) {
	now := time.Unix(0, 0)
	book := idleManager(now, 0)
	book.SetPeers([]ident.Incarnation{"supplier"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	orders := book.Request(budget, 50, now)
	if len(orders.TransferRequests) != 1 || len(orders.GrantRequests) != 0 {
		t.Fatalf("actions: got %d transfer requests and %d grant requests, want one transfer request", len(orders.TransferRequests), len(orders.GrantRequests))
	}
	orders = book.Request(budget, 50, now.Add(quota.TransferRequestTimeout))
	if len(orders.GrantRequests) != 1 {
		t.Errorf("grant requests after the timeout of the supplier: got %d, want 1", len(orders.GrantRequests))
	}
}

// A fifth of the callers keep using a weak machine to which they were not directed. As
// a supplied holder it kept no reserve and refused their requests for the whole of a
// partition.
func TestHoldersWithSteadyDemandTakeGrants(t *testing.T) {
	now := time.Unix(0, 0)
	book := holderWithDemand(now)
	book.SetPeers([]ident.Incarnation{"supplier"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	orders := book.Request(budget, 200, now)
	if len(orders.GrantRequests) != 1 || len(orders.TransferRequests) != 0 {
		t.Errorf("actions of a request: got %d grant requests and %d transfer requests, want one grant request", len(orders.GrantRequests), len(orders.TransferRequests))
	}
	book.HandleAccount(budget, account.View{Found: true, Record: account.Holder{Granted: 200}, Remaining: 9_000}, now)
	book.Request(budget, 0, now)
	if orders := book.Tick(now); len(orders.GrantRequests) != 1 {
		t.Errorf("grant requests without a request: got %d, want 1", len(orders.GrantRequests))
	}
}

// Credits sent to peers that refill at a supplier count as its own demand.
func TestSuppliersHoldForOthers(t *testing.T) {
	now := time.Unix(0, 0)
	book := idleManager(now, 1_000)
	book.SetPeers([]ident.Incarnation{"b"})
	book.SetSupply(quota.Supply{Supplies: true, DirectHolders: 1})
	book.Allocation(budget).Demand = quota.Demand{Window: time.Second, Rate: 60, StartedAt: now, UpdatedAt: now}
	book.Tick(now)
	book.HandleTransferRequest(quota.TransferRequest{Budget: budget, From: "b", To: "a", Preferred: 600, Demand: 60}, now)
	later := now.Add(time.Second)
	book.HandleAccount(budget, account.View{Found: true, Record: account.Holder{Granted: 1_000}, Remaining: 9_000}, later)
	book.Tick(later)
	if got := book.Allocation(budget).Demand.Rate; got < 100 {
		t.Errorf("demand: got %.0f a second, want that of the peer in it", got)
	}
}

// Credits from a supplier are few: a refund would only raise the demand at the
// supplier.
func TestSurplusFromASupplierStays(t *testing.T) {
	now := time.Unix(0, 0)
	book := idleManager(now, 1_000)
	book.SetPeers([]ident.Incarnation{"supplier"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	if orders := book.Tick(now); len(orders.Refunds)+len(orders.Transfers) != 0 {
		t.Errorf("actions: got %+v, want none", orders)
	}
}

// A supplier with too few credits requests a grant and then sends the pending
// transfers, so that its peers need not call the store.
func TestSuppliersRequestGrantsForPeers(t *testing.T) {
	now := time.Unix(0, 0)
	book := idleManager(now, 0)
	book.SetPeers([]ident.Incarnation{"b"})
	book.SetSupply(quota.Supply{Supplies: true, DirectHolders: 1})
	orders := book.HandleTransferRequest(quota.TransferRequest{Budget: budget, From: "b", To: "a", Need: 300, Preferred: 300}, now)
	if len(orders.GrantRequests) != 1 || len(orders.Transfers) != 0 {
		t.Fatalf("actions: got %d grant requests and %d transfers, want one grant request", len(orders.GrantRequests), len(orders.Transfers))
	}
	if got := orders.GrantRequests[0].Minimum; got < 300 {
		t.Errorf("minimum: got %d, want at least 300", got)
	}
	record := account.Holder{Granted: 1_000}
	orders = book.HandleAccount(budget, account.View{Found: true, Record: record, Remaining: 9_000}, now)
	if len(orders.Transfers) != 1 || orders.Transfers[0].Total != 300 {
		t.Errorf("transfers: got %+v, want a total of 300", orders.Transfers)
	}
}

// Records of processes that took grants themselves earlier must not reduce the shares
// of suppliers: 59 of them left each availability zone with almost no credits. Shares
// depend mostly on demand.
func TestSuppliersShareAmongThemselves(t *testing.T) {
	now := time.Unix(0, 0)
	book := holderWithDemand(now)
	others := make([]ident.Incarnation, 58)
	view := account.View{Found: true, Remaining: 250_000, OtherHolders: others, OtherDemand: 1_000}
	book.HandleAccount(budget, view, now)
	book.SetSupply(quota.Supply{Supplies: true, DirectHolders: 2})
	book.Allocation(budget).Demand.Rate = 1_000
	orders := book.Tick(now)
	if len(orders.GrantRequests) != 1 || orders.GrantRequests[0].MaxFraction*250_000 < 4_000 {
		t.Errorf("grant requests: got %+v, want one of two fifths of the holders' part", orders.GrantRequests)
	}
}

// A refund that began before a supplier became reachable was never sent again, and its
// credits were lost.
func TestRefundContinuesWithASupplier(t *testing.T) {
	now := time.Unix(0, 0)
	book := idleManager(now, 1_000)
	total := book.Tick(now).Refunds[0].Total
	book.SetPeers([]ident.Incarnation{"supplier"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"supplier"}, DirectHolders: 1})
	record := account.Holder{Granted: 1_000}
	book.HandleAccount(budget, account.View{Found: true, Record: record}, now)
	orders := book.Tick(now.Add(time.Second))
	if len(orders.Refunds) != 1 || orders.Refunds[0].Total != total {
		t.Errorf("refunds: got %+v, want the one before of %d", orders.Refunds, total)
	}
}
