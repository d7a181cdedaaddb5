package quota_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// refilling returns a holder whose demand asks for more than it holds.
func refilling(now time.Time) *quota.Manager[quota.DemandSpread] {
	book := idle(now, 0)
	holding := book.Allocation(budget)
	holding.Demand.Rate = 100
	holding.Demand.UpdatedAt, holding.Demand.StartedAt = now, now
	return book
}

// 59 processes that each drew on the store for themselves made 44,000 calls a day,
// and held what others lacked.
func TestHoldersWithABankerKeepNothingInStore(t *testing.T) {
	now := time.Unix(0, 0)
	book := refilling(now)
	book.SetPeers([]ident.Incarnation{"x", "bank"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"bank"}, DirectHolders: 1})
	if orders := book.Tick(now); len(orders.GrantRequests)+len(orders.TransferRequests) != 0 {
		t.Fatalf("orders without a request: got %+v, want none", orders)
	}
	orders := book.Request(budget, 400, now)
	if len(orders.TransferRequests) != 1 || orders.TransferRequests[0].To != "bank" || orders.TransferRequests[0].Need != 400 {
		t.Fatalf("pulls of a request: got %+v, want one of 400", orders.TransferRequests)
	}
	orders = book.HandleTransfer(quota.Transfer{Budget: budget, From: "bank", To: "a", Total: 400}, now)
	if got, want := book.Balances.Get(budget).Level().Available, int64(400); got != want {
		t.Errorf("available: got %d, want %d", got, want)
	}
	if len(orders.TransferAcks) != 1 {
		t.Errorf("receipts: got %d, want 1", len(orders.TransferAcks))
	}
}

// Holders that lost their bankers in a partition drew their shares all at once when
// the store was back, and kept two fifths of the largest budget from those that spend
// it (kowhai-remind-grown trouble-3, RECOVER). They draw what a request needs.
func TestHoldersDrawOnlyForRequestsWithoutTheirBanker(t *testing.T) {
	now := time.Unix(0, 0)
	book := refilling(now)
	book.SetPeers([]ident.Incarnation{"x"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"bank"}, DirectHolders: 1})
	if orders := book.Tick(now); len(orders.GrantRequests)+len(orders.TransferRequests) != 0 {
		t.Errorf("orders without a request: got %d draws and %d pulls, want none", len(orders.GrantRequests), len(orders.TransferRequests))
	}
	orders := book.Request(budget, 400, now)
	if len(orders.GrantRequests) != 1 || orders.GrantRequests[0].Target != 400 {
		t.Errorf("draws of a request: got %+v, want one of 400", orders.GrantRequests)
	}
}

// A request that waits turns to the store once the banker had time to answer.
func TestWaitingRequestsAskTheBankerThenTheStore(t *testing.T) {
	now := time.Unix(0, 0)
	book := idle(now, 0)
	book.SetPeers([]ident.Incarnation{"bank"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"bank"}, DirectHolders: 1})
	orders := book.Request(budget, 50, now)
	if len(orders.TransferRequests) != 1 || len(orders.GrantRequests) != 0 {
		t.Fatalf("orders: got %d pulls and %d draws, want one pull", len(orders.TransferRequests), len(orders.GrantRequests))
	}
	orders = book.Request(budget, 50, now.Add(quota.TransferRequestTimeout))
	if len(orders.GrantRequests) != 1 {
		t.Errorf("draws once the banker was silent: got %d, want 1", len(orders.GrantRequests))
	}
}

// A fifth of the callers stay with a weak machine that nobody sent them to. It kept
// nothing in store, and refused them for as long as a partition lasted
// (kmfta-ale-grown quiet-1).
func TestSteadyHoldersDrawThemselves(t *testing.T) {
	now := time.Unix(0, 0)
	book := refilling(now)
	book.SetPeers([]ident.Incarnation{"bank"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"bank"}, DirectHolders: 1})
	orders := book.Request(budget, 200, now)
	if len(orders.GrantRequests) != 1 || len(orders.TransferRequests) != 0 {
		t.Errorf("orders of a request: got %d draws and %d pulls, want one draw", len(orders.GrantRequests), len(orders.TransferRequests))
	}
	book.HandleAccount(budget, account.View{Found: true, Record: account.Holder{Granted: 200}, Remaining: 9_000}, now)
	book.Request(budget, 0, now)
	if orders := book.Tick(now); len(orders.GrantRequests) != 1 {
		t.Errorf("draws without a request: got %d, want 1", len(orders.GrantRequests))
	}
}

