package harness

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/version/generation"
)

// EndpointRun is what an endpoint counted for one request id.
type EndpointRun struct {
	Endpoint         string
	RequestID        string `json:"request_id"`
	Attempts         int    `json:"attempts"`
	Runs             int    `json:"runs"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	Path             string `json:"path"`
	Completed        bool   `json:"completed"`
}

// Records is what store and endpoints hold after a test.
type Records struct {
	Entries   []journal.Entry
	Bills     map[ident.Request]journal.Entry
	Accounts  map[string]account.Account
	Purchased map[string]int64
	Runs      []EndpointRun
}

// ReadRecords reads bills, accounts, purchases and runs.
func (f *Fleet) ReadRecords(ctx context.Context) (Records, error) {
	read := Records{Accounts: make(map[string]account.Account), Purchased: make(map[string]int64)}
	if err := f.readEntries(ctx, &read); err != nil {
		return Records{}, err
	}
	if err := f.readAccounts(ctx, &read); err != nil {
		return Records{}, err
	}
	inForce, err := generation.Fetch(ctx, f.objects)
	if err != nil {
		return Records{}, err
	}
	for _, budget := range inForce.Set.Budgets {
		read.Purchased[budget.Name] = budget.Purchased
	}
	read.Runs, err = f.ReadRuns()
	read.Bills = journal.Merge(read.Entries)
	return read, err
}

func (f *Fleet) readEntries(ctx context.Context, into *Records) error {
	return f.eachObject(ctx, journal.Prefix, func(value []byte) error {
		segment, err := journal.DecodeSegment(value)
		into.Entries = append(into.Entries, segment.Entries...)
		return err
	})
}

func (f *Fleet) readAccounts(ctx context.Context, into *Records) error {
	return f.eachObject(ctx, account.Prefix, func(value []byte) error {
		page, err := account.Decode(value)
		maps.Copy(into.Accounts, page.Accounts)
		return err
	})
}

func (f *Fleet) eachObject(ctx context.Context, prefix string, visit func(value []byte) error) error {
	listed, err := f.objects.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, item := range listed {
		object, err := f.objects.Get(ctx, item.Name)
		if err != nil {
			return err
		}
		if err := visit(object.Value); err != nil {
			return fmt.Errorf("%s: %w", item.Name, err)
		}
	}
	return nil
}

// ReadRuns reads what all endpoints counted.
func (f *Fleet) ReadRuns() ([]EndpointRun, error) {
	var all []EndpointRun
	for _, endpoint := range f.Endpoints {
		runs, err := GetJSON[[]EndpointRun](endpoint.URL("/admin/runs"))
		if err != nil {
			return nil, err
		}
		for _, run := range runs {
			run.Endpoint = endpoint.VM.Name
			all = append(all, run)
		}
	}
	return all, nil
}

// AwaitBills waits until each request that ran has a bill in the store and at most
// that many bills are open, and returns the totals.
func (f *Fleet) AwaitBills(t *testing.T, open int) Records {
	t.Helper()
	var read Records
	Await(t, fmt.Sprintf("bills of all runs, at most %d of them open", open), func() bool {
		var err error
		read, err = f.ReadRecords(t.Context())
		return err == nil && read.unbilled() == 0 && read.open() <= open
	})
	return read
}

// unbilled counts the requests that ran and have no bill.
func (s Records) unbilled() int {
	missing := 0
	for _, run := range s.Runs {
		if _, ok := s.Bills[ident.Request(run.RequestID)]; !ok && run.Runs > 0 {
			missing++
		}
	}
	return missing
}

// open counts the bills that are not final.
func (s Records) open() int {
	count := 0
	for _, bill := range s.Bills {
		if bill.State == journal.Open {
			count++
		}
	}
	return count
}

// Billed returns the sum of the bills of the budget.
func (s Records) Billed(budget string) int64 {
	return journal.Totals(s.Entries)[budget].Charge
}

// Check asserts what must hold after any failure.
func (s Records) Check(t *testing.T) {
	t.Helper()
	s.checkSpend(t)
	s.checkBilledOnce(t)
	s.checkRunsOnce(t)
	s.checkNotRun(t)
	t.Logf("totals: %d bills, %d open, %d request ids at endpoints", len(s.Bills), s.open(), len(s.Runs))
}

// checkSpend asserts that bills stay within rights and rights within purchases.
func (s Records) checkSpend(t *testing.T) {
	t.Helper()
	for budget, bought := range s.Purchased {
		out := s.Accounts[budget].Outstanding()
		if out > bought {
			t.Errorf("budget %s: got %d granted and not returned, want at most %d purchased", budget, out, bought)
		}
		if billed := s.Billed(budget); billed > out {
			t.Errorf("budget %s: got %d billed, want at most %d granted and not returned", budget, billed, out)
		}
	}
	for budget := range journal.Totals(s.Entries) {
		if _, ok := s.Purchased[budget]; !ok {
			t.Errorf("budget %s: got bills, want none for an undeclared budget", budget)
		}
	}
}

// checkBilledOnce asserts that a request has one final charge.
func (s Records) checkBilledOnce(t *testing.T) {
	t.Helper()
	for _, entry := range s.Entries {
		bill := s.Bills[entry.Request]
		if entry.State == journal.Final && (entry.Charge != bill.Charge || entry.Budget != bill.Budget) {
			t.Errorf("request %s: got final charges %d and %d, want one", entry.Request, bill.Charge, entry.Charge)
		}
	}
}

// checkRunsOnce asserts that work of the service that is not idempotent ran at
// most once, and was billed at most once under all its request ids.
func (s Records) checkRunsOnce(t *testing.T) {
	t.Helper()
	runs := make(map[string]int)
	requests := make(map[string]map[string]bool)
	for _, run := range s.Runs {
		if !strings.HasPrefix(run.Path, "/redeem/") {
			continue
		}
		runs[run.Path] += run.Runs
		if requests[run.Path] == nil {
			requests[run.Path] = make(map[string]bool)
		}
		requests[run.Path][run.RequestID] = true
	}
	for path, count := range runs {
		if count > 1 {
			t.Errorf("%s: got %d runs, want at most 1", path, count)
		}
		var charged int64
		for request := range requests[path] {
			charged += s.Bills[ident.Request(request)].Bill()
		}
		if charged > RedeemPrice {
			t.Errorf("%s: got %d credits billed, want at most %d", path, charged, RedeemPrice)
		}
	}
}

// checkNotRun asserts that a bill that says not_run is true and free.
func (s Records) checkNotRun(t *testing.T) {
	t.Helper()
	for _, run := range s.Runs {
		bill := s.Bills[ident.Request(run.RequestID)]
		if run.Runs > 0 && bill.Run == journal.NotRun {
			t.Errorf("request %s: got not_run, want another word: %s ran it", run.RequestID, run.Endpoint)
		}
	}
	for request, bill := range s.Bills {
		if bill.Run == journal.NotRun && bill.Bill() != 0 {
			t.Errorf("request %s: got %d credits billed for not_run, want 0", request, bill.Bill())
		}
	}
}

// ran returns how often endpoints ran the path.
func (s Records) ran(path string) int {
	count := 0
	for _, run := range s.Runs {
		if run.Path == path {
			count += run.Runs
		}
	}
	return count
}
