package rollout_test

import (
	"slices"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/jacinth/version/rollout"
)

func teamIn(regions ...string) declaration.Set {
	return declaration.Set{Teams: []declaration.Team{{Name: "hall", Regions: regions}}}
}

// An operator must be able to apply declarations while a region has lost all its VMs, but not
// with a region that never existed.
func TestOnlyUnknownRegionsAreRefused(t *testing.T) {
	machines := []vm.VM{{Name: "entry-1", Locality: vm.Locality{Region: "western"}}}
	tests := []struct {
		name string
		plan rollout.Plan
		want []string
	}{
		{"no regions", rollout.Plan{Set: teamIn()}, nil},
		{"region with a VM", rollout.Plan{Set: teamIn("western")}, nil},
		{"region that lost its VMs", rollout.Plan{Predecessor: teamIn("central"), Set: teamIn("western", "central")}, nil},
		{"unknown region", rollout.Plan{Predecessor: teamIn("central"), Set: teamIn("westren")}, []string{`team hall: regions: region "westren" is not known`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var faults *declaration.FaultsError
			var got []string
			if errors.As(test.plan.CheckRegions(machines), &faults) {
				for _, fault := range faults.Faults {
					got = append(got, fault.String())
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("faults: got %v, want %v", got, test.want)
			}
		})
	}
}
