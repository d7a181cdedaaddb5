package proof_test

import (
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"

	"jacinthpaddle.example/proof/process/harness"
)

// responseTokens is the max_tokens of the requests in the tests of endpoint faults.
const responseTokens = 12

// faultCase is a fault that the only endpoint injects into all attempts, and the
// expected error, bill and number of runs.
type faultCase struct {
	name   string
	fault  harness.EndpointFaults
	work   harness.OperationFactory
	code   string
	run    journal.RunStatus
	charge func(got harness.Reply) int64
	// runs is anyRuns where the router may repeat the request.
	runs int
}

func newUnstreamedChat(name string) harness.Operation {
	return harness.UnstreamedChat(harness.HallKey, name, responseTokens)
}
func newStreamedChat(name string) harness.Operation {
	return harness.StreamedChat(harness.HallKey, name, responseTokens)
}
func newRedemption(name string) harness.Operation {
	return harness.ServiceCall(harness.AnnexKey, "redeem", name)
}
func newBalanceCall(name string) harness.Operation {
	return harness.ServiceCall(harness.AnnexKey, "balance", name)
}

func noCharge(harness.Reply) int64     { return 0 }
func redeemCharge(harness.Reply) int64 { return harness.RedeemPrice }

// deliveredTokensCharge is the price of the stream's tokens that reached the caller.
func deliveredTokensCharge(got harness.Reply) int64 {
	return int64(len(strings.Fields(got.Body))) * harness.OutputPrice
}

func faultCases() []faultCase {
	const anyRuns = -1
	refuse := harness.EndpointFaults{RefuseAll: true}
	cut := harness.EndpointFaults{CutAfterBytes: 10}
	cutLater := harness.EndpointFaults{CutAfterBytes: 800}
	stall := harness.EndpointFaults{StallAfterBytes: 10}
	stallLater := harness.EndpointFaults{StallAfterBytes: 800}
	delay := harness.EndpointFaults{FirstByteDelayMS: 1500}
	wrong := harness.EndpointFaults{WrongAttempt: true}
	drop := harness.EndpointFaults{RunThenDrop: true}
	ignore := harness.EndpointFaults{IgnoreMaxTokens: true}
	return []faultCase{
		{"refused-whole", refuse, newUnstreamedChat, "endpoint_failed", journal.NotRun, noCharge, 0},
		{"refused-stream", refuse, newStreamedChat, "endpoint_failed", journal.NotRun, noCharge, 0},
		{"refused-redeem", refuse, newRedemption, "endpoint_failed", journal.NotRun, noCharge, 0},
		{"refused-balance", refuse, newBalanceCall, "endpoint_failed", journal.NotRun, noCharge, 0},
		{"cut-whole", cut, newUnstreamedChat, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"cut-stream-before-a-frame", cut, newStreamedChat, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"cut-stream-after-frames", cutLater, newStreamedChat, "endpoint_failed", journal.Ran, deliveredTokensCharge, 1},
		{"cut-redeem", cut, newRedemption, "endpoint_failed", journal.Unknown, redeemCharge, 1},
		{"cut-balance", cut, newBalanceCall, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"stalled-whole", stall, newUnstreamedChat, "timed_out", journal.Unknown, noCharge, anyRuns},
		{"stalled-stream-before-a-frame", stall, newStreamedChat, "timed_out", journal.Unknown, noCharge, anyRuns},
		{"stalled-stream-after-frames", stallLater, newStreamedChat, "timed_out", journal.Ran, deliveredTokensCharge, 1},
		{"stalled-redeem", stall, newRedemption, "timed_out", journal.Unknown, redeemCharge, 1},
		{"stalled-balance", stall, newBalanceCall, "timed_out", journal.Unknown, noCharge, anyRuns},
		{"late-whole", delay, newUnstreamedChat, "timed_out", journal.Unknown, noCharge, anyRuns},
		{"late-redeem", delay, newRedemption, "timed_out", journal.Unknown, redeemCharge, 1},
		{"crossed-whole", wrong, newUnstreamedChat, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"crossed-stream", wrong, newStreamedChat, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"crossed-redeem", wrong, newRedemption, "endpoint_failed", journal.Unknown, redeemCharge, 1},
		{"crossed-balance", wrong, newBalanceCall, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"dropped-whole", drop, newUnstreamedChat, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"dropped-stream", drop, newStreamedChat, "endpoint_failed", journal.Unknown, noCharge, anyRuns},
		{"dropped-redeem", drop, newRedemption, "endpoint_failed", journal.Unknown, redeemCharge, 1},
		{"overlong-stream", ignore, newStreamedChat, "truncated", journal.Ran, deliveredTokensCharge, 1},
	}
}

func TestEndpointFaults(t *testing.T) {
	f := harness.StartFleet(t, harness.Config{Network: 17, Routers: 1, Endpoints: 1})
	f.MustApply(t, harness.DeclarationsWithShortTimeouts())
	f.AwaitReady(t)
	caller := harness.NewClient(t)
	for _, test := range faultCases() {
		t.Run(test.name, func(t *testing.T) { checkFault(t, f, caller, test) })
	}
	f.AwaitBills(t, 0).Check(t)
}

// checkFault sends one call while the endpoint injects the fault, then waits until
// calls succeed again.
func checkFault(t *testing.T, f *harness.Fleet, caller *harness.Client, test faultCase) {
	t.Helper()
	before := countRuns(t, f)
	f.Endpoints[0].SetFaults(t, test.fault)
	got := caller.Send(t.Context(), f.Routers[0].CallerAddress(), test.work(test.name).Call)
	f.Endpoints[0].SetFaults(t, harness.EndpointFaults{})
	if got.Failure == nil || got.Failure.Code != test.code || got.RunStatus != string(test.run) {
		t.Errorf("caller: got status %d, failure %+v, error %v, want %s and %s", got.Status, got.Failure, got.Err, test.code, test.run)
	}
	runs, err := f.ReadRuns()
	if err != nil || len(runs) != before+1 {
		t.Fatalf("endpoint: got %d request ids (%v), want %d", len(runs), err, before+1)
	}
	last := runs[before]
	if test.runs >= 0 && last.Runs != test.runs {
		t.Errorf("endpoint: got %d runs, want %d", last.Runs, test.runs)
	}
	bill := awaitFinal(t, f, ident.Request(last.RequestID))
	if want := test.charge(got); bill.Charge != want || bill.Run != test.run {
		t.Errorf("bill: got %d credits and %s, want %d and %s", bill.Charge, bill.Run, want, test.run)
	}
	harness.Await(t, "calls to succeed again", func() bool {
		return caller.Send(t.Context(), f.Routers[0].CallerAddress(), newBalanceCall("again").Call).OK()
	})
}

func countRuns(t *testing.T, f *harness.Fleet) int {
	t.Helper()
	runs, err := f.ReadRuns()
	if err != nil {
		t.Fatalf("runs: got %v, want no error", err)
	}
	return len(runs)
}

// awaitFinal waits for the final bill of the request.
func awaitFinal(t *testing.T, f *harness.Fleet, request ident.Request) journal.Entry {
	t.Helper()
	var bill journal.Entry
	harness.Await(t, "the final bill of "+string(request), func() bool {
		read, err := f.ReadRecords(t.Context())
		bill = read.Bills[request]
		return err == nil && bill.State == journal.Final
	})
	return bill
}