// The demand of those who refill at a banker is its own.
func TestBankersHoldForOthers(t *testing.T) {
	now := time.Unix(0, 0)
	book := idle(now, 1_000)
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

// What came from a banker is little: giving it back would only raise the banker's
// demand.
func TestSurplusFromABankerStays(t *testing.T) {
	now := time.Unix(0, 0)
	book := idle(now, 1_000)
	book.SetPeers([]ident.Incarnation{"bank"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"bank"}, DirectHolders: 1})
	if orders := book.Tick(now); len(orders.Refunds)+len(orders.Transfers) != 0 {
		t.Errorf("orders: got %+v, want none", orders)
	}
}

// A banker that has too little draws and then passes on what it owes, so that its
// peers need not turn to the store.
func TestBankersDrawForThoseThatWait(t *testing.T) {
	now := time.Unix(0, 0)
	book := idle(now, 0)
	book.SetPeers([]ident.Incarnation{"b"})
	book.SetSupply(quota.Supply{Supplies: true, DirectHolders: 1})
	orders := book.HandleTransferRequest(quota.TransferRequest{Budget: budget, From: "b", To: "a", Need: 300, Preferred: 300}, now)
	if len(orders.GrantRequests) != 1 || len(orders.Transfers) != 0 {
		t.Fatalf("orders: got %d draws and %d transfers, want one draw", len(orders.GrantRequests), len(orders.Transfers))
	}
	if got := orders.GrantRequests[0].Minimum; got < 300 {
		t.Errorf("least: got %d, want at least 300", got)
	}
	record := account.Holder{Granted: 1_000}
	orders = book.HandleAccount(budget, account.View{Found: true, Record: record, Remaining: 9_000}, now)
	if len(orders.Transfers) != 1 || orders.Transfers[0].Total != 300 {
		t.Errorf("transfers: got %+v, want a total of 300", orders.Transfers)
	}
}

// Records of processes that once drew for themselves must not make the shares of
// bankers smaller: 59 of them left each zone with next to nothing. A share goes by
// demand for the most part.
func TestBankersShareAmongThemselves(t *testing.T) {
	now := time.Unix(0, 0)
	book := refilling(now)
	others := make([]ident.Incarnation, 58)
	view := account.View{Found: true, Remaining: 250_000, OtherHolders: others, OtherDemand: 1_000}
	book.HandleAccount(budget, view, now)
	book.SetSupply(quota.Supply{Supplies: true, DirectHolders: 2})
	book.Allocation(budget).Demand.Rate = 1_000
	orders := book.Tick(now)
	if len(orders.GrantRequests) != 1 || orders.GrantRequests[0].MaxFraction*250_000 < 4_000 {
		t.Errorf("draws: got %+v, want one of two fifths of the holders' part", orders.GrantRequests)
	}
}

// A refund that began before a banker could be reached was never sent again, and its
// credits were nobody's.
func TestRefundGoesOnWithABanker(t *testing.T) {
	now := time.Unix(0, 0)
	book := idle(now, 1_000)
	total := book.Tick(now).Refunds[0].Total
	book.SetPeers([]ident.Incarnation{"bank"})
	book.SetSupply(quota.Supply{Suppliers: []ident.Incarnation{"bank"}, DirectHolders: 1})
	record := account.Holder{Granted: 1_000}
	book.HandleAccount(budget, account.View{Found: true, Record: record}, now)
	orders := book.Tick(now.Add(time.Second))
	if len(orders.Refunds) != 1 || orders.Refunds[0].Total != total {
		t.Errorf("refunds: got %+v, want the one before of %d", orders.Refunds, total)
	}
}
