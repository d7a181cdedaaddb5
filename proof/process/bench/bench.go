// Package bench runs the routers of a fleet, the platform stand-in and endpoint stand-ins
// as processes on loopback addresses, and samples their resource usage and counters.
//
// # Usage
//
//	fleet, err := bench.Start(bench.Config{Programs: folder, Routers: 4, Endpoints: 2, EndpointSlots: 8})
//	defer fleet.Stop()
//	before, err := fleet.TakeSample()
//	after, err := fleet.TakeSample()
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
)

// Limits of the number of processes in a fleet.
const (
	MaxRouters   = 40
	MaxEndpoints = 16
)

const (
	startTimeout = 20 * time.Second      // for one process to respond
	applyTimeout = 2 * time.Minute       // for one run of jacinth apply
	pollInterval = 50 * time.Millisecond // between attempts to reach a process
)

// PlatformAddress is the address on which the platform stand-in listens.
const PlatformAddress = "127.0.5.1:9100"

// zones is the number of availability zones that the VMs are spread over.
const zones = 11

// regions is the number of regions that the availability zones are spread over.
const regions = 3

// Config is the size of a fleet and the behavior of its endpoint stand-ins.
type Config struct {
	// Programs is the folder of the built programs router, jacinth and standin.
	Programs string
	// Routers is the number of routers, at most MaxRouters.
	Routers int
	// Endpoints is the number of endpoint stand-ins, at most MaxEndpoints.
	Endpoints int
	// EndpointSlots is the number of requests that each endpoint runs concurrently. It
	// queues twice as many.
	EndpointSlots int
	// ResponseTokens is the number of tokens in a response, unless the request limits it.
	ResponseTokens int
	// TokenDelay is the delay before each token of a response but the first.
	TokenDelay time.Duration
}

// Fleet is a running fleet. Only one can run on a machine at a time, as its addresses are
// fixed.
type Fleet struct {
	Config
	Routers   []*Process
	Endpoints []*Process
	platform  *Process
	folder    string
	client    *http.Client
}

// Sample is the usage and the counters of the whole fleet at one time. The processes
// are sampled one after the other.
type Sample struct {
	// At is the time at which the last process usage was read.
	At       time.Time
	Routers  []RouterSample
	Platform Usage
	// Counts are the calls to the store of the platform stand-in.
	Counts memory.Counts
}

// RouterSample is the usage and the counters of one router.
type RouterSample struct {
	Usage
	// Peers counts the messages to and from peers.
	Peers peer.Counters
	// Links is the number of peer links.
	Links int
}

// routerDump is the part of a router's state dump that a sample uses.
type routerDump struct {
	Hub peer.Dump `json:"hub"`
}

