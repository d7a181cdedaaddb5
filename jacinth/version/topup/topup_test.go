package topup_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/jacinth/version/topup"
)

func TestReplacePurchasedChangesOnlyTheNumber(t *testing.T) {
	cases := map[string]struct {
		text, want string
	}{
		"plain":         {"[budget hall]\npurchased = 10\n", "[budget hall]\npurchased = 25\n"},
		"comment":       {"; purchased = 1\n[budget hall]\n\tpurchased=10 ; spring\n", "; purchased = 1\n[budget hall]\n\tpurchased=25 ; spring\n"},
		"line ends":     {"[budget hall]\r\npurchased : 10\r\n", "[budget hall]\r\npurchased : 25\r\n"},
		"no last break": {"[budget hall]\npurchased = 10", "[budget hall]\npurchased = 25"},
		"other budget":  {"[budget annex]\npurchased = 10\n[budget  hall]\npurchased = 3\n[team hall]\n", "[budget annex]\npurchased = 10\n[budget  hall]\npurchased = 25\n[team hall]\n"},
		"absent":        {"[budget annex]\npurchased = 10\n", ""},
		"other section": {"[budget hall]\n[service hall]\npurchased = 10\n", ""},
	}
	for name, test := range cases {
		got, ok := topup.ReplacePurchased([]byte(test.text), "hall", 25)
		if string(got) != test.want || ok != (test.want != "") {
			t.Errorf("%s: got %q and %t, want %q", name, got, ok, test.want)
		}
	}
}

const declarations = `[budget hall]
purchased = 100 ; spring
`

func writeDeclarations(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "budgets.ini"), []byte(declarations), 0o640); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestRepeatedTopUpSetsTheSameTotal(t *testing.T) {
	dir := writeDeclarations(t)
	for range 2 {
		edit, err := topup.Prepare(dir, "hall", 300)
		if err != nil {
			t.Fatal(err)
		}
		if err := edit.Write(); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(filepath.Join(dir, "budgets.ini"))
	if err != nil {
		t.Fatal(err)
	}
	if want := "[budget hall]\npurchased = 300 ; spring\n"; string(got) != want {
		t.Errorf("file: got %q, want %q", got, want)
	}
}

func TestPrepareRejectsLowerTotalsAndUnknownBudgets(t *testing.T) {
	dir := writeDeclarations(t)
	_, err := topup.Prepare(dir, "hall", 99)
	var faults *declaration.FaultsError
	if !errors.As(err, &faults) {
		t.Errorf("lowering: got %v, want a FaultsError", err)
	}
	_, err = topup.Prepare(dir, "attic", 99)
	var missing *topup.NotFoundError
	if !errors.As(err, &missing) {
		t.Errorf("unknown: got %v, want a NotFoundError", err)
	}
}
