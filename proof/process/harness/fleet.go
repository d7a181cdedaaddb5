package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/platform"
	"jacinthpaddle.example/fleet/process/vm"
)

// Ports on which the processes listen.
const (
	callerPort    = "7070"
	peerPort      = "7071"
	operatorsPort = "7072"
	metricsPort   = "7073"
	EndpointPort  = "8000"
	PlatformPort  = "9100"
)

// Timeouts and intervals of the waits. No test asserts any of them.
const (
	PollInterval = 50 * time.Millisecond
	awaitTimeout = 30 * time.Second
	DrainTimeout = 60 * time.Second
)

// localities are assigned to the VMs in turn.
var localities = []vm.Locality{
	{Region: "western", AvailabilityZone: "colombo-hall"},
	{Region: "central", AvailabilityZone: "kandy-depot"},
	{Region: "southern", AvailabilityZone: "galle-annex"},
}

// Config describes a fleet.
type Config struct {
	// Network is the third octet of all addresses of the fleet. Each test uses its
	// own, so that tests may run in parallel.
	Network   int
	Routers   int
	Endpoints int
	// PlatformAddress is the platform address in the settings of the routers. If it
	// is empty, they connect to the platform directly.
	PlatformAddress string
	// Settings is text appended to the settings of each router.
	Settings string
	// EndpointFlags are additional command-line flags of the endpoints.
	EndpointFlags []string
}

// Fleet is a platform, endpoints and routers, each in a process of its own. All of
// them, also those that a subtest starts, run until the test that owns the fleet ends.
type Fleet struct {
	Config
	test      *testing.T
	dir       string
	platform  *process
	objects   *platform.Client
	Routers   []*Router
	Endpoints []*Endpoint
}

// Router is one router VM and its current process.
type Router struct {
	VM      vm.VM
	Process *process
}

// Endpoint is one endpoint VM.
type Endpoint struct {
	VM      vm.VM
	process *process
}

// NewFleet starts a fleet, applies the default declarations and waits until all
// routers are ready.
func NewFleet(t *testing.T, plan Config) *Fleet {
	t.Helper()
	f := StartFleet(t, plan)
	f.MustApply(t, declarations)
	f.AwaitReady(t)
	return f
}

// StartFleet starts a fleet without declarations.
func StartFleet(t *testing.T, plan Config) *Fleet {
	t.Helper()
	f := &Fleet{Config: plan, test: t, dir: t.TempDir()}
	for index := range plan.Routers {
		f.Routers = append(f.Routers, &Router{VM: f.newVM("entry", 10, index)})
	}
	for index := range plan.Endpoints {
		f.Endpoints = append(f.Endpoints, &Endpoint{VM: f.newVM("runners", 100, index)})
	}
	f.startPlatform(t)
	for _, endpoint := range f.Endpoints {
		args := []string{"endpoint", "--listen", endpoint.VM.Address + ":" + EndpointPort, "--name", endpoint.VM.Name}
		endpoint.process = startProcess(t, endpoint.VM.Name, program("standin"), append(args, plan.EndpointFlags...)...)
		Await(t, endpoint.VM.Name+" to respond", func() bool { return RespondsOK(endpoint.URL("/load")) })
	}
	for index := range f.Routers {
		f.StartRouter(t, index)
	}
	return f
}

// newVM returns the description of the VM with that index in its pool.
func (f *Fleet) newVM(pool string, base, index int) vm.VM {
	return vm.VM{
		Name:     fmt.Sprintf("%s-%d", pool, index+1),
		Address:  f.Address(base + index),
		Pool:     pool,
		Locality: localities[index%len(localities)],
		State:    vm.Live,
	}
}

// Address returns the address of a host in the network of the fleet.
func (f *Fleet) Address(host int) string {
	return Loopback(f.Network, host)
}

// OwnPlatformAddress returns the address on which the platform listens, also when
// the routers reach it through a relay.
func (f *Fleet) OwnPlatformAddress() string {
	return f.Address(1) + ":" + PlatformPort
}

func (f *Fleet) startPlatform(t *testing.T) {
	t.Helper()
	var list []vm.VM
	for _, router := range f.Routers {
		list = append(list, router.VM)
	}
	for _, endpoint := range f.Endpoints {
		list = append(list, endpoint.VM)
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(f.dir, "vms.json")
	writeFile(t, path, string(encoded))
	f.platform = startProcess(t, "platform", program("standin"),
		"platform", "--listen", f.OwnPlatformAddress(), "--vms", path)
	f.objects = platform.New(clock.New(), platform.Config{Address: f.OwnPlatformAddress()})
	t.Cleanup(f.objects.Close)
	Await(t, "the platform to respond", func() bool { return RespondsOK("http://" + f.OwnPlatformAddress() + "/vms") })
}

// StartRouter starts a new process on the VM of a router and waits until it responds
// on its operators' address. The process outlives a subtest that starts it.
func (f *Fleet) StartRouter(t *testing.T, index int) {
	t.Helper()
	f.LaunchRouter(t, index, f.WriteSettings(t, index, ""))
	f.AwaitStarted(t, index)
}

// LaunchRouter starts a new process on the VM of a router with the settings file and does
// not wait for it.
func (f *Fleet) LaunchRouter(t *testing.T, index int, settingsPath string) {
	t.Helper()
	router := f.Routers[index]
	router.Process = startProcess(f.test, router.VM.Name, program("router"), "run", "--settings", settingsPath)
}

// AwaitStarted waits until the process of a router responds on its operators' address.
func (f *Fleet) AwaitStarted(t *testing.T, index int) {
	t.Helper()
	router := f.Routers[index]
	Await(t, router.VM.Name+" to respond", func() bool { return RespondsOK(router.operatorsURL("/status")) })
}

// WriteSettings writes the settings file of a router, with the extra text appended,
// and returns its path.
func (f *Fleet) WriteSettings(t *testing.T, index int, extra string) string {
	t.Helper()
	machine := f.Routers[index].VM
	path := filepath.Join(f.dir, machine.Name+".ini")
	writeFile(t, path, f.settingsText(machine)+extra)
	return path
}

// settingsText returns the content of the settings file of the router on the VM.
func (f *Fleet) settingsText(machine vm.VM) string {
	address := f.PlatformAddress
	if address == "" {
		address = f.OwnPlatformAddress()
	}
	return fmt.Sprintf(`
[vm]
name = %s
address = %s
region = %s
availability_zone = %s

[platform]
address = %s
call_timeout = 1s
watch_wait = 2s

[fleet]
secret = proof-secret-of-the-fleet

[locate]
ttl = 1s
%s`, machine.Name, machine.Address, machine.Region, machine.AvailabilityZone, address, f.Settings)
}

// CallerAddress returns the address on which the router serves callers.
func (r *Router) CallerAddress() string {
	return r.VM.Address + ":" + callerPort
}

func (r *Router) operatorsURL(path string) string {
	return "http://" + r.VM.Address + ":" + operatorsPort + path
}

// URL returns the URL of a path at the endpoint.
func (e *Endpoint) URL(path string) string {
	return "http://" + e.VM.Address + ":" + EndpointPort + path
}

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Await polls the condition until it is true, and fails the test after a timeout.
func Await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("waited %v for %s", awaitTimeout, what)
		}
	}
}
