package proof_test

import (
	"net/http"
	"testing"

	"jacinthpaddle.example/platform/process/hosting"
	"jacinthpaddle.example/proof/process/harness"
)

// TestHostingCrowd sends a crowd of each kind to the program of the hosting platform, and
// ordinary requests beside it and after it.
func TestHostingCrowd(t *testing.T) {
	for index, kind := range harness.CrowdKinds() {
		t.Run(string(kind), func(t *testing.T) {
			growth := int64(0)
			if kind == harness.PiecedBodies || kind == harness.StoppedBodies || kind == harness.EndlessChunks {
				growth = maxBodyGrowth
			}
			testHostingCrowd(t, crowdTest{network: 80 + index, kinds: []harness.CrowdKind{kind}, clients: crowdClients, maxGrowth: growth})
		})
	}
	t.Run("all kinds", func(t *testing.T) {
		testHostingCrowd(t, crowdTest{network: 90, kinds: harness.CrowdKinds(), clients: mixedCrowdClients})
	})
}

func testHostingCrowd(t *testing.T, test crowdTest) {
	t.Helper()
	h := harness.StartHosting(t, test.network, crowdVMSettings+crowdLimitSettings)
	client := harness.NewClient(t)
	checkServed(t, client, h, "before")
	monitor := h.Router.MonitorResources(t)
	crowd := &harness.Crowd{
		Address:        h.Router.CallerAddress(),
		Kinds:          test.kinds,
		Clients:        test.clients,
		Attempts:       crowdAttempts,
		MaxBodyBytes:   crowdBodyBytes,
		MaxHeaderBytes: crowdHeaderBytes,
	}
	crowd.Start(t)
	checkServed(t, client, h, "beside")
	crowd.Leave()
	checkServed(t, client, h, "after")
	checkResources(t, test, monitor)
}

// checkServed sends an ordinary request until it is served.
func checkServed(t *testing.T, client *harness.Client, h *harness.Hosting, name string) {
	t.Helper()
	call := harness.Call{
		Method: http.MethodPost,
		Path:   hosting.Path + "balance/" + name,
		Body:   name,
		Header: hosting.RequestHeader(name),
		Host:   hosting.Host,
	}
	harness.Await(t, "the request "+name+" to be served", func() bool {
		return client.Send(t.Context(), h.Router.CallerAddress(), call).Status == http.StatusOK
	})
}

// TestHostingCrowdAtOtherAddresses sends heads without an end of the request to the
// addresses that serve no requests of callers.
func TestHostingCrowdAtOtherAddresses(t *testing.T) {
	h := harness.StartHosting(t, 91, crowdVMSettings+crowdLimitSettings)
	client := harness.NewClient(t)
	checkServed(t, client, h, "before")
	monitor := h.Router.MonitorResources(t)
	var crowds []*harness.Crowd
	for _, address := range h.OtherAddresses() {
		crowd := &harness.Crowd{
			Address:        address,
			Kinds:          []harness.CrowdKind{harness.ShortLines, harness.LargeHeads, harness.EndlessHeads},
			Clients:        mixedCrowdClients,
			Attempts:       crowdAttempts,
			MaxBodyBytes:   crowdBodyBytes,
			MaxHeaderBytes: crowdHeaderBytes,
		}
		crowd.Start(t)
		crowds = append(crowds, crowd)
	}
	checkServed(t, client, h, "beside")
	for _, crowd := range crowds {
		crowd.Leave()
	}
	checkServed(t, client, h, "after")
	for _, path := range []string{h.Ready + "/ready", h.Locate + "/resolve?name=front&region=western&zone=hall"} {
		harness.Await(t, path+" to respond", func() bool { return harness.RespondsOK("http://" + path) })
	}
	checkResources(t, crowdTest{}, monitor)
}
