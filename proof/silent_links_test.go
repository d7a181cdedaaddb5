package proof_test

import (
	"fmt"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// silences are the ways in which open connections fall silent.
var silences = []struct {
	name       string
	directions []direction
}{
	{"both ways", []direction{toServer, toClient}},
	{"to the server", []direction{toServer}},
	{"to the client", []direction{toClient}},
}

// TestSilentPlatformLinks silences the open connections between routers and the
// platform. Work and publications go on over fresh connections.
func TestSilentPlatformLinks(t *testing.T) {
	t.Parallel()
	network := harness.Config{Network: 21, Routers: 3, Endpoints: 2, EndpointFlags: busyEndpoints}
	network.PlatformAddress = harness.Loopback(network.Network, 2) + ":" + harness.PlatformPort
	between := newRelay(t, network.PlatformAddress, harness.Loopback(network.Network, 1)+":"+harness.PlatformPort)
	f := harness.NewFleet(t, network)
	for number, silence := range silences {
		t.Run(silence.name, func(t *testing.T) {
			checkSilence(t, f, between, silence.directions, func() {
				f.MustApply(t, harness.DeclarationsWith("max_output = 1024", fmt.Sprintf("max_output = %d", 2048+number)))
			})
		})
	}
}

// TestSilentEndpointLinks silences the open connections between routers and one
// of two endpoints. It serves on over fresh connections.
func TestSilentEndpointLinks(t *testing.T) {
	t.Parallel()
	f := harness.StartFleet(t, harness.Config{Network: 22, Routers: 3, Endpoints: 2, EndpointFlags: busyEndpoints})
	moved := f.Endpoints[0].VM
	moved.Address = f.Address(180)
	between := newRelay(t, moved.Address+":"+harness.EndpointPort, f.Endpoints[0].VM.Address+":"+harness.EndpointPort)
	list(t, f, moved)
	f.MustApply(t, harness.DeclarationsWithShortTimeouts())
	f.AwaitReady(t)
	for _, silence := range silences {
		t.Run(silence.name, func(t *testing.T) {
			checkSilence(t, f, between, silence.directions, func() { awaitServing(t, f, f.Endpoints[0]) })
		})
	}
}

// checkSilence silences the open connections under load, waits for the sign of
// recovery, and asserts the totals.
func checkSilence(t *testing.T, f *harness.Fleet, silenced *relay, directions []direction, recovered func()) {
	t.Helper()
	callers := harness.StartCallers(t, workers, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
	callers.AwaitFinished(t, warmUp)
	harness.Await(t, "fresh connections through the relay", func() bool { return silenced.fresh() > 0 })
	silenced.silence(directions)
	callers.AwaitFinished(t, warmUp)
	recovered()
	callers.AwaitFinished(t, warmUp)
	outcomes := callers.Stop()
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
}
