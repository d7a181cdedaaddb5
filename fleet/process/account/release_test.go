package account_test

import (
	"testing"

	"jacinthpaddle.example/fleet/process/account"
)

// What a process held when it was killed was written off, also what it cannot have used.
func TestSuccessorReturnsWhatWasNotReleased(t *testing.T) {
	release := &account.Release{Number: 1, Boot: "b1", Uptime: 10_000, Base: 300, Rate: 100}
	tests := []struct {
		name      string
		release   *account.Release
		successor account.Start
		// used is how much of the grant of 1,000 still counts as used.
		used int64
	}{
		{"killed at once", release, account.Start{Boot: "b1", Uptime: 10_000}, 300},
		{"killed after two seconds", release, account.Start{Boot: "b1", Uptime: 12_000}, 500},
		{"killed after a minute", release, account.Start{Boot: "b1", Uptime: 70_000}, 1_000},
		{"another boot", release, account.Start{Boot: "b2", Uptime: 10_500}, 1_000},
		{"an earlier uptime", release, account.Start{Boot: "b1", Uptime: 9_999}, 1_000},
		{"unknown boot", release, account.Start{}, 1_000},
		{"no schedule", nil, account.Start{Boot: "b1", Uptime: 10_000}, 1_000},
		{"unknown boots", &account.Release{Number: 1, Base: 300}, account.Start{}, 1_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const purchased = 2_000
			page := newPage(t)
			page.Grant(account.GrantRequest{Budget: budget, Holder: "old", VM: "vm-1", Target: 1_000, Release: test.release}, purchased)
			page.Grant(account.GrantRequest{Budget: budget, Holder: "new", VM: "vm-1", Started: test.successor}, purchased)
			page.Compact()
			// The schedule rounds to a millisecond and a credit in favour of the account.
			const rounding = 2
			got := page.Accounts[budget].Outstanding()
			if got < test.used || got > test.used+rounding {
				t.Errorf("outstanding: got %d, want %d to %d", got, test.used, test.used+rounding)
			}
		})
	}
}

func TestReleaseIsReplacedByALaterOneOnly(t *testing.T) {
	page := newPage(t)
	for _, number := range []int64{2, 1} {
		release := &account.Release{Number: number, Boot: "b1", Base: 100 * number}
		page.Grant(account.GrantRequest{Budget: budget, Holder: "a", Target: 400, Release: release}, purchased)
	}
	if got, want := page.Accounts[budget].Holders["a"].Release.Number, int64(2); got != want {
		t.Errorf("number: got %d, want %d", got, want)
	}
}

// A refund comes out of what was never released, so that it adds nothing to what can have
// been used.
func TestSuccessorAfterARefund(t *testing.T) {
	page := newPage(t)
	release := &account.Release{Number: 1, Boot: "b1", Uptime: 1_000, Base: 300}
	page.Grant(account.GrantRequest{Budget: budget, Holder: "old", VM: "vm-1", Target: 800, Release: release}, purchased)
	page.Refund(account.Refund{Budget: budget, Holder: "old", Total: 400})
	page.Grant(account.GrantRequest{Budget: budget, Holder: "new", VM: "vm-1", Started: account.Start{Boot: "b1", Uptime: 1_000}}, purchased)
	page.Compact()
	if got := page.Accounts[budget].Outstanding(); got < 300 || got > 301 {
		t.Errorf("outstanding: got %d, want 300 and a credit of rounding", got)
	}
}
