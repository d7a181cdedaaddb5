package proof_test

import (
	"net/http"
	"strings"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// The VM of the tests and the crowds that meet it. The limits of single requests are those
// of the deployment's settings for the head and the default for the body. The bounds follow
// from the VM alone.
const (
	vmMemory      = 64 << 20
	vmDescriptors = 400
	// reservedDescriptors are those of the VM that are not sockets or pipes.
	reservedDescriptors = 200
	maxSockets          = vmDescriptors - reservedDescriptors
	// maxBodyGrowth bounds what bodies that stay open add to the memory at rest.
	maxBodyGrowth = vmMemory / 4

	crowdClients       = 300
	mixedCrowdClients  = 40
	crowdAttempts      = 3
	crowdBodyBytes     = 1 << 20
	crowdHeaderBytes   = 64 << 10
	crowdVMSettings    = "[vm]\nmemory_mb = 64\ndescriptors = 400\n"
	crowdLimitSettings = "[limits]\nmax_header_bytes = 65536\n"
)

// crowdTest is a test of one kind of crowd.
type crowdTest struct {
	network int
	kinds   []harness.CrowdKind
	clients int
	// maxGrowth bounds the growth of the memory above that at rest. Zero is no bound beside
	// the memory of the VM.
	maxGrowth int64
}

func TestCrowdOfShortHeaderLines(t *testing.T) {
	testCrowd(t, crowdTest{network: 61, kinds: []harness.CrowdKind{harness.ShortLines}, clients: crowdClients})
}

func TestCrowdOfOddHeaderLines(t *testing.T) {
	testCrowd(t, crowdTest{network: 62, kinds: []harness.CrowdKind{harness.OddLines}, clients: crowdClients})
}

func TestCrowdOfWholeBodies(t *testing.T) {
	testCrowd(t, crowdTest{network: 63, kinds: []harness.CrowdKind{harness.WholeBodies}, clients: crowdClients})
}

func TestCrowdOfBodiesInPieces(t *testing.T) {
	testCrowd(t, crowdTest{network: 64, kinds: []harness.CrowdKind{harness.PiecedBodies}, clients: crowdClients, maxGrowth: maxBodyGrowth})
}

func TestCrowdOfStoppedBodies(t *testing.T) {
	testCrowd(t, crowdTest{network: 65, kinds: []harness.CrowdKind{harness.StoppedBodies}, clients: crowdClients, maxGrowth: maxBodyGrowth})
}

func TestCrowdOfEndlessChunks(t *testing.T) {
	testCrowd(t, crowdTest{network: 66, kinds: []harness.CrowdKind{harness.EndlessChunks}, clients: crowdClients, maxGrowth: maxBodyGrowth})
}

func TestCrowdOfLargeHeads(t *testing.T) {
	testCrowd(t, crowdTest{network: 67, kinds: []harness.CrowdKind{harness.LargeHeads}, clients: crowdClients})
}

func TestCrowdOfEndlessHeads(t *testing.T) {
	testCrowd(t, crowdTest{network: 68, kinds: []harness.CrowdKind{harness.EndlessHeads}, clients: crowdClients})
}

func TestCrowdOfEmptyLines(t *testing.T) {
	testCrowd(t, crowdTest{network: 69, kinds: []harness.CrowdKind{harness.EmptyLines}, clients: crowdClients})
}

func TestCrowdOfAllKinds(t *testing.T) {
	testCrowd(t, crowdTest{network: 70, kinds: harness.CrowdKinds(), clients: mixedCrowdClients})
}

func TestCrowdOfManyMessages(t *testing.T) {
	testCrowd(t, crowdTest{network: 72, kinds: []harness.CrowdKind{harness.ManyMessages}, clients: crowdClients})
}

// testCrowd sends a crowd to a router, and ordinary requests beside it and after it.
func testCrowd(t *testing.T, test crowdTest) {
	t.Helper()
	f := newCrowdFleet(t, test.network)
	router := f.Routers[0]
	callers := harness.StartCallers(t, 0, f.CallerAddresses(), harness.RetryAllowed, nil)
	checkAnswered(t, callers.Do(t.Context(), 0, harness.ServiceCall(harness.HallKey, "balance", "before")))
	monitor := router.MonitorResources(t)
	crowd := &harness.Crowd{
		Address:        router.CallerAddress(),
		Kinds:          test.kinds,
		Clients:        test.clients,
		Attempts:       crowdAttempts,
		MaxBodyBytes:   crowdBodyBytes,
		MaxHeaderBytes: crowdHeaderBytes,
	}
	crowd.Start(t)
	checkAnswered(t, callers.Do(t.Context(), 0, harness.ServiceCall(harness.HallKey, "balance", "beside")))
	crowd.Leave()
	checkAnswered(t, callers.Do(t.Context(), 0, harness.ServiceCall(harness.HallKey, "balance", "after")))
	checkResources(t, test, monitor)
	read := f.AwaitBills(t, 0)
	read.Check(t)
}

// checkResources ends the observation and checks that the process runs within its bounds.
func checkResources(t *testing.T, test crowdTest, monitor *harness.ResourceMonitor) {
	t.Helper()
	got := monitor.Stop(t)
	t.Logf("memory at rest %d KiB, peak %d KiB, peak of sockets %d", monitor.RestBytes>>10, got.PeakBytes>>10, got.PeakSockets)
	if !got.Running {
		t.Error("router: got ended, want running")
	}
	if got.PeakBytes > vmMemory {
		t.Errorf("peak of memory: got %d, want at most %d", got.PeakBytes, vmMemory)
	}
	if growth := got.PeakBytes - monitor.RestBytes; test.maxGrowth > 0 && growth > test.maxGrowth {
		t.Errorf("growth of memory: got %d, want at most %d", growth, test.maxGrowth)
	}
	if got.PeakSockets > maxSockets {
		t.Errorf("peak of sockets: got %d, want at most %d", got.PeakSockets, maxSockets)
	}
}

// newCrowdFleet starts a fleet whose router has the VM of the tests.
func newCrowdFleet(t *testing.T, network int) *harness.Fleet {
	t.Helper()
	return harness.NewFleet(t, harness.Config{
		Network:   network,
		Routers:   1,
		Endpoints: 1,
		Settings:  crowdVMSettings + crowdLimitSettings,
	})
}

func checkAnswered(t *testing.T, got harness.Outcome) {
	t.Helper()
	if !got.Answered || got.ResponseError != nil {
		t.Errorf("%s: got %+v and %v after %d attempts, want a result",
			got.Operation.Name, got.LastReply, got.ResponseError, got.Attempts)
	}
}

// TestSingleLargeRequestsAreServed sends requests at the limits, one at a time.
func TestSingleLargeRequestsAreServed(t *testing.T) {
	f := newCrowdFleet(t, 71)
	client := harness.NewClient(t)
	address := f.Routers[0].CallerAddress()
	t.Run("body of the maximum size", func(t *testing.T) {
		operation := harness.ServiceCall(harness.HallKey, "balance", "whole")
		operation.Call.Body = strings.Repeat("x", crowdBodyBytes)
		if got := client.Send(t.Context(), address, operation.Call); !got.OK() {
			t.Errorf("got %d, %+v, %v, want a result", got.Status, got.Failure, got.Err)
		}
	})
	for _, kind := range []harness.CrowdKind{harness.ShortLines, harness.OddLines, harness.PiecedBodies, harness.StoppedBodies} {
		t.Run(string(kind), func(t *testing.T) { checkSingle(t, address, kind) })
	}
}

// checkSingle sends a request of the kind and the rest of its body.
func checkSingle(t *testing.T, address string, kind harness.CrowdKind) {
	t.Helper()
	single := &harness.Crowd{Address: address, MaxBodyBytes: crowdBodyBytes, MaxHeaderBytes: crowdHeaderBytes}
	rest := "x"
	if kind == harness.ShortLines || kind == harness.OddLines {
		rest = strings.Repeat("x", harness.CrowdLinesBodyBytes)
	}
	status, err := single.SendWhole(t.Context(), kind, rest)
	if err != nil || status != http.StatusOK {
		t.Errorf("got %d, %v, want 200", status, err)
	}
}
