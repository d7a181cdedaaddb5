package journal_test

import (
	"testing"

	"jacinthpaddle.example/fleet/process/journal"
)

func TestCopiesOfEntryResultInOneBill(t *testing.T) {
	open := entry("a", journal.Open)
	open.Floor = 100
	final := entry("a", journal.Final)
	final.Charge = 40
	other := entry("b", journal.Open)
	other.Floor = 7
	tests := []struct {
		name    string
		entries []journal.Entry
		want    journal.Total
	}{
		{"open alone", []journal.Entry{open, open}, journal.Total{Budget: "hall", Requests: 1, Open: 1, Charge: 100}},
		{"open before final", []journal.Entry{open, final}, journal.Total{Budget: "hall", Requests: 1, Charge: 40}},
		{"final before open", []journal.Entry{final, open, final}, journal.Total{Budget: "hall", Requests: 1, Charge: 40}},
		{"two requests", []journal.Entry{final, other, open}, journal.Total{Budget: "hall", Requests: 2, Open: 1, Charge: 47}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := journal.Totals(test.entries)["hall"]; got != test.want {
				t.Errorf("total: got %+v, want %+v", got, test.want)
			}
		})
	}
}
