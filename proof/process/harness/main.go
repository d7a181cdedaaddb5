// Package harness runs a fleet for tests: platform, endpoints, routers and the
// operators' command line, each in a process of its own. It sends requests as callers
// do and compares the responses with the records of the store and of the endpoints.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(harness.Run(m)) }
//
//	f := harness.NewFleet(t, harness.Config{Network: 11, Routers: 3, Endpoints: 2})
//	records := f.AwaitBills(t, 0)
//	records.Check(t)
package harness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaryDir is the directory of the programs under test.
var binaryDir string

// networkOctet is the second octet of all loopback addresses of this run.
var networkOctet int

// Run builds the programs, runs the tests with them and returns the exit code.
func Run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaryDir = folder
	claim, err := reserveNetwork()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = claim.Close() }()
	modules := []string{"jacinthpaddle.example/router", "jacinthpaddle.example/jacinth", "jacinthpaddle.example/standin", "jacinthpaddle.example/platform"}
	build := exec.Command("go", append([]string{"build", "-o", folder}, modules...)...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// reserveNetwork reserves the loopback networks 127.n.0.0/16 for this run until the
// listener is closed, so that concurrent runs on one machine do not share addresses.
func reserveNetwork() (net.Listener, error) {
	var err error
	for number := 1; number < 255; number++ {
		var claim net.Listener
		claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%s", number, PlatformPort))
		if err == nil {
			networkOctet = number
			return claim, nil
		}
	}
	return nil, err
}

// Loopback returns the address of a host in one of the networks of this run.
func Loopback(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", networkOctet, network, host)
}

// program returns the path of one of the programs under test.
func program(name string) string {
	return filepath.Join(binaryDir, name)
}
