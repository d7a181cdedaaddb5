package trace_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/jacinth/request/trace"
)

// logs holds lines of two processes around a request that is attempted once and then refused
// because its budget is exhausted.
const logs = `{"event":4006,"msg":"rights drawn","budget":"voye852","remaining":0,"time":"2026-02-15T11:25:01Z","vm":"hall-1"}
not a log line
{"event":4006,"msg":"rights drawn","budget":"another","remaining":9,"time":"2026-02-15T11:25:02Z","vm":"hall-1"}
{"event":3001,"msg":"platform unavailable","time":"2026-02-15T11:25:03Z","vm":"hall-1"}
{"event":3001,"msg":"platform unavailable","time":"2026-02-15T11:25:03Z","vm":"depot-1"}
{"event":7001,"msg":"endpoint ejected","endpoint":"i-1","time":"2026-02-15T11:25:04Z","vm":"depot-1"}
{"event":7001,"msg":"endpoint ejected","endpoint":"i-2","time":"2026-02-15T11:25:04Z","vm":"hall-1"}
{"event":8005,"msg":"request refused","request":"a-8e32","error":"budget_exhausted: budget voye852 : none","time":"2026-02-15T11:25:06Z","vm":"hall-1"}
{"event":8007,"msg":"attempt failed","request":"b-8e32","endpoint":"i-1","error":"reset","time":"2026-02-15T11:25:05Z","vm":"hall-1"}
{"event":4006,"msg":"rights drawn","budget":"voye852","remaining":5,"time":"2026-02-15T11:25:09Z","vm":"hall-1"}
`

func TestCollect(t *testing.T) {
	lines, skipped, err := trace.Read(strings.NewReader(logs))
	if err != nil || len(lines) != 9 || skipped != 1 {
		t.Fatalf("read: got %d lines, %d skipped and %v, want 9 and 1", len(lines), skipped, err)
	}
	collected, err := trace.Collect(lines, "8e32", 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range collected.Lines {
		got = append(got, fmt.Sprint(line.Event, " ", line.VM))
	}
	want := "4006 hall-1, 3001 hall-1, 7001 depot-1, 8007 hall-1, 8005 hall-1"
	if text := strings.Join(got, ", "); text != want {
		t.Errorf("trace: got %s, want %s", text, want)
	}
	if got, want := collected.Lines[0].Fields["remaining"], any(0.0); got != want {
		t.Errorf("fields: got %v, want %v", got, want)
	}
}

// TestCollectByALongID guards against a caller's id that is in no log because records hold only
// a digest of it.
func TestCollectByALongID(t *testing.T) {
	long := strings.Repeat("8e32", 100)
	line := trace.Line{Event: 8005, Request: string(ident.CallerRequest("a", long))}
	collected, err := trace.Collect([]trace.Line{line}, long, time.Second)
	if err != nil || len(collected.Lines) != 1 {
		t.Errorf("trace: got %d lines and %v, want 1", len(collected.Lines), err)
	}
}

func TestCollectUnknownRequest(t *testing.T) {
	lines, _, _ := trace.Read(strings.NewReader(logs))
	for _, id := range []string{"ffff", ""} {
		_, err := trace.Collect(lines, id, time.Second)
		var missing *trace.NotFoundError
		if !errors.As(err, &missing) || missing.Lines != 9 {
			t.Errorf("request %q: got %v, want a NotFoundError of 9 lines", id, err)
		}
	}
}