// Start starts the processes and waits until each router responds. It fails if the
// configuration exceeds MaxRouters or MaxEndpoints.
func Start(config Config) (*Fleet, error) {
	if config.Routers > MaxRouters || config.Endpoints > MaxEndpoints {
		return nil, errors.Errorf("%d routers and %d endpoints: too many", config.Routers, config.Endpoints)
	}
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	fleet := &Fleet{Config: config, folder: folder, client: &http.Client{Timeout: 10 * time.Second}}
	if err := fleet.start(); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

// Stop kills all processes and removes their settings and logs.
func (f *Fleet) Stop() {
	for _, started := range append(append(f.Routers, f.Endpoints...), f.platform) {
		if started != nil {
			started.Stop()
		}
	}
	_ = os.RemoveAll(f.folder)
}

func (f *Fleet) start() error {
	list := filepath.Join(f.folder, "vms.json")
	content, err := json.Marshal(f.vmList())
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(list, content, 0o600); err != nil {
		return errors.Trace(err)
	}
	f.platform, err = startProcess(f.folder, "platform", f.program("standin"),
		"platform", "--listen", PlatformAddress, "--vms", list)
	if err != nil {
		return err
	}
	if err := f.await("http://" + PlatformAddress + "/admin/counts"); err != nil {
		return err
	}
	for index := range f.Config.Endpoints {
		if err := f.startEndpoint(index); err != nil {
			return err
		}
	}
	for index := range f.Config.Routers {
		if err := f.startRouter(index); err != nil {
			return err
		}
	}
	for index := range f.Config.Routers {
		if err := f.await(f.operatorURL(index) + operatorapi.StatusPath); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEndpoint(index int) error {
	started, err := startProcess(f.folder, endpointName(index), f.program("standin"), "endpoint",
		"--listen", endpointAddress(index)+":8000", "--name", endpointName(index),
		"--slots", fmt.Sprint(f.EndpointSlots), "--queue", fmt.Sprint(2*f.EndpointSlots),
		"--answer-tokens", fmt.Sprint(f.ResponseTokens), "--token-delay", f.TokenDelay.String())
	if err == nil {
		f.Endpoints = append(f.Endpoints, started)
	}
	return err
}

func (f *Fleet) startRouter(index int) error {
	locality := localityOf(index)
	settings := fmt.Sprintf("[vm]\nname = %s\naddress = %s\nregion = %s\navailability_zone = %s\n\n"+
		"[platform]\naddress = %s\n\n[fleet]\nsecret = measure-secret-0001\n\n[log]\nlevel = warning\n",
		routerName(index), routerAddress(index), locality.Region, locality.AvailabilityZone, PlatformAddress)
	path := filepath.Join(f.folder, routerName(index)+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Trace(err)
	}
	started, err := startProcess(f.folder, routerName(index), f.program("router"), "run", "--settings", path)
	if err == nil {
		f.Routers = append(f.Routers, started)
	}
	return err
}

// Apply publishes a folder of declarations with jacinth apply --wait and returns the time
// until all routers confirmed the generation. The time includes the run of the command.
func (f *Fleet) Apply(folder string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	began := time.Now()
	command := exec.CommandContext(ctx, f.program("jacinth"), "--platform", "http://"+PlatformAddress,
		"apply", "--dir", folder, "--wait", "60s")
	output, err := command.CombinedOutput()
	if err != nil {
		return 0, errors.Annotatef(err, "apply: %s", output[:min(len(output), 1000)])
	}
	return time.Since(began), nil
}

// CallerURLs returns the base URLs at which the routers accept requests of callers.
func (f *Fleet) CallerURLs() []string {
	var addresses []string
	for index := range f.Config.Routers {
		addresses = append(addresses, "http://"+routerAddress(index)+":7070")
	}
	return addresses
}

// EndpointURLs returns the base URLs of the endpoint stand-ins.
func (f *Fleet) EndpointURLs() []string {
	var addresses []string
	for index := range f.Config.Endpoints {
		addresses = append(addresses, "http://"+endpointAddress(index)+":8000")
	}
	return addresses
}

// TakeSample samples every router and the platform stand-in.
func (f *Fleet) TakeSample() (Sample, error) {
	sample := Sample{}
	for index, router := range f.Routers {
		usage, err := router.Usage()
		if err != nil {
			return Sample{}, err
		}
		var dump routerDump
		if err := f.Get(f.operatorURL(index)+operatorapi.DumpPath, &dump); err != nil {
			return Sample{}, err
		}
		sample.Routers = append(sample.Routers, RouterSample{
			Usage: usage,
			Peers: dump.Hub.Counters,
			Links: len(dump.Hub.Links),
		})
	}
	var err error
	if sample.Platform, err = f.platform.Usage(); err != nil {
		return Sample{}, err
	}
	sample.At = time.Now()
	return sample, f.Get("http://"+PlatformAddress+"/admin/counts", &sample.Counts)
}

// Get sends a GET to the URL and decodes the JSON response into the value.
func (f *Fleet) Get(address string, into any) error {
	response, err := f.client.Get(address)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Annotate(json.NewDecoder(response.Body).Decode(into), address)
}

// Delete sends a DELETE to the URL and ignores the response.
func (f *Fleet) Delete(address string) error {
	request, err := http.NewRequest(http.MethodDelete, address, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(response.Body.Close())
}

// await polls the URL until a process responds to it with any status, or until
// startTimeout has passed.
func (f *Fleet) await(address string) error {
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := f.client.Get(address)
		if err == nil {
			return errors.Trace(response.Body.Close())
		}
		if time.Now().After(deadline) {
			return errors.Annotate(err, "no response within the start timeout")
		}
		time.Sleep(pollInterval)
	}
}

func (f *Fleet) program(name string) string {
	return filepath.Join(f.Programs, name)
}

func (f *Fleet) operatorURL(index int) string {
	return "http://" + routerAddress(index) + ":7072"
}

func (f *Fleet) vmList() []vm.VM {
	var list []vm.VM
	for index := range f.Config.Routers {
		list = append(list, vm.VM{
			Name: routerName(index), Address: routerAddress(index), Pool: "entry", Locality: localityOf(index), State: vm.Live,
		})
	}
	for index := range f.Config.Endpoints {
		list = append(list, vm.VM{
			Name: endpointName(index), Address: endpointAddress(index), Pool: "runners", Locality: localityOf(index), State: vm.Live,
		})
	}
	return list
}

func localityOf(index int) vm.Locality {
	zone := index % zones
	return vm.Locality{
		Region:           fmt.Sprintf("region-%d", zone%regions),
		AvailabilityZone: fmt.Sprintf("zone-%d", zone),
	}
}

func routerName(index int) string      { return fmt.Sprintf("entry-%d", index) }
func routerAddress(index int) string   { return fmt.Sprintf("127.0.5.%d", 10+index) }
func endpointName(index int) string    { return fmt.Sprintf("runner-%d", index) }
func endpointAddress(index int) string { return fmt.Sprintf("127.0.5.%d", 200+index) }
