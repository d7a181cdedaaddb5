package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// homeHolders returns direct holders of a large fleet that have read an account with the
// remaining credits and have had a request that needed the given number.
func homeHolders(remaining, request int64, unreachable ...ident.Incarnation) map[ident.Incarnation]*quota.Manager[quota.DemandSpread] {
	now := time.Unix(0, 0)
	var all []ident.Incarnation
	for number := range 18 {
		all = append(all, ident.Incarnation(fmt.Sprintf("holder-%02d", number)))
	}
	holders := make(map[ident.Incarnation]*quota.Manager[quota.DemandSpread])
	for _, self := range all {
		manager := quota.New(self, quota.DemandSpread{Horizon: 20 * time.Second, Share: 0.6}, &quota.Balances{})
		manager.SetPeers(slices.DeleteFunc(slices.Clone(all), func(peer ident.Incarnation) bool {
			return peer == self || slices.Contains(unreachable, peer)
		}))
		manager.SetSupply(quota.Supply{Supplies: true, DirectHolders: len(all), Homes: all})
		manager.SetPurchased(budget, remaining)
		manager.HandleAccount(budget, account.View{Remaining: remaining}, now)
		manager.Request(budget, request, now)
		manager.Request(budget, 0, now)
		manager.Allocation(budget).UpdatePending = false
		holders[self] = manager
	}
	return holders
}

// homeOf returns the home that the transfer requests of the holders agree on, and how many
// holders request grants from the store.
func homeOf(t *testing.T, holders map[ident.Incarnation]*quota.Manager[quota.DemandSpread], request int64) (ident.Incarnation, []ident.Incarnation) {
	t.Helper()
	now := time.Unix(1, 0)
	var home ident.Incarnation
	var direct []ident.Incarnation
	for self, manager := range holders {
		actions := manager.Request(budget, request, now)
		if len(actions.GrantRequests) > 0 {
			direct = append(direct, self)
		}
		for _, asked := range actions.TransferRequests {
			if home != "" && asked.To != home {
				t.Errorf("%s: got home %s, others use %s", self, asked.To, home)
			}
			home = asked.To
		}
	}
	return home, direct
}

// TestSmallBudgetHasOneHome has 18 holders share a budget of 92,351 credits of which a
// request needs up to 12,000. When each of them took its own part from the store, a
// fleet of 195 routers updated the accounts 250 times a second, and 27 in 100 requests
// waited too long for credits.
func TestSmallBudgetHasOneHome(t *testing.T) {
	const remaining, request = 92_351, 12_000
	holders := homeHolders(remaining, request)
	home, direct := homeOf(t, holders, request)
	if home == "" || !slices.Equal(direct, []ident.Incarnation{home}) {
		t.Fatalf("grant requests: got from %v, want from the home %s alone", direct, home)
	}
	for self, manager := range holders {
		manager.Request(budget, 0, time.Unix(2, 0))
		manager.Allocation(budget).UpdatePending = false
		if actions := manager.Tick(time.Unix(2, 0)); self != home && len(actions.GrantRequests) > 0 {
			t.Errorf("%s: got grant requests without a request, want none", self)
		}
	}

	// The others agree on a new home while the first one is unreachable.
	delete(holders, home)
	remainingHolders := homeHolders(remaining, request, home)
	delete(remainingHolders, home)
	next, direct := homeOf(t, remainingHolders, request)
	if next == home || !slices.Equal(direct, []ident.Incarnation{next}) {
		t.Errorf("without %s: got home %s and grant requests from %v, want one other home", home, next, direct)
	}
}

// TestLargeBudgetIsShared has each holder take its own part of a budget that is large
// enough, since in a partition it cannot get any from others.
func TestLargeBudgetIsShared(t *testing.T) {
	const remaining, request = 10_000_000, 12_000
	home, direct := homeOf(t, homeHolders(remaining, request), request)
	if home != "" || len(direct) != 18 {
		t.Errorf("got home %q and %d holders with grant requests, want no home and 18", home, len(direct))
	}
}
