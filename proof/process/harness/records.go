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

// EndpointRun is the record of one request id at an endpoint.
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

// Records is the content of the store and of the endpoints' run counters after a test.
type Records struct {
	Entries   []journal.Entry
	Bills     map[ident.Request]journal.Entry
	Accounts  map[string]account.Account
	Purchased map[string]int64
	Runs      []EndpointRun
}

// ReadRecords reads journal entries, accounts and purchased totals from the store,
// and the runs from the endpoints.
func (f *Fleet) ReadRecords(ctx context.Context) (Records, error) {
	records := Records{Accounts: make(map[string]account.Account), Purchased: make(map[string]int64)}
	if err := f.readEntries(ctx, &records); err != nil {
		return Records{}, err
	}
	if err := f.readAccounts(ctx, &records); err != nil {
		return Records{}, err
	}
	active, err := generation.Fetch(ctx, f.objects)
	if err != nil {
		return Records{}, err
	}
	for _, budget := range active.Set.Budgets {
		records.Purchased[budget.Name] = budget.Purchased
	}
	records.Runs, err = f.ReadRuns()
	records.Bills = journal.Merge(records.Entries)
	return records, err
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

// ReadRuns reads the run records of all endpoints.
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
// maxOpen bills are open, and returns the records.
func (f *Fleet) AwaitBills(t *testing.T, maxOpen int) Records {
	t.Helper()
	var records Records
	Await(t, fmt.Sprintf("bills of all runs, at most %d of them open", maxOpen), func() bool {
		var err error
		records, err = f.ReadRecords(t.Context())
		return err == nil && records.countUnbilled() == 0 && records.countOpen() <= maxOpen
	})
	return records
}

// countUnbilled counts the requests that ran and have no bill.
func (s Records) countUnbilled() int {
	missing := 0
	for _, run := range s.Runs {
		if _, ok := s.Bills[ident.Request(run.RequestID)]; !ok && run.Runs > 0 {
			missing++
		}
	}
	return missing
}

// countOpen counts the bills that are not final.
func (s Records) countOpen() int {
	count := 0
	for _, bill := range s.Bills {
		if bill.State == journal.Open {
			count++
		}
	}
	return count
}

// Billed returns the sum of the charges to the budget, in credits.
func (s Records) Billed(budget string) int64 {
	return journal.Totals(s.Entries)[budget].Charge
}

// Check asserts the invariants that hold after any failure.
func (s Records) Check(t *testing.T) {
	t.Helper()
	s.checkSpend(t)
	s.checkBilledOnce(t)
	s.checkRunsOnce(t)
	s.checkNotRun(t)
	t.Logf("totals: %d bills, %d open, %d request ids at endpoints", len(s.Bills), s.countOpen(), len(s.Runs))
}

// checkSpend asserts for each budget that the billed credits do not exceed the granted
// quota, and the granted quota does not exceed the purchased total.
func (s Records) checkSpend(t *testing.T) {
	t.Helper()
	for budget, purchased := range s.Purchased {
		outstanding := s.Accounts[budget].Outstanding()
		if outstanding > purchased {
			t.Errorf("budget %s: got %d granted and not returned, want at most %d purchased", budget, outstanding, purchased)
		}
		if billed := s.Billed(budget); billed > outstanding {
			t.Errorf("budget %s: got %d billed, want at most %d granted and not returned", budget, billed, outstanding)
		}
	}
	for budget := range journal.Totals(s.Entries) {
		if _, ok := s.Purchased[budget]; !ok {
			t.Errorf("budget %s: got bills, want none for an undeclared budget", budget)
		}
	}
}

// checkBilledOnce asserts that all final entries of a request have the same charge and
// budget.
func (s Records) checkBilledOnce(t *testing.T) {
	t.Helper()
	for _, entry := range s.Entries {
		bill := s.Bills[entry.Request]
		if entry.State == journal.Final && (entry.Charge != bill.Charge || entry.Budget != bill.Budget) {
			t.Errorf("request %s: got final charges %d and %d, want one", entry.Request, bill.Charge, entry.Charge)
		}
	}
}

// checkRunsOnce asserts that each operation of the non-idempotent service ran at most
// once, and was billed at most once across all its request ids.
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

// checkNotRun asserts that a request billed as not_run did not run and costs nothing.
func (s Records) checkNotRun(t *testing.T) {
	t.Helper()
	for _, run := range s.Runs {
		bill := s.Bills[ident.Request(run.RequestID)]
		if run.Runs > 0 && bill.Run == journal.NotRun {
			t.Errorf("request %s: got a bill with not_run, want another status: %s ran it", run.RequestID, run.Endpoint)
		}
	}
	for request, bill := range s.Bills {
		if bill.Run == journal.NotRun && bill.Bill() != 0 {
			t.Errorf("request %s: got %d credits billed for not_run, want 0", request, bill.Bill())
		}
	}
}

// countRuns returns how often the endpoints ran requests with the path.
func (s Records) countRuns(path string) int {
	count := 0
	for _, run := range s.Runs {
		if run.Path == path {
			count += run.Runs
		}
	}
	return count
}
