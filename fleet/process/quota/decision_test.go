package quota_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// nodeWithCredits returns a running node with the credits granted and available in its
// balance.
func nodeWithCredits(t *testing.T, credits int64) (*cluster, *node) {
	t.Helper()
	c := newCluster(4, 10_000, quota.DemandHorizon{Horizon: time.Hour, Ready: time.Minute})
	n := c.nodes[1]
	c.execute(n, n.manager.Request(budget, credits, c.now))
	c.deliverAll()
	c.execute(n, n.manager.Request(budget, 0, c.now))
	if got := n.balance.Level().Available; got != credits {
		t.Fatalf("available: got %d, want %d", got, credits)
	}
	return c, n
}

func TestTransferAmounts(t *testing.T) {
	tests := []struct {
		name      string
		from      ident.Incarnation
		own       int64
		ownDemand float64
		request   quota.TransferRequest
		want      int64
	}{
		{"idle holder sends the share limit", "a", 0, 0, quota.TransferRequest{Need: 100, ShareLimit: 600}, 600},
		{"idle holder sends no more than it has", "a", 0, 0, quota.TransferRequest{Need: 100, ShareLimit: 6_000}, 1_000},
		{"share by demand", "a", 0, 30, quota.TransferRequest{Need: 100, ShareLimit: 6_000, Demand: 10}, 250},
		{"need beyond the share", "a", 0, 30, quota.TransferRequest{Need: 800, ShareLimit: 800, Demand: 10}, 800},
		{"smaller need than its own", "a", 2_000, 0, quota.TransferRequest{Need: 100, ShareLimit: 600}, 0},
		{"greater need than its own", "a", 2_000, 0, quota.TransferRequest{Need: 2_500, ShareLimit: 2_500}, 1_000},
		{"equal need, earlier name", "a", 2_000, 0, quota.TransferRequest{Need: 2_000, ShareLimit: 2_000}, 1_000},
		{"equal need, later name", "c", 2_000, 0, quota.TransferRequest{Need: 2_000, ShareLimit: 2_000}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, n := nodeWithCredits(t, 1_000)
			n.manager.Allocation(budget).Demand.Rate = test.ownDemand
			n.manager.Allocation(budget).OtherHolders = []ident.Incarnation{"a", "c"}
			n.manager.HandleStoreFailure(budget, c.now)
			n.manager.Request(budget, test.own, c.now)
			request := test.request
			request.Budget, request.From, request.To = budget, test.from, n.id
			actions := n.manager.HandleTransferRequest(request, c.now)
			if len(actions.Transfers) != 1 {
				t.Fatalf("transfers: got %d, want 1", len(actions.Transfers))
			}
			if got := actions.Transfers[0].Total; got != test.want {
				t.Errorf("total: got %d, want %d", got, test.want)
			}
		})
	}
}

func TestCloseReturnsOrHandsOverEverything(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		c, n := nodeWithCredits(t, 1_000)
		if unavailable {
			n.manager.HandleStoreFailure(budget, c.now)
		}
		c.execute(n, n.manager.Close(budget, c.now))
		c.deliverAll()
		successor := c.nodes[0].balance.Level().Available
		outstanding := c.page().Accounts[budget].Outstanding()
		if unavailable && (successor != 1_000 || outstanding != 1_000) {
			t.Errorf("store unavailable: got successor %d, outstanding %d, want 1000, 1000", successor, outstanding)
		}
		if !unavailable && (successor != 0 || outstanding != 0) {
			t.Errorf("store available: got successor %d, outstanding %d, want 0, 0", successor, outstanding)
		}
		if got := n.manager.Closed(budget); got == unavailable {
			t.Errorf("closed: got %t, want %t", got, !unavailable)
		}
	}
}

func TestSearchesQueryPeersInTurn(t *testing.T) {
	const nodes = 60
	c := newCluster(nodes, 0, quota.DemandHorizon{Horizon: time.Hour, Ready: time.Minute})
	searcher := c.nodes[0].manager
	queried := make(map[ident.Incarnation]bool)
	searcher.HandleStoreFailure(budget, c.now)
	for range 4 {
		var requests int
		c.now = c.now.Add(quota.MaxSearchBackoff)
		for range 3 {
			actions := searcher.Request(budget, 100, c.now)
			requests += len(actions.TransferRequests)
			for _, request := range actions.TransferRequests {
				queried[request.To] = true
			}
			c.now = c.now.Add(quota.TransferRequestTimeout)
		}
		if requests != quota.MaxSearchPeers {
			t.Errorf("transfer requests of one search: got %d, want %d", requests, quota.MaxSearchPeers)
		}
	}
	if got := len(queried); got != nodes-1 {
		t.Errorf("peers queried: got %d, want %d", got, nodes-1)
	}
}

func TestRefusalOnlyAfterStoreAndPeers(t *testing.T) {
	c, _ := nodeWithCredits(t, 10_000)
	searcher := c.nodes[0]
	c.execute(searcher, searcher.manager.Request(budget, 400, c.now))
	c.deliverAll()
	if !searcher.balance.Reserve(400) {
		t.Error("reserve of what a peer had: got false, want true")
	}
	c.execute(searcher, searcher.manager.Request(budget, 0, c.now))
	c.execute(searcher, searcher.manager.Request(budget, 20_000, c.now))
	if !searcher.manager.Searching(budget) {
		t.Error("searching before any reply: got false, want true")
	}
	c.deliverAll()
	if searcher.manager.Searching(budget) {
		t.Error("searching after all replies: got true, want false")
	}
}
