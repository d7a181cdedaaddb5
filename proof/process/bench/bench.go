// Package bench runs a fleet with its stand-ins as processes on loopback and
// reads what they use.
//
// # Usage
//
//	fleet, err := bench.Start(bench.Config{Programs: folder, Routers: 4, Endpoints: 2, Slots: 8})
//	defer fleet.Stop()
//	before, err := fleet.Read()
//	after, err := fleet.Read()
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

// Bounds of the fleets that may be started.
const (
	MaxRouters   = 40
	MaxEndpoints = 16
)

// Times that bound a start and an order.
const (
	startTimeout = 20 * time.Second
	applyTimeout = 2 * time.Minute
	pollInterval = 50 * time.Millisecond
)

// PlatformAddress is where the platform stand-in listens.
const PlatformAddress = "127.0.5.1:9100"

// zones is how many availability zones the routers stand in.
const zones = 11

// regions is how many regions the zones are spread over.
const regions = 3

// Config sizes a fleet. Programs is the folder of the built programs.
type Config struct {
	Programs       string
	Routers        int
	Endpoints      int
	EndpointSlots  int
	ResponseTokens int
	TokenDelay     time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	Config
	Routers   []*Process
	Endpoints []*Process
	platform  *Process
	folder    string
	client    *http.Client
}

// Sample is one look at the whole fleet.
type Sample struct {
	At       time.Time
	Routers  []RouterSample
	Platform Usage
	Counts   memory.Counts
}

// RouterSample is one look at one router.
type RouterSample struct {
	Usage
	Peers peer.Counters
	Links int
}

// routerDump is the part of a router's dump that is read here.
type routerDump struct {
	Hub peer.Dump `json:"hub"`
}

// Start runs the processes and waits until each router answers.
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

// Stop ends all processes and removes their files.
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
	content, err := json.Marshal(f.machines())
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
		if err := f.await(f.operators(index) + operatorapi.StatusPath); err != nil {
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
	place := placeOf(index)
	settings := fmt.Sprintf("[vm]\nname = %s\naddress = %s\nregion = %s\navailability_zone = %s\n\n"+
		"[platform]\naddress = %s\n\n[fleet]\nsecret = measure-secret-0001\n\n[log]\nlevel = warning\n",
		routerName(index), routerAddress(index), place.Region, place.AvailabilityZone, PlatformAddress)
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

// Apply publishes a folder of declarations and returns how long it took until
// all routers had confirmed it.
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

// CallerURLs returns where callers reach the routers.
func (f *Fleet) CallerURLs() []string {
	var addresses []string
	for index := range f.Config.Routers {
		addresses = append(addresses, "http://"+routerAddress(index)+":7070")
	}
	return addresses
}

// EndpointURLs returns where the endpoints answer.
func (f *Fleet) EndpointURLs() []string {
	var addresses []string
	for index := range f.Config.Endpoints {
		addresses = append(addresses, "http://"+endpointAddress(index)+":8000")
	}
	return addresses
}

// TakeSample looks at every process.
func (f *Fleet) TakeSample() (Sample, error) {
	reading := Sample{}
	for index, router := range f.Routers {
		usage, err := router.Usage()
		if err != nil {
			return Sample{}, err
		}
		var dump routerDump
		if err := f.Get(f.operators(index)+operatorapi.DumpPath, &dump); err != nil {
			return Sample{}, err
		}
		reading.Routers = append(reading.Routers, RouterSample{
			Usage: usage,
			Peers: dump.Hub.Counters,
			Links: len(dump.Hub.Links),
		})
	}
	var err error
	if reading.Platform, err = f.platform.Usage(); err != nil {
		return Sample{}, err
	}
	reading.At = time.Now()
	return reading, f.Get("http://"+PlatformAddress+"/admin/counts", &reading.Counts)
}

// Get decodes the JSON answer of the address.
func (f *Fleet) Get(address string, into any) error {
	response, err := f.client.Get(address)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Annotate(json.NewDecoder(response.Body).Decode(into), address)
}

// Delete sends a DELETE to the address.
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

func (f *Fleet) await(address string) error {
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := f.client.Get(address)
		if err == nil {
			return errors.Trace(response.Body.Close())
		}
		if time.Now().After(deadline) {
			return errors.Annotate(err, "start")
		}
		time.Sleep(pollInterval)
	}
}

func (f *Fleet) program(name string) string {
	return filepath.Join(f.Programs, name)
}

func (f *Fleet) operators(index int) string {
	return "http://" + routerAddress(index) + ":7072"
}

func (f *Fleet) machines() []vm.VM {
	var list []vm.VM
	for index := range f.Config.Routers {
		list = append(list, vm.VM{
			Name: routerName(index), Address: routerAddress(index), Pool: "entry", Locality: placeOf(index), State: vm.Live,
		})
	}
	for index := range f.Config.Endpoints {
		list = append(list, vm.VM{
			Name: endpointName(index), Address: endpointAddress(index), Pool: "runners", Locality: placeOf(index), State: vm.Live,
		})
	}
	return list
}

func placeOf(index int) vm.Locality {
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
