package account_test

import (
	"fmt"
	"slices"
	"testing"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/store"
)

const (
	budget    = "festival"
	purchased = 1_000
)

func newPage(t *testing.T) account.Page {
	t.Helper()
	page, err := account.Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

func TestGrantStaysWithinPurchased(t *testing.T) {
	tests := []struct {
		name    string
		before  []account.GrantRequest
		request account.GrantRequest
		want    int64
	}{
		{"first", nil, account.GrantRequest{Target: 400}, 400},
		{"repeated", []account.GrantRequest{{Target: 400}}, account.GrantRequest{Target: 400}, 400},
		{"cut", []account.GrantRequest{{Holder: "b", Target: 700}}, account.GrantRequest{Target: 400}, 300},
		{"none left", []account.GrantRequest{{Holder: "b", Target: 2_000}}, account.GrantRequest{Target: 1}, 0},
		{"bounded to a fraction", []account.GrantRequest{{Holder: "b", Target: 200}}, account.GrantRequest{Target: 700, MaxFraction: 0.5}, 400},
		{"fraction below the minimum", []account.GrantRequest{{Holder: "b", Target: 900}}, account.GrantRequest{Target: 700, Minimum: 80, MaxFraction: 0.5}, 80},
		{"bounded by what others have unused", []account.GrantRequest{{Holder: "b", Target: 400, Used: 100}}, account.GrantRequest{Target: 500, MaxFraction: 1, MaxUnused: 450}, 150},
		{"bounded below the minimum", []account.GrantRequest{{Holder: "b", Target: 400}}, account.GrantRequest{Target: 500, Minimum: 80, MaxFraction: 1, MaxUnused: 200}, 80},
		{"bounded and repeated", []account.GrantRequest{{Target: 700, MaxFraction: 0.5}}, account.GrantRequest{Target: 700, MaxFraction: 0.5}, 500},
		{"lower target", []account.GrantRequest{{Target: 400}}, account.GrantRequest{Target: 100}, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			page := newPage(t)
			for _, request := range append(test.before, test.request) {
				request.Budget = budget
				if request.Holder == "" {
					request.Holder = "a"
				}
				page.Grant(request, purchased)
			}
			view := page.View(budget, "a", purchased)
			if view.Record.Granted != test.want {
				t.Errorf("granted: got %d, want %d", view.Record.Granted, test.want)
			}
			if outstanding := page.Accounts[budget].Outstanding(); outstanding > purchased {
				t.Errorf("outstanding: got %d, want at most %d", outstanding, purchased)
			}
		})
	}
}

func TestClosedHolderGetsNothing(t *testing.T) {
	page := newPage(t)
	page.Grant(account.GrantRequest{Budget: budget, Holder: "a", Target: 400}, purchased)
	page.Return(account.Return{Budget: budget, Holder: "a", Granted: 400, Returned: 100})
	again := account.GrantRequest{Budget: budget, Holder: "a", RecordSeen: true, Target: 900}
	for _, state := range []string{"closed", "compacted"} {
		if page.Grant(again, purchased) {
			t.Errorf("grant on a %s record: got true, want false", state)
		}
		if page.Return(account.Return{Budget: budget, Holder: "a", Granted: 400, Returned: 400}) {
			t.Errorf("return on a %s record: got true, want false", state)
		}
		if got := page.Accounts[budget].Outstanding(); got != 300 {
			t.Errorf("outstanding of a %s record: got %d, want 300", state, got)
		}
		page.Compact()
	}
}

func TestReturnAboveGrant(t *testing.T) {
	page := newPage(t)
	page.Grant(account.GrantRequest{Budget: budget, Holder: "a", Target: 400}, purchased)
	page.Grant(account.GrantRequest{Budget: budget, Holder: "b", Target: 100}, purchased)
	page.Return(account.Return{Budget: budget, Holder: "b", Granted: 100, Returned: 250})
	page.Compact()
	if got := page.Accounts[budget].Outstanding(); got != 250 {
		t.Errorf("outstanding: got %d, want 250", got)
	}
}

func TestReturnIncludesAGrantThatTheHolderMissed(t *testing.T) {
	page := newPage(t)
	page.Grant(account.GrantRequest{Budget: budget, Holder: "a", Target: 400}, purchased)
	page.Return(account.Return{Budget: budget, Holder: "a", Granted: 100, Returned: 60})
	if got := page.Accounts[budget].Outstanding(); got != 40 {
		t.Errorf("outstanding: got %d, want 40", got)
	}
}

func TestReclaimNeedsTheEpochThatAttested(t *testing.T) {
	witnesses := []ident.Incarnation{"g", "h"}
	tests := []struct {
		name        string
		epoch       int64
		witnesses   []ident.Incarnation
		want        bool
		outstanding int64
	}{
		{"same epoch", 1, witnesses, true, 150},
		{"changed since", 2, witnesses, false, 400},
		{"one witness", 1, witnesses[:1], false, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			page := newPage(t)
			page.Grant(account.GrantRequest{Budget: budget, Holder: "a", Target: 400, Epoch: test.epoch, Witnesses: test.witnesses}, purchased)
			got := page.Reclaim(account.Reclaim{Budget: budget, Holder: "a", Epoch: 1, Ceiling: 150})
			if got != test.want {
				t.Errorf("reclaim: got %t, want %t", got, test.want)
			}
			if outstanding := page.Accounts[budget].Outstanding(); outstanding != test.outstanding {
				t.Errorf("outstanding: got %d, want %d", outstanding, test.outstanding)
			}
		})
	}
}

func TestPageStaysSmallWhileIncarnationsAreReplaced(t *testing.T) {
	const (
		budgets      = 60
		holders      = 12
		replacements = 340
	)
	page := newPage(t)
	for replacement := range replacements {
		for number := range budgets {
			name := fmt.Sprintf("budget-%04d", number)
			fresh := ident.Incarnation(fmt.Sprintf("%026d", replacement))
			witnesses := []ident.Incarnation{fresh + "guard-1", fresh + "guard-2"}
			page.Grant(account.GrantRequest{Budget: name, Holder: fresh, Target: 1_000_000, Epoch: 1, Witnesses: witnesses}, 1<<50)
			if replacement >= holders {
				old := ident.Incarnation(fmt.Sprintf("%026d", replacement-holders))
				page.Return(account.Return{Budget: name, Holder: old, Granted: 1_000_000, Returned: 999_000})
			}
		}
		page.Compact()
	}
	value, err := page.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("page of %d accounts with %d holders each: %d bytes", budgets, holders, len(value))
	if len(value) > store.MaxValueBytes/2 {
		t.Errorf("size: got %d, want at most %d", len(value), store.MaxValueBytes/2)
	}
	decoded, err := account.Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	view := decoded.View("budget-0000", "", 1<<50)
	if got := len(view.OtherHolders); got != holders {
		t.Errorf("holders: got %d, want %d", got, holders)
	}
	if !slices.IsSorted(view.OtherHolders) {
		t.Errorf("others: got %v, want them sorted", view.OtherHolders)
	}
}
