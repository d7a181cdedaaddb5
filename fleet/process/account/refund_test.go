package account_test

import (
	"testing"

	"jacinthpaddle.example/fleet/process/account"
)

func TestRefundOfOpenHolder(t *testing.T) {
	page := newPage(t)
	page.Draw(account.Draw{Budget: budget, Holder: "a", Target: 400}, purchased)
	refund := account.Refund{Budget: budget, Holder: "a", Total: 150}
	if !page.Refund(refund) {
		t.Fatal("refund: got no change, want one")
	}
	if page.Refund(refund) {
		t.Error("repeated refund: got a change, want none")
	}
	if got, want := page.Accounts[budget].Out(), int64(250); got != want {
		t.Errorf("out: got %d, want %d", got, want)
	}
	// The holder goes on, and a draw adds to what it was granted in all.
	page.Draw(account.Draw{Budget: budget, Holder: "a", Opened: true, Target: 500}, purchased)
	if got, want := page.Accounts[budget].Out(), int64(350); got != want {
		t.Errorf("out after a draw: got %d, want %d", got, want)
	}
	page.WriteOff(budget, "a")
	page.Fold()
	if got, want := page.Accounts[budget].Retired, int64(350); got != want {
		t.Errorf("retired: got %d, want %d", got, want)
	}
	if page.Refund(account.Refund{Budget: budget, Holder: "a", Total: 200}) {
		t.Error("refund of a closed holder: got a change, want none")
	}
}
