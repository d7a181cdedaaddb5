package endpoint_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
)

const coldTime = 3 * time.Second

// coldPools declares a rate for cold endpoints. The table under test runs on no VM of the
// list, so that it sends nothing to a cold endpoint.
var coldPools = []declaration.Pool{{
	Name: "large", Kind: declaration.EndpointPool, Port: 80, ColdRate: 10, ColdTime: coldTime,
}}

func coldMachine(left time.Duration, revision int64) vm.VM {
	cold := machine("m1", hall, vm.Live)
	cold.ColdLeft, cold.ColdRevision = left, revision
	return cold
}

func TestReportInListEndsAndRestartsColdTime(t *testing.T) {
	tests := []struct {
		name   string
		first  vm.VM
		second vm.VM
		// after is when the second report arrives.
		after time.Duration
		// at is when the endpoint is looked at, from the start.
		at   time.Duration
		want bool
	}{
		{"still cold", coldMachine(coldTime, 1), coldMachine(time.Second, 2), time.Second, 1500 * time.Millisecond, true},
		{"warm by a later report", coldMachine(coldTime, 1), coldMachine(0, 0), time.Second, time.Second, false},
		{"less left by a later report", coldMachine(coldTime, 1), coldMachine(time.Second, 2), time.Second, 2 * time.Second, false},
		{"listed again unchanged", coldMachine(coldTime, 1), coldMachine(coldTime, 1), 2 * time.Second, coldTime, false},
		{"relayed with its age", coldMachine(coldTime, 1), coldMachine(time.Second, 1), time.Second, 2500 * time.Millisecond, true},
		{"read after it was relayed", coldMachine(time.Second, 1), coldMachine(coldTime, 1), time.Second / 2, time.Second, false},
		{"cold again", coldMachine(coldTime, 1), coldMachine(coldTime, 2), 2 * coldTime, 3*coldTime - 1, true},
		{"cold again before it was warm", coldMachine(coldTime, 1), coldMachine(coldTime, 2), time.Second, coldTime, true},
		{"unchanged without revisions", coldMachine(coldTime, 0), coldMachine(coldTime, 0), 2 * time.Second, coldTime, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, clk := newTable()
			table.Update([]vm.VM{test.first}, coldPools)
			clk.Advance(test.after)
			table.Update([]vm.VM{test.second}, coldPools)
			clk.Advance(test.at - test.after)
			if got := !find(table, "m1").Cold.Allows(clk.Now()); got != test.want {
				t.Errorf("cold %s after the first report: got %t, want %t", test.at, got, test.want)
			}
		})
	}
}

// A stale entry that says that the endpoint is cold must not keep it out for good, while
// the platform is unavailable.
func TestStaleEntryExpires(t *testing.T) {
	table, clk := newTable()
	for range 10 {
		table.Update([]vm.VM{coldMachine(coldTime, 1)}, coldPools)
		clk.Advance(coldTime / 2)
	}
	if got := table.View().Cold(clk.Now()); got != 0 {
		t.Errorf("cold endpoints: got %d, want 0", got)
	}
}

func TestPoolWithoutRateHasNoColdEndpoints(t *testing.T) {
	table, clk := newTable()
	table.Update([]vm.VM{coldMachine(coldTime, 1)}, pools)
	if !find(table, "m1").Cold.Take(clk.Now()) {
		t.Error("pool without a rate: got no request, want one")
	}
	table.Update([]vm.VM{coldMachine(coldTime, 1)}, coldPools)
	if got := table.View().Cold(clk.Now()); got != 1 {
		t.Errorf("cold endpoints after the pool got a rate: got %d, want 1", got)
	}
	table.Update([]vm.VM{coldMachine(coldTime, 1)}, pools)
	if got := table.View().Cold(clk.Now()); got != 0 {
		t.Errorf("cold endpoints after the pool lost its rate: got %d, want 0", got)
	}
}

func TestRelayedListHasTheColdTimeLeft(t *testing.T) {
	table, clk := newTable()
	list := []vm.VM{coldMachine(coldTime, 1), machine("m2", hall, vm.Live)}
	table.Update(list, coldPools)
	for _, want := range []time.Duration{coldTime, 2 * time.Second, time.Second, 0} {
		relayed := table.WithColdLeft(list, coldPools)
		if got := relayed[0].ColdLeft; got != want || relayed[1] != list[1] {
			t.Errorf("relayed: got %+v, want %s left", relayed, want)
		}
		receiver, _ := newTable()
		receiver.Update(relayed, coldPools)
		if got := !find(receiver, "m1").Cold.Allows(clk.Now()); want == 0 && got {
			t.Error("endpoint of an expired report: got cold, want warm")
		}
		clk.Advance(time.Second)
	}
	if list[0].ColdLeft != coldTime {
		t.Errorf("own list: got %s left, want it unchanged", list[0].ColdLeft)
	}
}
