package endpoint_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
)

var (
	hall  = vm.Locality{Region: "western", AvailabilityZone: "colombo-hall"}
	depot = vm.Locality{Region: "central", AvailabilityZone: "kandy-depot"}
	pools = []declaration.Pool{{Name: "large", Kind: declaration.EndpointPool, Port: 80}}
)

func machine(name string, locality vm.Locality, state vm.State) vm.VM {
	return vm.VM{Name: name, Address: "127.0.0.1", Pool: "large", Locality: locality, State: state}
}

func newTable() (*endpoint.Table, *clock.Fake) {
	clk := clock.NewFake()
	return endpoint.NewTable(endpoint.Defaults(hall, "a"), clk), clk
}

func usable(table *endpoint.Table) []string {
	var names []string
	for _, state := range table.View().InPool("large") {
		if state.Usable() {
			names = append(names, state.VM.Name)
		}
	}
	return names
}

func TestLeavingEndpointIsExcludedUntilRestored(t *testing.T) {
	live := []vm.VM{machine("m1", hall, vm.Live), machine("m2", hall, vm.Live)}
	sources := []struct {
		name   string
		report func(*endpoint.Table, *endpoint.State, time.Time)
	}{
		{"listed as leaving", func(table *endpoint.Table, _ *endpoint.State, _ time.Time) {
			table.Update([]vm.VM{machine("m1", hall, vm.Leaving), live[1]}, pools)
		}},
		{"removed from list", func(table *endpoint.Table, _ *endpoint.State, _ time.Time) {
			table.Update(live[1:], pools)
		}},
		{"report", func(_ *endpoint.Table, state *endpoint.State, now time.Time) {
			state.ApplyReport(endpoint.Report{State: vm.Leaving, RequestedAt: now, ReceivedAt: now})
		}},
		{"response", func(_ *endpoint.Table, state *endpoint.State, now time.Time) {
			state.MarkLeaving(endpoint.ByResponse, now)
		}},
	}
	restores := []struct {
		name           string
		wait           time.Duration
		requestedAfter time.Duration
		want           bool
	}{
		{"list alone within hold", 29 * time.Second, 0, false},
		{"list alone after hold", 30 * time.Second, 0, true},
		{"report requested before leaving", time.Second, -time.Second, false},
		{"report requested after leaving", time.Second, time.Second, true},
	}
	for _, source := range sources {
		for _, restore := range restores {
			t.Run(source.name+"/"+restore.name, func(t *testing.T) {
				table, clk := newTable()
				table.Update(live, pools)
				state := find(table, "m1")
				began := clk.Now()
				source.report(table, state, began)
				if slices.Contains(usable(table), "m1") {
					t.Fatal("m1 after leaving: got usable, want excluded")
				}
				clk.Advance(restore.wait)
				if restore.requestedAfter != 0 {
					state.ApplyReport(endpoint.Report{State: vm.Live, RequestedAt: began.Add(restore.requestedAfter)})
				}
				table.Update(live, pools)
				if got := slices.Contains(usable(table), "m1"); got != restore.want {
					t.Errorf("m1 usable: got %t, want %t", got, restore.want)
				}
				if got := find(table, "m1"); got != state {
					t.Error("state of m1: got a new one, want the same")
				}
			})
		}
	}
}

func TestPolledAreNearestUpToBound(t *testing.T) {
	config := endpoint.Defaults(hall, "a")
	config.MaxPolled = 3
	table := endpoint.NewTable(config, clock.NewFake())
	table.Update([]vm.VM{
		machine("far1", depot, vm.Live),
		machine("near1", hall, vm.Live),
		machine("far2", depot, vm.Live),
		machine("near2", hall, vm.Live),
	}, pools)
	var far int
	for _, state := range table.View().Polled() {
		if state.VM.Locality == depot {
			far++
		}
	}
	if got := len(table.View().Polled()); got != 3 || far != 1 {
		t.Errorf("polled: got %d with %d far, want 3 with 1 far", got, far)
	}
}

func find(table *endpoint.Table, name string) *endpoint.State {
	for _, state := range table.View().InPool("large") {
		if state.VM.Name == name {
			return state
		}
	}
	return nil
}

// An endpoint that announced that it leaves for good got requests again once the list, which
// lags behind, or an earlier report showed it as live.
func TestRetiringEndpointStaysExcluded(t *testing.T) {
	live := []vm.VM{machine("m1", hall, vm.Live), machine("m2", hall, vm.Live)}
	table, clk := newTable()
	table.Update(live, pools)
	state := find(table, "m1")
	state.MarkLeaving(endpoint.ByAnnouncement, clk.Now())
	clk.Advance(10 * time.Minute)
	table.Update(live, pools)
	state.ApplyReport(endpoint.Report{State: vm.Live, RequestedAt: clk.Now(), ReceivedAt: clk.Now()})
	state.MarkLeaving(endpoint.ByResponse, clk.Now())
	clk.Advance(10 * time.Minute)
	table.Update(live, pools)
	if slices.Contains(usable(table), "m1") {
		t.Error("listed as live, reported and misdirected since: got usable, want excluded")
	}
	// An outage of the platform removes the entry for a while.
	table.Update(live[1:], pools)
	clk.Advance(endpoint.RetiringHold - 1)
	table.Update(live[1:], pools)
	table.Update(live, pools)
	if slices.Contains(usable(table), "m1") {
		t.Error("listed again: got usable, want excluded")
	}
	restarted := machine("m1", hall, vm.Live)
	restarted.Incarnation = "2"
	table.Update([]vm.VM{restarted, live[1]}, pools)
	if !slices.Contains(usable(table), "m1") {
		t.Error("started anew: got excluded, want usable")
	}
}

func TestParseRetryAfter(t *testing.T) {
	tests := []struct {
		name   string
		status int
		value  string
		want   time.Duration
	}{
		{"whole seconds", 503, "3", 3 * time.Second},
		{"fraction", 503, " 0.25 ", 250 * time.Millisecond},
		{"no value", 503, "", 0},
		{"zero", 503, "0", 0},
		{"negative", 503, "-2", 0},
		{"no number", 503, "NaN", 0},
		{"too large", 503, "1e300", endpoint.MaxRetryAfter},
		{"infinite", 503, "Inf", endpoint.MaxRetryAfter},
		{"date", 503, "Wed, 21 Oct 2026 07:28:00 GMT", 0},
		{"success", 200, "3", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := endpoint.ParseRetryAfter(test.status, http.Header{"Retry-After": {test.value}}); got != test.want {
				t.Errorf("retry after: got %s, want %s", got, test.want)
			}
		})
	}
}
