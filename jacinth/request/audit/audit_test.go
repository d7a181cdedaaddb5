package audit_test

import (
	"context"
	"reflect"
	"testing"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/jacinth/request/audit"
	"jacinthpaddle.example/jacinth/request/ledger"
)

func entry(request ident.Request, state journal.State, charge int64) journal.Entry {
	return journal.Entry{Request: request, State: state, Budget: "hall", Floor: 2, Charge: charge}
}

func closed(granted, returned int64) account.Holder {
	return account.Holder{Granted: granted, Returned: returned, Closed: true}
}

func TestCheckFindsMismatches(t *testing.T) {
	spent := []journal.Entry{entry("a-1", journal.Final, 40), entry("a-2", journal.Open, 0)}
	cases := map[string]struct {
		entries []journal.Entry
		holder  account.Holder
		want    []audit.Mismatch
	}{
		"agrees":             {spent, closed(100, 50), nil},
		"repeated":           {append(spent, spent...), closed(100, 50), nil},
		"open then final":    {append(spent, entry("a-2", journal.Final, 9)), closed(100, 50), nil},
		"two charges":        {append(spent, entry("a-1", journal.Final, 41)), closed(100, 50), []audit.Mismatch{{audit.BilledOnce, "a-1", 41, 40}}},
		"above outstanding":  {spent, closed(100, 60), []audit.Mismatch{{audit.BilledWithinOutstanding, "hall", 42, 40}}},
		"granted too much":   {spent, closed(110, 0), []audit.Mismatch{{audit.OutstandingWithinPurchased, "hall", 110, 100}}},
		"billed too much":    {append(spent, entry("a-3", journal.Final, 59)), account.Holder{Granted: 101}, []audit.Mismatch{{audit.BilledWithinPurchased, "hall", 101, 100}, {audit.OutstandingWithinPurchased, "hall", 101, 100}}},
		"other budget twice": {append(spent, journal.Entry{Request: "a-1", State: journal.Final, Charge: 40}), closed(100, 50), []audit.Mismatch{{audit.BilledOnce, "a-1", 40, 40}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			result := audit.Check(read(t, test.entries, test.holder))
			if !reflect.DeepEqual(result.Mismatches, test.want) {
				t.Errorf("mismatches: got %v, want %v", result.Mismatches, test.want)
			}
		})
	}
}

func TestUnbilledIsWrittenOffWithoutOpenHolders(t *testing.T) {
	entries := []journal.Entry{entry("a-1", journal.Final, 40)}
	for _, test := range []struct {
		holder account.Holder
		want   int64
	}{{closed(100, 50), 10}, {account.Holder{Granted: 50}, 0}} {
		result := audit.Check(read(t, entries, test.holder)).Budgets[0]
		if result.Unbilled != 10 || result.WrittenOff != test.want {
			t.Errorf("result: got %+v, want 10 unbilled and %d written off", result, test.want)
		}
	}
}

// read stores the entries as two overlapping segments and reads the ledger.
func read(t *testing.T, entries []journal.Entry, holder account.Holder) ledger.Ledger {
	t.Helper()
	ctx := context.Background()
	objects := memory.New(clock.NewFake())
	set := declaration.Set{Budgets: []declaration.Budget{{Name: "hall", Purchased: 100}}}
	if _, err := generation.Publish(ctx, objects, set, generation.Pointer{}); err != nil {
		t.Fatal(err)
	}
	page := account.Page{Accounts: map[string]account.Account{
		"hall": {Holders: map[ident.Incarnation]account.Holder{"a": holder}},
	}}
	create(t, objects, account.PageName("hall", account.PageCount), page)
	segment := journal.Segment{Incarnation: "a", Entries: entries}
	create(t, objects, segment.Name(), segment)
	create(t, objects, segment.CopyName("b"), journal.Segment{Incarnation: "a", Entries: entries[:1]})
	stored, err := ledger.Read(ctx, objects)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

type encoder interface {
	Encode() ([]byte, error)
}

func create(t *testing.T, objects *memory.Store, name string, content encoder) {
	t.Helper()
	value, err := content.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := objects.Create(context.Background(), name, value); err != nil {
		t.Fatal(err)
	}
}
