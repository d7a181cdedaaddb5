package proof_test

import (
	"fmt"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/proof/process/harness"
)

// TestHomeRegions runs a fleet in three regions with a route whose home is the second one.
// Its requests arrive at routers of all regions and run only at the endpoint of the home,
// also once that endpoint leaves.
func TestHomeRegions(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 25, Routers: 3, Endpoints: 3})
	const route = "target = redeem"
	unknown := f.WriteDeclarations(t, harness.DeclarationsWith(route, route+"\nregions = central, centrall"))
	if got := f.RunCLI("apply", "--dir", unknown); got.Exit != exitFaults || !strings.Contains(got.Output, `region "centrall" is not known`) {
		t.Errorf("unknown region: got exit %d, want %d\n%s", got.Exit, exitFaults, got.Output)
	}
	f.MustApply(t, harness.DeclarationsWith(route, route+"\nregions = central"))
	client, home := harness.NewClient(t), f.Endpoints[1]
	const calls = 12
	for index := range calls {
		operation := harness.ServiceCall(harness.HallKey, "redeem", fmt.Sprintf("homes-%d", index))
		if got := client.Send(t.Context(), f.Routers[index%len(f.Routers)].CallerAddress(), operation.Call); !got.OK() {
			t.Fatalf("call %d: got status %d, %v, want 200", index, got.Status, got.Err)
		}
	}
	if got := countAttempts(t, home); got != calls {
		t.Errorf("attempts at home: got %d, want %d", got, calls)
	}
	leaving := home.VM
	leaving.State = vm.Leaving
	updateListedVM(t, f, leaving)
	for index, router := range f.Routers {
		harness.Await(t, router.VM.Name+" to refuse as not run", func() bool {
			operation := harness.ServiceCall(harness.HallKey, "redeem", fmt.Sprintf("refused-%d", index))
			got := client.Send(t.Context(), router.CallerAddress(), operation.Call)
			return got.NotRun() && got.Failure != nil && got.Failure.Code == "home_unavailable"
		})
	}
	for _, elsewhere := range []*harness.Endpoint{f.Endpoints[0], f.Endpoints[2]} {
		if got := countAttempts(t, elsewhere); got != 0 {
			t.Errorf("attempts at %s in %s: got %d, want 0", elsewhere.VM.Name, elsewhere.VM.Region, got)
		}
	}
	located, err := client.Locate(t.Context(), f.Routers[0].CallerAddress(), harness.HallKey)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, address := range located.Addresses {
		got = append(got, address.VM)
	}
	if want := "entry-1 entry-2"; strings.Join(got, " ") != want {
		t.Errorf("located: got %v, want the routers of the own region and of the home, %s", got, want)
	}
}
