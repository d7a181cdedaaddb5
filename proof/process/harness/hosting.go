package harness

import (
	"fmt"
	"net"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"jacinthpaddle.example/platform/process/hosting"
)

// Hosting is the program of the hosting platform in a process of its own, with a store and
// a runner in the process of the test. All requests need no key.
type Hosting struct {
	Router *Router
	// Ready and Locate are the addresses of the readiness checks and locate requests.
	Ready  string
	Locate string
}

// hostingHost is the host of the address of the process.
const hostingHost = 10

// StartHosting starts the program with additional settings and waits until it is ready.
func StartHosting(t *testing.T, network int, settings string) *Hosting {
	t.Helper()
	runner := httptest.NewServer(hosting.Runner())
	t.Cleanup(runner.Close)
	provider := httptest.NewServer(hosting.NewStore(runner.Listener.Addr().String()))
	t.Cleanup(provider.Close)

	h := &Hosting{Router: &Router{}}
	h.Router.VM.Name, h.Router.VM.Address = "front-1", Loopback(network, hostingHost)
	h.Ready, h.Locate = net.JoinHostPort(h.Router.VM.Address, "7080"), net.JoinHostPort(h.Router.VM.Address, "7081")
	path := filepath.Join(t.TempDir(), "front-1.ini")
	writeFile(t, path, fmt.Sprintf(`
[vm]
name = front-1
address = %s
region = western
availability_zone = hall
[listen]
callers = %s
ready = %s
locate = %s
[platform]
address = %s
regions = hall:western
[fleet]
secret = proof-secret-of-the-fleet
[rights]
pages = 0
guarded = false
[journal]
wait = false
copies = 0
%s`, h.Router.VM.Address, h.Router.CallerAddress(), h.Ready, h.Locate, provider.Listener.Addr(), settings))
	h.Router.Process = startProcess(t, h.Router.VM.Name, program("platform"), "run", "--settings", path)
	Await(t, "the program to be ready", func() bool { return RespondsOK("http://" + h.Ready + "/ready") })
	return h
}

// OtherAddresses returns the addresses at which callers are not served: readiness checks,
// locate requests, peers, operators and metrics.
func (h *Hosting) OtherAddresses() []string {
	addresses := []string{h.Ready, h.Locate}
	for _, port := range []string{peerPort, operatorsPort, metricsPort} {
		addresses = append(addresses, net.JoinHostPort(h.Router.VM.Address, port))
	}
	return addresses
}
