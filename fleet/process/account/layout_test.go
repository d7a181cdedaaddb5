package account_test

import (
	"errors"
	"testing"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/store/memory"
)

func TestLayoutForRateOfWrites(t *testing.T) {
	tests := []struct {
		writes float64
		want   int
	}{{0, 1}, {400, 1}, {1200, 1}, {1600, 2}, {3200.5, 4}, {1e12, account.PageCount}}
	for _, test := range tests {
		if got := account.LayoutFor(test.writes).Pages; got != test.want {
			t.Errorf("pages for %v writes a second: got %d, want %d", test.writes, got, test.want)
		}
	}
}

// TestLayoutNeverChanges has processes with other proposals read the layout: if one of
// them used its own, each budget would have an account on two pages and be granted twice.
func TestLayoutNeverChanges(t *testing.T) {
	objects := memory.New(clock.NewFake())
	for _, proposed := range []int{4, 1, 256} {
		got, err := account.ReadLayout(t.Context(), objects, account.Layout{Pages: proposed})
		if err != nil {
			t.Fatal(err)
		}
		if want := 4; got.Pages != want {
			t.Errorf("proposed %d: got %d pages, want the stored %d", proposed, got.Pages, want)
		}
	}
}

// TestLayoutOfStoredAccounts has a fleet whose accounts were stored on one page before
// there were layouts.
func TestLayoutOfStoredAccounts(t *testing.T) {
	objects := memory.New(clock.NewFake())
	if _, err := objects.Create(t.Context(), account.PageName("hall", 1), []byte(`{"accounts":{}}`)); err != nil {
		t.Fatal(err)
	}
	got, err := account.ReadLayout(t.Context(), objects, account.Layout{Pages: 4})
	if err != nil {
		t.Fatal(err)
	}
	if want := 1; got.Pages != want {
		t.Errorf("pages: got %d, want %d", got.Pages, want)
	}
}

func TestUnusableLayoutIsRefused(t *testing.T) {
	for _, value := range []string{"", "{", `{"pages":0}`, `{"pages":-1}`, `{"pages":1000000}`, `{"pages":"4"}`, "null"} {
		objects := memory.New(clock.NewFake())
		if _, err := objects.Create(t.Context(), account.LayoutName, []byte(value)); err != nil {
			t.Fatal(err)
		}
		got, err := account.ReadLayout(t.Context(), objects, account.Layout{Pages: 4})
		if err == nil {
			t.Errorf("layout %q: got %d pages, want an error", value, got.Pages)
		}
	}
	var invalid *account.LayoutError
	objects := memory.New(clock.NewFake())
	_, _ = objects.Create(t.Context(), account.LayoutName, []byte(`{"pages":0}`))
	if _, err := account.ReadLayout(t.Context(), objects, account.Layout{Pages: 4}); !errors.As(err, &invalid) {
		t.Errorf("layout without pages: got %v, want a LayoutError", err)
	}
}
