package journal_test

import (
	"reflect"
	"testing"

	"jacinthpaddle.example/fleet/process/journal"
)

func TestSegmentRoundTrip(t *testing.T) {
	want := journal.Segment{
		Incarnation: "abc",
		Number:      12,
		Entries: []journal.Entry{
			{Request: "abc-1", State: journal.Final, Budget: "hall", Run: journal.Ran, Charge: 7},
		},
	}
	value, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := journal.DecodeSegment(value)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("segment: got %+v, want %+v", got, want)
	}
	if got, want := want.Name(), "journal/abc/12"; got != want {
		t.Errorf("name: got %s, want %s", got, want)
	}
	if got, want := want.CopyName("def"), "journal/abc/12.def"; got != want {
		t.Errorf("copy name: got %s, want %s", got, want)
	}
}
