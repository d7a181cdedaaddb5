package journal_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/store"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func entry(name string, state journal.State) journal.Entry {
	return journal.Entry{Request: ident.Request(name), State: state, Budget: "hall"}
}

func TestWithoutPeersRecordIsDurableOnceStored(t *testing.T) {
	buffer := journal.NewBuffer(journal.DefaultConfig(), "self")
	position, _ := buffer.Append(start, entry("a", journal.Open), true)
	effects := buffer.TakeEffects()
	if effects.Write == nil || len(effects.Durable) != 0 {
		t.Fatalf("effects: got %+v, want a write and nothing durable", effects)
	}
	buffer.CompleteWrite(start, true)
	if got := buffer.TakeEffects().Durable; len(got) != 1 || got[0] != position {
		t.Errorf("durable: got %v, want [%d]", got, position)
	}
}

func TestWithPeersRecordIsDurableOnceTwoHoldIt(t *testing.T) {
	buffer := journal.NewBuffer(journal.DefaultConfig(), "self")
	buffer.SetPeers(start, []ident.Incarnation{"p1", "p2", "p3"})
	buffer.Tick(start)
	first, _ := buffer.Append(start, entry("a", journal.Open), true)
	buffer.TakeEffects()
	buffer.CompleteWrite(start, true)
	buffer.TakeEffects()

	second, _ := buffer.Append(start, entry("a", journal.Final), false)
	effects := buffer.TakeEffects()
	if effects.Write != nil || len(effects.Copies) != 2 {
		t.Fatalf("effects: got %+v, want two copies and no write", effects)
	}
	buffer.ConfirmCopies("p1", journal.CopyReply{Owner: "self", Positions: []int64{first, second}})
	buffer.ConfirmCopies("p1", journal.CopyReply{Owner: "self", Positions: []int64{second}})
	if got := buffer.TakeEffects().Durable; len(got) != 0 {
		t.Errorf("durable after one peer: got %v, want none", got)
	}
	buffer.ConfirmCopies("p2", journal.CopyReply{Owner: "self", Positions: []int64{second}})
	if got := buffer.TakeEffects().Durable; len(got) != 1 || got[0] != second {
		t.Errorf("durable after both peers: got %v, want [%d]", got, second)
	}
}

func TestRecordIsStoredIfPeersDoNotConfirmInTime(t *testing.T) {
	config := journal.DefaultConfig()
	config.FlushInterval = time.Minute
	buffer := journal.NewBuffer(config, "self")
	buffer.SetPeers(start, []ident.Incarnation{"p1", "p2"})
	buffer.Append(start, entry("a", journal.Open), true)
	buffer.TakeEffects()
	buffer.CompleteWrite(start, true)
	position, _ := buffer.Append(start, entry("b", journal.Open), true)
	buffer.ConfirmCopies("p1", journal.CopyReply{Owner: "self", Positions: []int64{position}})
	buffer.Tick(start.Add(config.CopyTimeout / 2))
	if got := buffer.TakeEffects().Write; got != nil {
		t.Errorf("before the timeout: got %+v, want no write", got)
	}
	buffer.Tick(start.Add(config.CopyTimeout))
	if got := buffer.TakeEffects().Write; got == nil {
		t.Error("at the timeout: got no write, want one")
	}
}

func TestFailedSegmentIsWrittenAgainUnchanged(t *testing.T) {
	buffer := journal.NewBuffer(journal.DefaultConfig(), "self")
	buffer.Append(start, entry("a", journal.Open), true)
	first := buffer.TakeEffects().Write
	buffer.Append(start, entry("b", journal.Open), true)
	buffer.CompleteWrite(start, false)
	buffer.Tick(start.Add(time.Minute))
	again := buffer.TakeEffects().Write
	if again == nil || again.Name() != first.Name() || len(again.Entries) != len(first.Entries) {
		t.Errorf("second write: got %+v, want %+v", again, first)
	}
}

func TestReplicasStoreRecordsOfFailedPeer(t *testing.T) {
	replicas := journal.NewReplicas()
	records := []journal.Record{
		{Position: 1, Entry: entry("a", journal.Final)},
		{Position: 2, Entry: entry("b", journal.Open)},
	}
	replicas.Add(journal.CopyRequest{Owner: "lost", Records: records})
	replicas.Release(journal.ReleaseNotice{Owner: "lost", UpTo: 1})
	replicas.Add(journal.CopyRequest{Owner: "lost", Records: records[:1]})

	segment := replicas.NextSegment("lost")
	if segment == nil || len(segment.Entries) != 1 || segment.Entries[0].Request != "b" {
		t.Fatalf("segment: got %+v, want the entry of request b alone", segment)
	}
	if again := replicas.NextSegment("lost"); again != nil {
		t.Errorf("during the write: got %+v, want nil", again)
	}
	replicas.CompleteWrite("lost", false)
	if again := replicas.NextSegment("lost"); again != segment {
		t.Errorf("after a failure: got %+v, want the same segment", again)
	}
	replicas.CompleteWrite("lost", true)
	if got := replicas.Len(); got != 0 {
		t.Errorf("records: got %d, want 0", got)
	}
}

// longTexts are texts that take much space in a segment.
var longTexts = map[string]string{
	"long":      strings.Repeat("i", 15<<10),
	"escaped":   strings.Repeat("<", 15<<10),
	"not UTF-8": strings.Repeat("\xff", 15<<10),
}

