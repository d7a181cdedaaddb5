package audit_test

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/jacinth/request/audit"
	"jacinthpaddle.example/jacinth/request/ledger"
)

// stored is an object of a recorded store.
type stored struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// run is the endpoint's record of one request.
type run struct {
	RequestID        ident.Request `json:"request_id"`
	Runs             int           `json:"runs"`
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	Path             string        `json:"path"`
	Completed        bool          `json:"completed"`
}

// readLines reads a file of JSON lines.
func readLines[T any](t *testing.T, path string) []T {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var items []T
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var item T
		if err := json.Unmarshal(lines.Bytes(), &item); err != nil {
			t.Fatal(err)
		}
		items = append(items, item)
	}
	return items
}

// replay applies the change to each recorded object, stores the results and audits them.
func replay(t *testing.T, objects []stored, change func(stored) []stored) (ledger.Ledger, audit.Result) {
	t.Helper()
	objectStore := memory.New(clock.New())
	for _, object := range objects {
		for _, changed := range change(object) {
			if _, err := objectStore.Create(context.Background(), changed.Name, []byte(changed.Value)); err != nil {
				t.Fatal(err)
			}
		}
	}
	read, err := ledger.Read(context.Background(), objectStore)
	if err != nil {
		t.Fatal(err)
	}
	return read, audit.Check(read)
}

func unchanged(object stored) []stored {
	return []stored{object}
}

// copied adds a copy of each journal segment, as a peer stores after a process terminated.
func copied(object stored) []stored {
	if !strings.HasPrefix(object.Name, journal.Prefix) {
		return unchanged(object)
	}
	return []stored{object, {Name: object.Name + ".peer", Value: object.Value}}
}

// overcharged adds a copy of each journal segment in which charges of 100 are 101.
func overcharged(object stored) []stored {
	both := copied(object)
	if len(both) == 2 {
		both[1].Value = strings.ReplaceAll(both[1].Value, `"charge":100,`, `"charge":101,`)
	}
	return both
}

// TestRecordedKillIsBilledAsItRan compares the bills in a recorded store with the requests
// that the endpoint recorded. Four routers had served 24 streams and 24 redemptions with 12
// repeats, and a router had been killed with SIGKILL while three streams were open.
func TestRecordedKillIsBilledAsItRan(t *testing.T) {
	objects := readLines[stored](t, "testdata/kill.jsonl")
	runs := readLines[run](t, "testdata/kill_runs.jsonl")
	tests := []struct {
		name       string
		change     func(stored) []stored
		mismatches bool
	}{
		{"as recorded", unchanged, false},
		{"with copies of each segment", copied, false},
		{"with copies that charge otherwise", overcharged, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			read, result := replay(t, objects, test.change)
			if got := len(result.Mismatches) > 0; got != test.mismatches {
				t.Errorf("mismatches: got %+v, want some: %t", result.Mismatches, test.mismatches)
			}
			bills := ledger.Bills(read.Entries, "")
			if got, want := len(bills), len(runs); got != want {
				t.Errorf("bills: got %d, want %d", got, want)
			}
			checkBills(t, bills, runs)
		})
	}
}

// checkBills compares the bill of each request with the endpoint's record. The bill of a
// stream that the kill interrupted is open and costs nothing. The prices are 100 credits for a
// redemption, 1 for a prompt token and 4 for a completion token.
func checkBills(t *testing.T, bills []journal.Entry, runs []run) {
	t.Helper()
	byRequest := journal.Merge(bills)
	for _, ran := range runs {
		bill, ok := byRequest[ran.RequestID]
		want := int64(100)
		if strings.Contains(ran.Path, "chat") {
			want = ran.PromptTokens + 4*ran.CompletionTokens
		}
		if !ran.Completed {
			want = 0
		}
		if !ok || ran.Runs != 1 || bill.Bill() != want || (bill.State == journal.Final) != ran.Completed {
			t.Errorf("request %s: got bill %+v and %d runs, want %d credits for one run", ran.RequestID, bill, ran.Runs, want)
		}
	}
}
