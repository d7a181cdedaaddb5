package account_test

import (
	"testing"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

func TestRefundOfOpenHolder(t *testing.T) {
	page := newPage(t)
	page.Grant(account.GrantRequest{Budget: budget, Holder: "a", Target: 400}, purchased)
	refund := account.Refund{Budget: budget, Holder: "a", Total: 150}
	if !page.Refund(refund) {
		t.Fatal("refund: got no change, want one")
	}
	if page.Refund(refund) {
		t.Error("repeated refund: got a change, want none")
	}
	if got, want := page.Accounts[budget].Outstanding(), int64(250); got != want {
		t.Errorf("outstanding: got %d, want %d", got, want)
	}
	// The holder continues, and a grant adds to its granted total.
	page.Grant(account.GrantRequest{Budget: budget, Holder: "a", RecordSeen: true, Target: 500}, purchased)
	if got, want := page.Accounts[budget].Outstanding(), int64(350); got != want {
		t.Errorf("outstanding after a grant: got %d, want %d", got, want)
	}
	page.WriteOff(budget, "a")
	page.Compact()
	if got, want := page.Accounts[budget].Retired, int64(350); got != want {
		t.Errorf("retired: got %d, want %d", got, want)
	}
	if page.Refund(account.Refund{Budget: budget, Holder: "a", Total: 200}) {
		t.Error("refund of a closed holder: got a change, want none")
	}
}

// The record of a replaced process stayed open for minutes and reduced the shares of
// the other holders, so that a new holder on the same VM closes it.
func TestGrantClosesPredecessorsOnTheVM(t *testing.T) {
	page := newPage(t)
	witnesses := []ident.Incarnation{"g", "h"}
	for _, request := range []account.GrantRequest{
		{Holder: "old", VM: "vm-1", Target: 100},
		{Holder: "witnessed", VM: "vm-1", Target: 100, Epoch: 1, Witnesses: witnesses},
		{Holder: "other", VM: "vm-2", Target: 100},
		{Holder: "unnamed", Target: 100},
	} {
		request.Budget = budget
		page.Grant(request, purchased)
	}
	page.Grant(account.GrantRequest{Budget: budget, Holder: "new", VM: "vm-1", Target: 100}, purchased)
	for holder, want := range map[ident.Incarnation]bool{"old": true, "witnessed": false, "other": false, "unnamed": false, "new": false} {
		if got := page.Accounts[budget].Holders[holder].Closed; got != want {
			t.Errorf("%s closed: got %t, want %t", holder, got, want)
		}
	}
	if got, want := page.Accounts[budget].Outstanding(), int64(500); got != want {
		t.Errorf("outstanding: got %d, want %d: what the predecessor held counts as spent", got, want)
	}
}

// Credits that failed holders had not used could not be told from those they had.
func TestLostCreditsOfFailedHolders(t *testing.T) {
	page := newPage(t)
	for _, request := range []account.GrantRequest{
		{Holder: "old", VM: "vm-1", Target: 300, Used: 120},
		{Holder: "failed", VM: "vm-2", Target: 200, Used: 50},
		{Holder: "leaving", VM: "vm-3", Target: 100},
	} {
		request.Budget = budget
		page.Grant(request, purchased)
	}
	page.Refund(account.Refund{Budget: budget, Holder: "failed", Total: 20, Used: 70})
	page.Return(account.Return{Budget: budget, Holder: "leaving", Granted: 100, Returned: 40})
	page.Grant(account.GrantRequest{Budget: budget, Holder: "new", VM: "vm-1"}, purchased)
	if !page.WriteOff(budget, "failed") || page.WriteOff(budget, "failed") {
		t.Error("write-off: got no change at first or one at the repetition")
	}
	page.Compact()
	const want = (300 - 120) + (200 - 20 - 70)
	if got := page.View(budget, "new", purchased).Lost; got != want {
		t.Errorf("lost: got %d, want %d", got, want)
	}
	if got, want := page.Accounts[budget].Outstanding(), int64(300+180+60); got != want {
		t.Errorf("outstanding: got %d, want %d", got, want)
	}
}
