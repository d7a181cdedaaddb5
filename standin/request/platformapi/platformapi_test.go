package platformapi_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/platform"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/standin/process/vmlist"
	"jacinthpaddle.example/standin/request/platformapi"
)

// fixture is a platform with an HTTP server and a client.
type fixture struct {
	clock  *clock.Fake
	client *platform.Client
	url    string
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	clk := clock.NewFake()
	initial := []vm.VM{{Name: "entry-1", Address: "127.0.0.11", Pool: "entry", State: vm.Live}}
	list := vmlist.New(clk, time.Second, initial)
	server := httptest.NewServer(platformapi.New(memory.New(clk), list))
	t.Cleanup(server.Close)
	client := platform.New(clk, platform.Config{Address: server.Listener.Addr().String()})
	t.Cleanup(client.Close)
	return fixture{clock: clk, client: client, url: server.URL}
}

// send returns the response body.
func (f fixture) send(t *testing.T, method, path, body string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%s %s: got %v, want no error", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: got %d %v, want 200", method, path, response.StatusCode, err)
	}
	return string(content)
}

func (f fixture) states(t *testing.T) string {
	t.Helper()
	list, err := f.client.VMs(t.Context())
	if err != nil {
		t.Fatalf("list: got %v, want no error", err)
	}
	states := make([]string, 0, len(list.VMs))
	for _, machine := range list.VMs {
		states = append(states, machine.Name+" "+string(machine.State))
	}
	return strings.Join(states, ", ")
}

func TestListOfVMsLags(t *testing.T) {
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		want   string
	}{
		{"replace one", http.MethodPut, "/admin/vms/entry-1", `{"state":"leaving"}`, "entry-1 leaving"},
		{"add one", http.MethodPut, "/admin/vms/entry-2", `{"state":"live"}`, "entry-1 live, entry-2 live"},
		{"remove one", http.MethodDelete, "/admin/vms/entry-1", ``, ""},
		{"replace all", http.MethodPut, "/admin/vms", `[{"name":"entry-3","state":"live"}]`, "entry-3 live"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.send(t, test.method, test.path, test.body)
			if got := f.states(t); got != "entry-1 live" {
				t.Errorf("before the lag: got %q, want entry-1 live", got)
			}
			f.clock.Advance(time.Second)
			if got := f.states(t); got != test.want {
				t.Errorf("after the lag: got %q, want %q", got, test.want)
			}
		})
	}
}

func TestFaultsAndCounts(t *testing.T) {
	f := newFixture(t)
	f.send(t, http.MethodPut, "/admin/faults", `{"lose_replies":1}`)
	_, err := f.client.Create(t.Context(), "name", []byte("value"))
	var unavailable *store.UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.Ambiguous {
		t.Errorf("create: got %v, want an ambiguous UnavailableError", err)
	}
	if _, err := f.client.Get(t.Context(), "name"); err != nil {
		t.Errorf("get: got %v, want no error", err)
	}
	want := `{"reads":1,"lists":0,"writes":1,"watches":0,"waiting":0}` + "\n"
	if got := f.send(t, http.MethodGet, "/admin/counts", ""); got != want {
		t.Errorf("counts: got %s, want %s", got, want)
	}
}
