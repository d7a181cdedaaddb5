package proof_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// simultaneousCalls is the number of calls that send the same redemption at the
// same time.
const simultaneousCalls = 12

// TestTicketNeedsNoStore sends a redemption with an idempotency key that a router
// issued to all routers while the platform is down. It runs once, without the store.
func TestTicketNeedsNoStore(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 31, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags})
	callers := harness.StartCallers(t, callerCount, f.CallerAddresses(), harness.RetryAllowed, harness.MixedOperations())
	awaitUnspentCredits(t, f, creditsBeforeOutage)
	outcomes := callers.Stop()
	f.SetPlatformFaults(t, harness.PlatformFaults{Down: true})
	redeemConcurrently(t, f, "ticketed", requestTicket(t, f))
	f.SetPlatformFaults(t, harness.PlatformFaults{})
	read := f.AwaitBills(t, 0)
	read.Check(t)
	read.CheckOutcomes(t, outcomes)
	checkRunsOf(t, read, "/redeem/ticketed", 1)
}

// TestSimultaneousRepeats sends a redemption with an idempotency key of the caller's
// own to all routers at once. It runs once.
func TestSimultaneousRepeats(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 32, Routers: 3, Endpoints: 2, EndpointFlags: loadedEndpointFlags})
	redeemConcurrently(t, f, "repeated", "key of the caller")
	read := f.AwaitBills(t, 0)
	read.Check(t)
	checkRunsOf(t, read, "/redeem/repeated", 1)
}

// requestTicket requests an idempotency key that a router issues.
func requestTicket(t *testing.T, f *harness.Fleet) string {
	t.Helper()
	got := harness.NewClient(t).Send(t.Context(), f.Routers[0].CallerAddress(), harness.Call{Method: http.MethodGet, Path: "/locate?tickets=1", Key: harness.AnnexKey})
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.Unmarshal([]byte(got.Body), &answer); err != nil || len(answer.Tickets) != 1 {
		t.Fatalf("tickets: got %+v, want one", got)
	}
	return answer.Tickets[0]
}

// redeemConcurrently sends the same redemption with the key to all routers and
// asserts that each call gets the same complete response.
func redeemConcurrently(t *testing.T, f *harness.Fleet, name, key string) {
	t.Helper()
	operation := harness.ServiceCall(harness.AnnexKey, "redeem", name)
	operation.Call.Header = http.Header{"Idempotency-Key": {key}}
	client := harness.NewClient(t)
	replies := make([]harness.Reply, simultaneousCalls)
	var group sync.WaitGroup
	for index := range replies {
		address := f.Routers[index%len(f.Routers)].CallerAddress()
		group.Go(func() { replies[index] = client.Send(t.Context(), address, operation.Call) })
	}
	group.Wait()
	for index, got := range replies {
		if !got.OK() || got.Body != replies[0].Body || operation.CheckBody(got.Body) != nil {
			t.Errorf("reply %d: got %+v, want the complete response of reply 0", index, got)
		}
	}
}

// checkRunsOf asserts how often the endpoints ran requests with the path.
func checkRunsOf(t *testing.T, s harness.Records, path string, want int) {
	t.Helper()
	count := 0
	for _, run := range s.Runs {
		if run.Path == path {
			count += run.Runs
		}
	}
	if count != want {
		t.Errorf("runs of %s: got %d, want %d", path, count, want)
	}
}
