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

// operatorClient makes the calls of tests to admin addresses and operators'
// addresses. Each call has a connection of its own.
var operatorClient = &http.Client{
	Timeout:   2 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Dump is the part of a router's state that tests look at.
type Dump struct {
	Self       member.Member             `json:"self"`
	Generation int64                     `json:"generation"`
	Members    []member.Member           `json:"members"`
	Linked     []string                  `json:"linked"`
	Endpoints  map[string][]endpointDump `json:"endpoints"`
	Budgets    []operatorapi.BudgetLevel `json:"budgets"`
}

// endpointDump is what a router knows of an endpoint.
type endpointDump struct {
	Name   string           `json:"name"`
	Report *json.RawMessage `json:"report"`
}

// EndpointFaults are the faults that an endpoint is told to show.
type EndpointFaults struct {
	RefuseAll        bool  `json:"refuse_all,omitempty"`
	CutAfterBytes    int64 `json:"cut_after_bytes,omitempty"`
	StallAfterBytes  int64 `json:"stall_after_bytes,omitempty"`
	FirstByteDelayMS int64 `json:"first_byte_delay_ms,omitempty"`
	WrongAttempt     bool  `json:"wrong_attempt,omitempty"`
	RunThenDrop      bool  `json:"run_then_drop,omitempty"`
	IgnoreMaxTokens  bool  `json:"ignore_max_tokens,omitempty"`
	Times            int   `json:"times,omitempty"`
}

// PlatformFaults are the faults that the platform is told to show.
type PlatformFaults struct {
	Down        bool  `json:"down"`
	DelayMS     int64 `json:"delay_ms"`
	LoseReplies int   `json:"lose_replies"`
}

// StateUpdate tells an endpoint whether it is leaving.
type StateUpdate struct {
	State vm.State `json:"state"`
}

// answers reports whether the URL gives a good answer.
func answers(url string) bool {
	response, err := operatorClient.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// GetJSON decodes the JSON at the URL.
func GetJSON[T any](url string) (T, error) {
	var value T
	response, err := operatorClient.Get(url)
	if err != nil {
		return value, err
	}
	defer func() { _ = response.Body.Close() }()
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// PutJSON sends an order to an admin address.
func PutJSON[T any](t *testing.T, url string, order T) {
	t.Helper()
	body, err := json.Marshal(order)
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

// SetPlatformFaults replaces the faults of the platform.
func (f *Fleet) SetPlatformFaults(t *testing.T, faults PlatformFaults) {
	t.Helper()
	PutJSON(t, "http://"+f.OwnPlatformAddress()+"/admin/faults", faults)
}

// SetFaults replaces the faults of the endpoint.
func (e *Endpoint) SetFaults(t *testing.T, faults EndpointFaults) {
	t.Helper()
	PutJSON(t, e.URL("/admin/faults"), faults)
}

// ExitPlatformUnavailable is the exit code of the CLI without the platform.
const ExitPlatformUnavailable = 5

// CommandResult is the outcome of one run of the operators' CLI.
type CommandResult struct {
	Exit   int
	Output string
}

// RunCLI runs the operators' CLI.
func (f *Fleet) RunCLI(args ...string) CommandResult {
	line := append([]string{"--platform", "http://" + f.OwnPlatformAddress()}, args...)
	run := exec.Command(program("jacinth"), line...)
	output, _ := run.CombinedOutput()
	return CommandResult{Exit: run.ProcessState.ExitCode(), Output: string(output)}
}

// WriteDeclarations writes declarations to a folder of their own.
func (f *Fleet) WriteDeclarations(t *testing.T, content string) string {
	t.Helper()
	folder, err := os.MkdirTemp(f.folder, "declarations")
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(folder, "all.ini"), content)
	return folder
}

// MustApply publishes the declarations and waits until all routers confirm.
func (f *Fleet) MustApply(t *testing.T, content string) {
	t.Helper()
	applied := f.RunCLI("apply", "--dir", f.WriteDeclarations(t, content))
	if applied.Exit != 0 {
		t.Fatalf("apply: got exit %d, want 0\n%s", applied.Exit, applied.Output)
	}
}

// Dump reads the state of the router.
func (r *Router) Dump() (Dump, error) {
	return GetJSON[Dump](r.operators("/dump"))
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
