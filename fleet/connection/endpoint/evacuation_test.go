package endpoint_test

import (
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/vm"
)

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	table, clk := newTable()
	list := []vm.VM{machine("m1", hall, vm.Live), machine("m2", depot, vm.Live)}
	table.Update(list, pools)
	inProgress := find(table, "m2")
	inProgress.Acquire(0)

	table.SetEvacuated([]string{depot.AvailabilityZone})
	table.Update(list, pools)
	if got, want := usable(table), []string{"m1"}; !slices.Equal(got, want) {
		t.Errorf("endpoints: got %v, want %v", got, want)
	}
	for _, polled := range table.View().Polled() {
		if polled.VM.AvailabilityZone == depot.AvailabilityZone {
			t.Errorf("polled: got %s of the evacuated zone, want none", polled.VM.Name)
		}
	}
	if !inProgress.Usable() || inProgress.InFlight.Load() != 1 {
		t.Error("request in progress: got its endpoint leaving, want it untouched")
	}

	// An endpoint that is added during the evacuation belongs to the zone too.
	list = append(list, machine("m3", depot, vm.Live))
	clk.Advance(time.Second)
	table.Update(list, pools)
	if got, want := usable(table), []string{"m1"}; !slices.Equal(got, want) {
		t.Errorf("endpoints after an addition: got %v, want %v", got, want)
	}
	table.SetEvacuated(nil)
	table.Update(list, pools)
	got := usable(table)
	slices.Sort(got)
	if want := []string{"m1", "m2", "m3"}; !slices.Equal(got, want) {
		t.Errorf("endpoints after the withdrawal: got %v, want %v", got, want)
	}
	if find(table, "m2") != inProgress {
		t.Error("m2: got a new state, want the one with its connections and requests")
	}
}

// TestReturningZoneStartsSlowly guards against a herd of requests at endpoints that became
// cold while their zone was evacuated.
func TestReturningZoneStartsSlowly(t *testing.T) {
	table, clk := newTable()
	list := []vm.VM{machine("m1", hall, vm.Live), machine("m2", depot, vm.Live)}
	table.Update(list, pools)
	table.SetEvacuated([]string{depot.AvailabilityZone})
	table.Update(list, pools)
	clk.Advance(time.Minute)
	table.SetEvacuated(nil)
	table.Update(list, pools)
	returnedAt := clk.Now()
	clk.Advance(time.Second)
	table.Update(list, pools)
	if got := find(table, "m2").SlowStartSince.Load(); !got.Equal(returnedAt) {
		t.Errorf("slow start of m2: got %s, want %s", got, returnedAt)
	}
	if got := find(table, "m1").SlowStartSince.Load(); !got.IsZero() {
		t.Errorf("slow start of m1: got %s, want none", got)
	}
}

// A zone may return with endpoints that were restarted, before the list says that they are
// cold. Without the presumption all routers send to them at once.
func TestReturningZoneIsPresumedCold(t *testing.T) {
	table, clk := newTable()
	list := []vm.VM{machine("m1", hall, vm.Live)}
	table.Update(list, coldPools)
	table.SetEvacuated([]string{hall.AvailabilityZone})
	table.Update(list, coldPools)
	clk.Advance(time.Minute)
	table.SetEvacuated(nil)
	table.Update(list, coldPools)
	cold := &find(table, "m1").Cold
	if cold.Allows(clk.Now()) {
		t.Error("endpoint of a zone that returned: got warm, want cold")
	}
	clk.Advance(coldTime)
	if !cold.Allows(clk.Now()) {
		t.Errorf("endpoint %s later: got cold, want warm", coldTime)
	}
}
