package node_test

import (
	"context"
	"testing"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/router/process/node"
)

// TestPrefetchFollowsTheAccount starts a router whose account has already lost credits
// with failed processes. It sized its first grant by what was purchased, so that the
// routers that started first after a loss of all took most of what was left.
func TestPrefetchFollowsTheAccount(t *testing.T) {
	const purchased = 100_000
	tests := []struct {
		name string
		lost int64
		want int64
	}{
		// 0.35 of an even share of one holder, which is the allowance.
		{"nothing lost", 0, 14_000},
		{"allowance for losses used up", 40_000, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := node.DefaultSettings()
			settings.Quota.Witnessed = false
			settings.Quota.Holders, settings.Quota.SharePercent, settings.Quota.LossPercent = 1, 60, 40
			router := startTestRouter(t, "self", settings)
			accounts := router.io.page.Accounts
			if test.lost > 0 {
				accounts["hall"] = account.Account{Retired: test.lost, Lost: test.lost}
			}
			router.receiveGeneration(t, 1, purchased)
			for range node.PrefetchDelay/node.QuotaInterval + 2 {
				router.tick()
			}
			if got := accounts["hall"].Holders["self"].Granted; got != test.want {
				t.Errorf("granted before the first request: got %d, want %d", got, test.want)
			}
			if _, ok := router.credits.Reserve(context.Background(), "hall", 500); !ok {
				t.Error("request for 500 of at least 60,000 left: got refused, want granted")
			}
		})
	}
}
