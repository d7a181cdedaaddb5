package declaration_test

import (
	"reflect"
	"testing"

	"jacinthpaddle.example/fleet/version/declaration"
)

func budgets(all ...declaration.Budget) declaration.Set {
	return declaration.Set{Budgets: all}
}

func TestPurchasedMustNotDecrease(t *testing.T) {
	first := budgets(declaration.Budget{Name: "annex", Purchased: 5}, declaration.Budget{Name: "hall", Purchased: 10})
	second := declaration.WithRetiredBudgets(budgets(declaration.Budget{Name: "annex", Purchased: 5}), first)
	third := declaration.WithRetiredBudgets(budgets(declaration.Budget{Name: "annex", Purchased: 6}), second)
	if got, want := third.RetiredBudgets, first.Budgets[1:]; !reflect.DeepEqual(got, want) {
		t.Errorf("retired: got %v, want %v", got, want)
	}
	cases := map[string]struct {
		predecessor declaration.Set
		purchased   int64
		want        []declaration.Fault
	}{
		"raised":               {first, 11, nil},
		"equal":                {first, 10, nil},
		"lowered":              {first, 9, loweredFaults("9")},
		"declared again lower": {third, 9, loweredFaults("9")},
		"declared again equal": {third, 10, nil},
	}
	for name, test := range cases {
		set := budgets(declaration.Budget{Name: "hall", Purchased: test.purchased})
		if got := declaration.Check(set, &test.predecessor); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
	declaredAgain := declaration.WithRetiredBudgets(budgets(declaration.Budget{Name: "hall", Purchased: 10}), third)
	if got, want := declaredAgain.RetiredBudgets, third.Budgets; !reflect.DeepEqual(got, want) {
		t.Errorf("retired after declaring hall again: got %v, want %v", got, want)
	}
}

func loweredFaults(to string) []declaration.Fault {
	reason := to + " is below the 10 already purchased"
	return []declaration.Fault{{Kind: "budget", Name: "hall", Field: "purchased", Reason: reason}}
}

func TestDiffNamesFields(t *testing.T) {
	a, _, _ := load(valid)
	b, _, _ := load(valid, "[budget attic]\npurchased = 9\n")
	b.Services = nil
	b.Teams[0].KeyDigests = []string{digestA, digestB}
	got := declaration.Diff(a, b)
	want := []declaration.Difference{
		{Kind: "team", Name: "hall", Field: "key_digests", Before: digestA, After: digestA + ", " + digestB},
		{Kind: "budget", Name: "attic", After: "declared"},
		{Kind: "service", Name: "redeem", Before: "declared"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("differences: got %+v, want %+v", got, want)
	}
}
