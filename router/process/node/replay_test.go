package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"testing"

	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/router/process/node"
)

// recordedRequest is one request of testdata/requests.jsonl, which was exported from the
// journals of four routers.
type recordedRequest struct {
	Budget   string `json:"budget"`
	Reserved int64  `json:"reserved"`
	Charge   int64  `json:"charge"`
}

func readRecorded(t *testing.T) []recordedRequest {
	t.Helper()
	file, err := os.Open("testdata/requests.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var requests []recordedRequest
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var request recordedRequest
		if err := json.Unmarshal(lines.Bytes(), &request); err != nil {
			t.Fatal(err)
		}
		if request.Budget == "hall" {
			requests = append(requests, request)
		}
	}
	return requests
}

// TestRecordedRequestsMatchCentralCounter replays recorded requests one after the other
// through the control state. The only holder of a budget must admit the same requests as
// one central counter would, and return the unspent credits.
func TestRecordedRequestsMatchCentralCounter(t *testing.T) {
	requests := readRecorded(t)
	tests := []struct {
		purchased int64
		admitted  int
		spent     int64
	}{
		{100_000, 24, 612},
		{612, 20, 500},
		{300, 7, 182},
		{50, 0, 0},
	}
	for _, test := range tests {
		router := newTestRouter(t, test.purchased)
		left, admitted := test.purchased, 0
		for _, request := range requests {
			balance, ok := router.credits.Reserve(context.Background(), request.Budget, request.Reserved)
			if want := request.Reserved <= left; ok != want {
				t.Errorf("purchased %d, reserve %d: got admitted %t, want %t", test.purchased, request.Reserved, ok, want)
			}
			if !ok {
				continue
			}
			entry := journal.Entry{Request: "self-x", State: journal.Final, Budget: request.Budget, Charge: request.Charge}
			if err := router.recorder.Close(context.Background(), entry); err != nil {
				t.Fatal(err)
			}
			balance.Settle(request.Reserved, request.Charge)
			left -= request.Charge
			admitted++
		}
		router.thread.Send(node.CloseQuotaAndJournal{})
		router.waitForMessages()
		spent := control.Query(router.thread, func(*node.State) int64 { return router.io.page.Accounts["hall"].Outstanding() })
		if admitted != test.admitted || spent != test.spent {
			t.Errorf("purchased %d: got %d admitted and %d spent, want %d and %d", test.purchased, admitted, spent, test.admitted, test.spent)
		}
	}
}
