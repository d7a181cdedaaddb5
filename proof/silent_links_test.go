package proof_test

import (
	"fmt"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// silenceCases are the directions in which the relay drops bytes.
var silenceCases = []struct {
	name       string
	directions []direction
}{
	{"both ways", []direction{toServer, toClient}},
	{"to the server", []direction{toServer}},
	{"to the client", []direction{toClient}},
}

// TestSilentPlatformLinks drops all bytes of the open connections between routers and
// the platform. Requests and publications continue over new connections.
func TestSilentPlatformLinks(t *testing.T) {
	t.Parallel()
	config := harness.Config{Network: 21, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags}
	config.PlatformAddress = harness.Loopback(config.Network, 2) + ":" + harness.PlatformPort
	between := newRelay(t, config.PlatformAddress, harness.Loopback(config.Network, 1)+":"+harness.PlatformPort)
	f := harness.NewFleet(t, config)
	for number, silence := range silenceCases {
		t.Run(silence.name, func(t *testing.T) {
			checkSilence(t, f, between, silence.directions, func() {
				f.MustApply(t, harness.DeclarationsWith("max_output = 1024", fmt.Sprintf("max_output = %d", 2048+number)))
			})
		})
	}
}

// TestSilentEndpointLinks drops all bytes of the open connections between routers and
// one of two endpoints. The endpoint continues to serve over new connections.
func TestSilentEndpointLinks(t *testing.T) {
	t.Parallel()
	f := harness.StartFleet(t, harness.Config{Network: 22, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags})
	moved := f.Endpoints[0].VM
	moved.Address = f.Address(180)
	between := newRelay(t, moved.Address+":"+harness.EndpointPort, f.Endpoints[0].VM.Address+":"+harness.EndpointPort)
	updateListedVM(t, f, moved)
	f.MustApply(t, harness.DeclarationsWithShortTimeouts())
	f.AwaitReady(t)
	for _, silence := range silenceCases {
		t.Run(silence.name, func(t *testing.T) {
			checkSilence(t, f, between, silence.directions, func() { awaitServing(t, f, f.Endpoints[0]) })
		})
	}
}

// checkSilence drops the bytes of the open connections under load, waits for the
// recovery, and checks the records.
func checkSilence(t *testing.T, f *harness.Fleet, silenced *relay, directions []direction, awaitRecovery func()) {
	t.Helper()
	callers := harness.StartCallers(t, callerCount, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
	callers.AwaitFinished(t, warmUpOperations)
	harness.Await(t, "working connections through the relay", func() bool { return silenced.countWorking() > 0 })
	silenced.silence(directions)
	callers.AwaitFinished(t, warmUpOperations)
	awaitRecovery()
	callers.AwaitFinished(t, warmUpOperations)
	outcomes := callers.Stop()
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
}