// TestLongRecordsAreStored guards against a segment that no store accepts because of its
// bytes, which would keep all later records from being stored (review/8).
func TestLongRecordsAreStored(t *testing.T) {
	for name, text := range longTexts {
		t.Run(name, func(t *testing.T) {
			const requests = 300
			buffer := journal.NewBuffer(journal.DefaultConfig(), "self")
			buffer.SetPeers(start, []ident.Incarnation{"p1", "p2"})
			replicas := journal.NewReplicas()
			for index := range requests {
				buffer.Append(start, entry(fmt.Sprint(text, index), journal.Final), true)
			}
			stored := 0
			for buffer.Pending() > 0 {
				buffer.Flush(start)
				effects := buffer.TakeEffects()
				for _, copied := range effects.Copies {
					checkFits(t, "copy request", copied.Body)
					replicas.Add(copied.Body)
				}
				stored += checkSegment(t, effects.Write)
				buffer.CompleteWrite(start, true)
			}
			if stored != requests {
				t.Errorf("stored: got %d, want %d", stored, requests)
			}
			copied := 0
			for segment := replicas.NextSegment("self"); segment != nil; segment = replicas.NextSegment("self") {
				copied += checkSegment(t, segment)
				replicas.CompleteWrite("self", true)
			}
			if copied != requests {
				t.Errorf("stored by a peer: got %d, want %d", copied, requests)
			}
		})
	}
}

// TestNewPeerReceivesLongRecords guards against a message with the backlog that does not fit
// into a frame.
func TestNewPeerReceivesLongRecords(t *testing.T) {
	buffer := journal.NewBuffer(journal.DefaultConfig(), "self")
	for index := range 300 {
		buffer.Append(start, entry(fmt.Sprint(longTexts["long"], index), journal.Final), true)
	}
	buffer.TakeEffects()
	buffer.SetPeers(start, []ident.Incarnation{"p1", "p2"})
	copies := buffer.TakeEffects().Copies
	if len(copies) < 2 {
		t.Errorf("messages: got %d, want several", len(copies))
	}
	for _, copied := range copies {
		checkFits(t, "copy request", copied.Body)
	}
}

// checkSegment asserts that the store accepts the segment and returns its number of entries.
func checkSegment(t *testing.T, segment *journal.Segment) int {
	t.Helper()
	if segment == nil {
		t.Fatal("segment: got none, want one")
	}
	checkFits(t, "segment", segment)
	return len(segment.Entries)
}

// checkFits asserts that the JSON form of the value fits into an object or a frame.
func checkFits(t *testing.T, what string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil || len(encoded) > store.MaxValueBytes {
		t.Fatalf("%s: got %d bytes and %v, want at most %d", what, len(encoded), err, store.MaxValueBytes)
	}
}

// TestBacklogIsStoredInSegmentsThatFit guards against segments that exceed the
// maximum object size of the store: the records of a long outage, with names of the
// maximum length, are stored in several segments.
func TestBacklogIsStoredInSegmentsThatFit(t *testing.T) {
	const requests = 4_000
	name := strings.Repeat("n", 63)
	buffer := journal.NewBuffer(journal.DefaultConfig(), "self")
	buffer.SetPeers(start, []ident.Incarnation{"p1", "p2"})
	for index := range requests {
		added := journal.Entry{
			Request: ident.NewRequest(ident.NewIncarnation()), State: journal.Final, Run: journal.Ran,
			Team: name, Budget: name, Target: name, Reserved: 1 << 50, Floor: 1 << 50, Charge: 1 << 50,
			InputTokens: 1 << 40, OutputTokens: int64(index),
		}
		buffer.Append(start, added, true)
	}
	stored := 0
	for round := 0; buffer.Pending() > 0 && round < requests; round++ {
		buffer.Flush(start)
		segment := buffer.TakeEffects().Write
		if segment == nil {
			continue
		}
		value, err := segment.Encode()
		if err != nil || len(value) > store.MaxValueBytes {
			t.Fatalf("segment of %d entries: got %d bytes and %v, want at most %d",
				len(segment.Entries), len(value), err, store.MaxValueBytes)
		}
		stored += len(segment.Entries)
		buffer.CompleteWrite(start, true)
	}
	if stored != requests {
		t.Errorf("stored: got %d, want %d", stored, requests)
	}
}

// TestCopiesOfPeersAreBoundedByBytes guards against copies of peers' records that fill the
// memory of a router. A record that is not kept is not confirmed.
func TestCopiesOfPeersAreBoundedByBytes(t *testing.T) {
	replicas := journal.NewReplicas()
	replicas.MaxBytes = 64 << 10
	confirmed := 0
	for position := int64(1); position <= 100; position++ {
		record := journal.Record{Position: position, Entry: entry(fmt.Sprint(strings.Repeat("i", 1000), position), journal.Final)}
		reply := replicas.Add(journal.CopyRequest{Owner: ident.Incarnation(fmt.Sprint("peer-", position%3)), Records: []journal.Record{record}})
		confirmed += len(reply.Positions)
	}
	if got := replicas.Len(); got == 0 || got > 64 || got != confirmed {
		t.Errorf("kept and confirmed: got %d and %d, want the same number, at most 64", got, confirmed)
	}
	for owner := range 3 {
		replicas.Release(journal.ReleaseNotice{Owner: ident.Incarnation(fmt.Sprint("peer-", owner)), UpTo: 100})
	}
	record := journal.Record{Position: 101, Entry: entry("a", journal.Final)}
	if reply := replicas.Add(journal.CopyRequest{Owner: "peer-0", Records: []journal.Record{record}}); len(reply.Positions) != 1 {
		t.Errorf("after the release: got %v confirmed, want one", reply.Positions)
	}
}
