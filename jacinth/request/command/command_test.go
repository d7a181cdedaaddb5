package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/platform/objectapi"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/jacinth/request/command"
)

const quickstart = "../../../examples/quickstart.d"

// fleet is a platform whose list has one VM with a reachable router.
type fleet struct {
	*memory.Store
	machines []vm.VM
	platform string
	port     string
	drained  bool
}

func (f *fleet) VMs(context.Context) (vm.List, error) {
	return vm.List{VMs: f.machines}, nil
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{Store: memory.New(clock.New())}
	f.platform = "http://" + serve(t, objectapi.New(f.Store, f)).String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operatorapi.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(operatorapi.Status{State: operatorapi.Live, Generation: 1, InFlight: 3})
	})
	mux.HandleFunc("GET "+operatorapi.DumpPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"rights": 5}`))
	})
	mux.HandleFunc("POST "+operatorapi.DrainPath, func(w http.ResponseWriter, _ *http.Request) {
		f.drained = true
		w.WriteHeader(http.StatusAccepted)
	})
	f.port = strconv.Itoa(serve(t, mux).Port)
	f.addVM("entry-1", "127.0.0.1")
	return f
}

func serve(t *testing.T, handler http.Handler) *net.TCPAddr {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr)
}

func (f *fleet) addVM(name, address string) {
	f.machines = append(f.machines, vm.VM{Name: name, Address: address, Pool: "entry", State: vm.Live})
}

func (f *fleet) run(arguments ...string) (command.ExitCode, string) {
	var out bytes.Buffer
	exit := command.Run(context.Background(), command.Environment{
		Arguments: append(arguments, "--operators-port", f.port, "--platform", f.platform),
		Stdout:    &out,
		Stderr:    &out,
		Clock:     clock.New(),
	})
	return exit, out.String()
}

func (f *fleet) expectExit(t *testing.T, exit command.ExitCode, text string, arguments ...string) {
	t.Helper()
	got, out := f.run(arguments...)
	if got != exit || !strings.Contains(out, text) {
		t.Errorf("%v: got exit %d and %q, want exit %d and %q", arguments, got, out, exit, text)
	}
}

func TestCommandsOnAHealthyFleet(t *testing.T) {
	f := newFleet(t)
	f.expectExit(t, command.OK, "no faults: 2 teams", "check", "--dir", quickstart)
	f.expectExit(t, command.OK, "generation 1 published", "apply", "--dir", quickstart)
	f.expectExit(t, command.OK, `"confirmed": true`, "apply", "--dir", quickstart, "--json")
	f.expectExit(t, command.OK, "annex   50000", "status")
	f.expectExit(t, command.OK, `"in_flight": 3`, "status", "--json", "--skip-bills")
	f.expectExit(t, command.OK, `{"rights": 5}`, "dump", "--vm", "entry-1")
	f.expectExit(t, command.OK, "entry-1 is draining", "drain", "--vm", "entry-1")
	f.expectExit(t, command.OK, "no mismatches", "audit")
	f.expectExit(t, command.OK, "digest", "key")
	f.expectExit(t, command.OK, "go1", "version")
	if !f.drained {
		t.Error("drain: got no call, want one")
	}
}

func TestExitCodes(t *testing.T) {
	f := newFleet(t)
	faulty := t.TempDir()
	if err := os.WriteFile(filepath.Join(faulty, "a.ini"), []byte("[budget b]\npurchased = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f.expectExit(t, command.Faults, "purchased", "check", "--dir", faulty)
	f.expectExit(t, command.Usage, "Usage")
	f.expectExit(t, command.Usage, "required", "apply")
	f.expectExit(t, command.Usage, "has no VM attic", "dump", "--vm", "attic")
	f.machines = nil
	f.addVM("entry-2", "127.0.0.99")
	f.expectExit(t, command.Unconfirmed, "not confirmed by entry-2", "apply", "--dir", quickstart, "--wait", "1ms")
	f.expectExit(t, command.OK, "unreachable", "status")
	f.expectExit(t, command.Unconfirmed, "entry-2", "drain", "--vm", "entry-2")
	f.overbill(t)
	f.expectExit(t, command.AuditMismatch, "billed_within_purchased", "audit")
	f.SetFaults(memory.Faults{Down: true})
	f.expectExit(t, command.PlatformUnavailable, "store", "apply", "--dir", quickstart)
	f.platform = "127.0.0.1"
	f.expectExit(t, command.Usage, "not of the form", "audit")
}

// overbill stores a bill of budget annex that is one credit above its purchased total.
func (f *fleet) overbill(t *testing.T) {
	t.Helper()
	segment := journal.Segment{Incarnation: "a", Entries: []journal.Entry{
		{Request: "a-1", State: journal.Final, Budget: "annex", Charge: 50_001},
	}}
	value, err := segment.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Create(context.Background(), segment.Name(), value); err != nil {
		t.Fatal(err)
	}
}

// TestTopUpLeavesTheFileWhileThePlatformIsDown also checks that a repeated top-up publishes
// no further generation, and that --base rejects a change of another generation but not a
// top-up that changes nothing. The router never has a generation above 1, so all top-ups that
// are published stay unconfirmed.
func TestTopUpLeavesTheFileWhileThePlatformIsDown(t *testing.T) {
	f := newFleet(t)
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(quickstart)); err != nil {
		t.Fatal(err)
	}
	f.expectExit(t, command.OK, "generation 1", "apply", "--dir", dir)
	before := contents(t, dir)
	topup := []string{"topup", "--dir", dir, "--budget", "annex", "--to", "60000", "--wait", "1ms"}
	f.SetFaults(memory.Faults{Down: true})
	f.expectExit(t, command.PlatformUnavailable, "store", topup...)
	if got := contents(t, dir); got != before {
		t.Errorf("file: got %q, want it unchanged", got)
	}
	f.SetFaults(memory.Faults{})
	f.expectExit(t, command.Unconfirmed, "generation 2", topup...)
	f.expectExit(t, command.Unconfirmed, "generation 2", topup...)
	if got, want := contents(t, dir), strings.Replace(before, "50000", "60000", 1); got != want {
		t.Errorf("file: got %q, want %q", got, want)
	}
	f.expectExit(t, command.Faults, "already purchased", "apply", "--dir", quickstart)
	f.expectExit(t, command.Faults, "generation 2 is active, not 1", append(topup, "--to", "70000", "--base", "1")...)
	f.expectExit(t, command.Unconfirmed, "generation 2", append(topup, "--base", "1")...)
	f.expectExit(t, command.Unconfirmed, "generation 3", append(topup, "--to", "70000", "--base", "2")...)
}

func contents(t *testing.T, dir string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "teams.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
