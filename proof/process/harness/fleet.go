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

// Ports of the processes.
const (
	callerPort    = "7070"
	operatorsPort = "7072"
	EndpointPort  = "8000"
	PlatformPort  = "9100"
)

// Bounds of the waits. None of them is part of what a test asserts.
const (
	PollInterval = 50 * time.Millisecond
	waitLimit    = 30 * time.Second
	DrainTimeout = 60 * time.Second
)

// places are where the VMs stand, in turn.
var places = []vm.Locality{
	{Region: "western", AvailabilityZone: "colombo-hall"},
	{Region: "central", AvailabilityZone: "kandy-depot"},
	{Region: "southern", AvailabilityZone: "galle-annex"},
}

// Config describes a fleet. Network is the third number of all its addresses, so
// that fleets of two tests share none. PlatformAddress and Settings replace what
// Routers are given; the zero value leaves it as it is.
type Config struct {
	Network         int
	Routers         int
	Endpoints       int
	PlatformAddress string
	Settings        string
	EndpointFlags   []string
}

// Fleet is a platform, endpoints and routers as processes, which end with the
// owner, also those that a subtest starts.
type Fleet struct {
	Config
	owner     *testing.T
	folder    string
	platform  *process
	objects   *platform.Client
	Routers   []*Router
	Endpoints []*Endpoint
}

// Router is one router VM and the process that runs on it now.
type Router struct {
	VM      vm.VM
	Process *process
}

// Endpoint is one endpoint VM.
type Endpoint struct {
	VM      vm.VM
	process *process
}

// NewFleet starts a fleet, applies the declarations and waits until all of it
// is ready.
func NewFleet(t *testing.T, plan Config) *Fleet {
	t.Helper()
	f := StartFleet(t, plan)
	f.MustApply(t, declarations)
	f.AwaitReady(t)
	return f
}

// StartFleet starts a fleet that has no configuration.
func StartFleet(t *testing.T, plan Config) *Fleet {
	t.Helper()
	f := &Fleet{Config: plan, owner: t, folder: t.TempDir()}
	for index := range plan.Routers {
		f.Routers = append(f.Routers, &Router{VM: f.machine("entry", 10, index)})
	}
	for index := range plan.Endpoints {
		f.Endpoints = append(f.Endpoints, &Endpoint{VM: f.machine("runners", 100, index)})
	}
	f.startPlatform(t)
	for _, endpoint := range f.Endpoints {
		args := []string{"endpoint", "--listen", endpoint.VM.Address + ":" + EndpointPort, "--name", endpoint.VM.Name}
		endpoint.process = startProcess(t, endpoint.VM.Name, program("standin"), append(args, plan.EndpointFlags...)...)
		Await(t, endpoint.VM.Name+" to answer", func() bool { return answers(endpoint.URL("/load")) })
	}
	for index := range f.Routers {
		f.StartRouter(t, index)
	}
	return f
}

// machine returns the VM with the number in its pool.
func (f *Fleet) machine(pool string, base, index int) vm.VM {
	return vm.VM{
		Name:     fmt.Sprintf("%s-%d", pool, index+1),
		Address:  f.Address(base + index),
		Pool:     pool,
		Locality: places[index%len(places)],
		State:    vm.Live,
	}
}

// Address returns an address of the fleet's own network.
func (f *Fleet) Address(host int) string {
	return Loopback(f.Network, host)
}

// OwnPlatformAddress returns where the platform itself listens.
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
	path := filepath.Join(f.folder, "vms.json")
	writeFile(t, path, string(encoded))
	f.platform = startProcess(t, "platform", program("standin"),
		"platform", "--listen", f.OwnPlatformAddress(), "--vms", path)
	f.objects = platform.New(clock.New(), platform.Config{Address: f.OwnPlatformAddress()})
	t.Cleanup(f.objects.Close)
	Await(t, "the platform to answer", func() bool { return answers("http://" + f.OwnPlatformAddress() + "/vms") })
}

// StartRouter starts a new process on the VM of a router and waits until it
// answers operators.
func (f *Fleet) StartRouter(t *testing.T, index int) {
	t.Helper()
	router := f.Routers[index]
	path := f.WriteSettings(t, index, "")
	router.Process = startProcess(f.owner, router.VM.Name, program("router"), "run", "--settings", path)
	Await(t, router.VM.Name+" to answer", func() bool { return answers(router.operators("/status")) })
}

// WriteSettings writes the settings of a router, with more at their end, and
// returns their path.
func (f *Fleet) WriteSettings(t *testing.T, index int, more string) string {
	t.Helper()
	machine := f.Routers[index].VM
	path := filepath.Join(f.folder, machine.Name+".ini")
	writeFile(t, path, f.settings(machine)+more)
	return path
}

// settings returns the settings of the router on the VM.
func (f *Fleet) settings(machine vm.VM) string {
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

// CallerAddress returns the address for callers.
func (r *Router) CallerAddress() string {
	return r.VM.Address + ":" + callerPort
}

func (r *Router) operators(path string) string {
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

// Await polls the condition until it holds, or fails the test.
func Await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("waited %v for %s", waitLimit, what)
		}
	}
}
