package platform_test

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/platform"
	"jacinthpaddle.example/fleet/process/platform/objectapi"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
)

// newClient returns a client and the server with the handler that it calls.
func newClient(t *testing.T, clk clock.Clock, handler http.HandlerFunc) (*platform.Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := platform.New(clk, platform.Config{Address: server.Listener.Addr().String()})
	t.Cleanup(client.Close)
	return client, server
}

func wantUnavailable(t *testing.T, err error, ambiguous bool) {
	t.Helper()
	var unavailable *store.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("error: got %v, want an UnavailableError", err)
	}
	if unavailable.Ambiguous != ambiguous {
		t.Errorf("ambiguous: got %t, want %t: %v", unavailable.Ambiguous, ambiguous, err)
	}
}

func TestStatusOfWrite(t *testing.T) {
	tests := []struct {
		name          string
		status        int
		wantAmbiguous bool
	}{
		{"rate limited", http.StatusTooManyRequests, false},
		{"unavailable", http.StatusServiceUnavailable, false},
		{"internal error", http.StatusInternalServerError, true},
		{"bad gateway", http.StatusBadGateway, true},
		{"success without a version", http.StatusOK, true},
		{"redirect", http.StatusTemporaryRedirect, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, _ := newClient(t, clock.NewFake(), func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
			})
			_, err := client.Update(t.Context(), "name", 1, nil)
			wantUnavailable(t, err, test.wantAmbiguous)
		})
	}
}

func TestRefusedConnectionIsNotAmbiguous(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := platform.New(clock.NewFake(), platform.Config{Address: address})
	_, err = client.Create(t.Context(), "name", nil)
	wantUnavailable(t, err, false)
}

// hangingServer never responds to the first request and responds to all others at
// once.
type hangingServer struct {
	// arrived receives the remote address of each request.
	arrived chan string
	body    string
	version string
	calls   atomic.Int64
}

func (s *hangingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first := s.calls.Add(1) == 1
	s.arrived <- r.RemoteAddr
	if first {
		<-r.Context().Done()
		return
	}
	w.Header().Set(platform.VersionHeader, s.version)
	_, _ = w.Write([]byte(s.body))
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	watch := func(ctx context.Context, client *platform.Client) error {
		_, err := client.Watch(ctx, "p/", 0, time.Minute)
		return err
	}
	create := func(ctx context.Context, client *platform.Client) error {
		_, err := client.Create(ctx, "name", nil)
		return err
	}
	tests := []struct {
		name          string
		call          func(ctx context.Context, client *platform.Client) error
		timeout       time.Duration
		wantAmbiguous bool
	}{
		{"watch", watch, time.Minute + platform.DefaultWatchMargin, false},
		{"write", create, platform.DefaultWriteTimeout, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clk := clock.NewFake()
			server := &hangingServer{arrived: make(chan string, 2), body: `{"version":1}`, version: "1"}
			client, _ := newClient(t, clk, server.ServeHTTP)
			result := make(chan error, 1)
			go func() { result <- test.call(t.Context(), client) }()
			first := <-server.arrived
			clk.Advance(test.timeout)
			wantUnavailable(t, <-result, test.wantAmbiguous)

			if err := test.call(t.Context(), client); err != nil {
				t.Fatalf("second call: got %v, want no error", err)
			}
			if second := <-server.arrived; second == first {
				t.Errorf("connection: got %s again, want a fresh one", second)
			}
		})
	}
}

// fixedLister returns the list that a test has set.
type fixedLister struct{ list []vm.VM }

func (m *fixedLister) VMs(context.Context) (vm.List, error) {
	return vm.List{VMs: m.list}, nil
}

// TestUnchangedListIsNotSentAgain reads the list three times. The third read follows
// a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	listed := &fixedLister{list: []vm.VM{{Name: "entry-1", State: vm.Live}}}
	api := objectapi.New(memory.New(clock.NewFake()), listed)
	var statuses []int
	client, _ := newClient(t, clock.NewFake(), func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		api.ServeHTTP(recorded, r)
		statuses = append(statuses, recorded.Code)
		maps.Copy(w.Header(), recorded.Header())
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
	})
	for _, state := range []vm.State{vm.Live, vm.Live, vm.Leaving} {
		listed.list = []vm.VM{{Name: "entry-1", State: state}}
		got, err := client.VMs(t.Context())
		if err != nil || len(got.VMs) != 1 || got.VMs[0] != listed.list[0] {
			t.Errorf("list: got %+v and %v, want %+v", got, err, listed.list)
		}
	}
	if want := []int{200, 304, 200}; !slices.Equal(statuses, want) {
		t.Errorf("statuses: got %v, want %v", statuses, want)
	}
}
