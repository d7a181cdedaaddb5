package harness

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/vm"
)

// operatorClient sends requests to the admin and operators' addresses, each on a new
// connection.
var operatorClient = &http.Client{
	Timeout:   2 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Dump is the part of a router's state dump that tests use.
type Dump struct {
	Self       member.Member             `json:"self"`
	Generation int64                     `json:"generation"`
	Members    []member.Member           `json:"members"`
	Linked     []string                  `json:"linked"`
	Endpoints  map[string][]endpointDump `json:"endpoints"`
	Budgets    []operatorapi.BudgetLevel `json:"budgets"`
	// Evacuations is empty if the router has no reading of the evacuated zones.
	Evacuations evacuationsDump `json:"evacuations"`
}

// evacuationsDump is the entry of the evacuated zones in the state dump of a router.
type evacuationsDump struct {
	InForce []string `json:"in_force"`
}

// endpointDump is the entry of an endpoint in the state dump of a router.
type endpointDump struct {
	Name   string           `json:"name"`
	Report *json.RawMessage `json:"report"`
}

// EndpointFaults are the faults that the endpoint stand-in injects.
type EndpointFaults struct {
	RefuseAll        bool  `json:"refuse_all,omitempty"`
	CutAfterBytes    int64 `json:"cut_after_bytes,omitempty"`
	StallAfterBytes  int64 `json:"stall_after_bytes,omitempty"`
	FirstByteDelayMS int64 `json:"first_byte_delay_ms,omitempty"`
	WrongAttempt     bool  `json:"wrong_attempt,omitempty"`
	RunThenDrop      bool  `json:"run_then_drop,omitempty"`
	IgnoreMaxTokens  bool  `json:"ignore_max_tokens,omitempty"`
	// Times is the number of requests that the faults apply to. Zero means all requests
	// until the faults are replaced.
	Times int `json:"times,omitempty"`
}

// PlatformFaults are the faults that the platform stand-in injects.
type PlatformFaults struct {
	Down        bool  `json:"down"`
	DelayMS     int64 `json:"delay_ms"`
	LoseReplies int   `json:"lose_replies"`
}

// StateUpdate is the request body that sets the state of an endpoint.
type StateUpdate struct {
	State vm.State `json:"state"`
}

// RespondsOK reports whether a GET request to the URL returns status 200.
func RespondsOK(url string) bool {
	response, err := operatorClient.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// GetJSON requests the URL and decodes the JSON response.
func GetJSON[T any](url string) (T, error) {
	var value T
	response, err := operatorClient.Get(url)
	if err != nil {
		return value, err
	}
	defer func() { _ = response.Body.Close() }()
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// PutJSON sends the value as JSON in a PUT request and fails the test unless the
// response has status 200.
func PutJSON[T any](t *testing.T, url string, value T) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		t.Fatalf("PUT %s: got %v, want no error", url, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: got status %d, want 200", url, response.StatusCode)
	}
}

// SetPlatformFaults replaces the faults that the platform injects.
func (f *Fleet) SetPlatformFaults(t *testing.T, faults PlatformFaults) {
	t.Helper()
	PutJSON(t, "http://"+f.OwnPlatformAddress()+"/admin/faults", faults)
}

// SetFaults replaces the faults that the endpoint injects.
func (e *Endpoint) SetFaults(t *testing.T, faults EndpointFaults) {
	t.Helper()
	PutJSON(t, e.URL("/admin/faults"), faults)
}

// ExitPlatformUnavailable is the exit code of the CLI when it cannot reach the
// platform.
const ExitPlatformUnavailable = 5

// CommandResult is the exit code and the combined output of one run of the
// operators' CLI.
type CommandResult struct {
	Exit   int
	Output string
}

// RunCLI runs the operators' CLI against the platform of the fleet.
func (f *Fleet) RunCLI(args ...string) CommandResult {
	line := append([]string{"--platform", "http://" + f.OwnPlatformAddress()}, args...)
	run := exec.Command(program("jacinth"), line...)
	output, _ := run.CombinedOutput()
	return CommandResult{Exit: run.ProcessState.ExitCode(), Output: string(output)}
}

// WriteDeclarations writes declarations to a new directory and returns its path.
func (f *Fleet) WriteDeclarations(t *testing.T, content string) string {
	t.Helper()
	folder, err := os.MkdirTemp(f.dir, "declarations")
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(folder, "all.ini"), content)
	return folder
}

// MustApply publishes the declarations, waits until all routers confirm them, and
// fails the test otherwise.
func (f *Fleet) MustApply(t *testing.T, content string) {
	t.Helper()
	applied := f.RunCLI("apply", "--dir", f.WriteDeclarations(t, content))
	if applied.Exit != 0 {
		t.Fatalf("apply: got exit %d, want 0\n%s", applied.Exit, applied.Output)
	}
}

// Dump requests the state dump of the router.
func (r *Router) Dump() (Dump, error) {
	return GetJSON[Dump](r.operatorsURL("/dump"))
}

// AwaitReady waits until each router is linked to all others and has a load
// report of each endpoint.
func (f *Fleet) AwaitReady(t *testing.T) {
	t.Helper()
	for index := range f.Routers {
		f.awaitRouter(t, index)
	}
}

func (f *Fleet) awaitRouter(t *testing.T, index int) {
	t.Helper()
	router := f.Routers[index]
	Await(t, router.VM.Name+" to be ready", func() bool {
		state, err := router.Dump()
		if err != nil || state.Generation == 0 || len(state.Linked) < len(f.Routers)-1 {
			return false
		}
		reported := 0
		for _, endpoint := range state.Endpoints["runners"] {
			if endpoint.Report != nil {
				reported++
			}
		}
		return reported == len(f.Endpoints)
	})
}
