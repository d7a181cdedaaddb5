package store_test

import (
	"context"
	"net/http/httptest"
	"strings"
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

// fixture is one implementation under test. Its memory store holds the objects in
// either case.
type fixture struct {
	store.Store
	memory *memory.Store
	clock  *clock.Fake
	// timers is how many timers of the clock a waiting call has created: one in the
	// memory store, and one in the client for the timeout of the call.
	timers int
}

// noVMs lists no VMs.
type noVMs struct{}

func (noVMs) VMs(context.Context) (vm.List, error) { return vm.List{VMs: []vm.VM{}}, nil }

func newMemory(*testing.T) fixture {
	clk := clock.NewFake()
	objects := memory.New(clk)
	return fixture{Store: objects, memory: objects, clock: clk, timers: 1}
}

func newClient(t *testing.T) fixture {
	clk := clock.NewFake()
	objects := memory.New(clk)
	server := httptest.NewServer(objectapi.New(objects, noVMs{}))
	t.Cleanup(server.Close)
	client := platform.New(clk, platform.Config{Address: server.Listener.Addr().String()})
	t.Cleanup(client.Close)
	return fixture{Store: client, memory: objects, clock: clk, timers: 2}
}

// eachStore runs the test with each implementation.
func eachStore(t *testing.T, test func(t *testing.T, objects fixture)) {
	t.Run("memory", func(t *testing.T) { test(t, newMemory(t)) })
	t.Run("platform", func(t *testing.T) { test(t, newClient(t)) })
}

func mustCreate(t *testing.T, objects store.Store, name, value string) store.Version {
	t.Helper()
	version, err := objects.Create(t.Context(), name, []byte(value))
	if err != nil {
		t.Fatalf("create %s: got %v, want no error", name, err)
	}
	return version
}

func TestGetReturnsWrittenValue(t *testing.T) {
	names := []string{"account/7", "a b/ü%2F?#", "plain"}
	eachStore(t, func(t *testing.T, objects fixture) {
		for _, name := range names {
			version := mustCreate(t, objects, name, "value of "+name)
			got, err := objects.Get(t.Context(), name)
			if err != nil {
				t.Fatalf("get %s: got %v, want no error", name, err)
			}
			if got.Name != name || got.Version != version || string(got.Value) != "value of "+name {
				t.Errorf("get %s: got %+v, want version %d", name, got, version)
			}
		}
	})
}

func TestConditionalWrites(t *testing.T) {
	tests := []struct {
		name        string
		write       func(ctx context.Context, objects store.Store, current store.Version) error
		wantVersion store.Version
	}{
		{"create an object that exists", func(ctx context.Context, objects store.Store, _ store.Version) error {
			_, err := objects.Create(ctx, "held", nil)
			return err
		}, 1},
		{"update another version", func(ctx context.Context, objects store.Store, current store.Version) error {
			_, err := objects.Update(ctx, "held", current+1, nil)
			return err
		}, 1},
		{"update an object that does not exist", func(ctx context.Context, objects store.Store, current store.Version) error {
			_, err := objects.Update(ctx, "absent", current, nil)
			return err
		}, 0},
		{"delete another version", func(ctx context.Context, objects store.Store, current store.Version) error {
			return objects.Delete(ctx, "held", current+1)
		}, 1},
		{"delete an object that does not exist", func(ctx context.Context, objects store.Store, current store.Version) error {
			return objects.Delete(ctx, "absent", current)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			eachStore(t, func(t *testing.T, objects fixture) {
				current := mustCreate(t, objects, "held", "value")
				err := test.write(t.Context(), objects, current)
				var conflict *store.ConflictError
				if !errors.As(err, &conflict) {
					t.Fatalf("error: got %v, want a ConflictError", err)
				}
				if conflict.Current != test.wantVersion {
					t.Errorf("current version: got %d, want %d", conflict.Current, test.wantVersion)
				}
			})
		})
	}
}

func TestVersionsGrowOverAllObjects(t *testing.T) {
	eachStore(t, func(t *testing.T, objects fixture) {
		first := mustCreate(t, objects, "a", "1")
		second := mustCreate(t, objects, "b", "1")
		third, err := objects.Update(t.Context(), "a", first, []byte("2"))
		if err != nil {
			t.Fatalf("update: got %v, want no error", err)
		}
		if err := objects.Delete(t.Context(), "b", second); err != nil {
			t.Fatalf("delete: got %v, want no error", err)
		}
		fourth := mustCreate(t, objects, "b", "2")
		if first >= second || second >= third || third >= fourth {
			t.Errorf("versions: got %d %d %d %d, want them to grow", first, second, third, fourth)
		}
	})
}

func TestListIsSortedByName(t *testing.T) {
	eachStore(t, func(t *testing.T, objects fixture) {
		second := mustCreate(t, objects, "p/2", "")
		first := mustCreate(t, objects, "p/1", "")
		mustCreate(t, objects, "q/1", "")
		got, err := objects.List(t.Context(), "p/")
		if err != nil {
			t.Fatalf("list: got %v, want no error", err)
		}
		if len(got) != 2 || got[0].Version != first || got[1].Version != second {
			t.Errorf("list: got %+v, want p/1 and p/2", got)
		}
	})
}

func TestMissingObjectAndTooLargeValue(t *testing.T) {
	eachStore(t, func(t *testing.T, objects fixture) {
		_, err := objects.Get(t.Context(), "absent")
		var notFound *store.NotFoundError
		if !errors.As(err, &notFound) {
			t.Errorf("get: got %v, want a NotFoundError", err)
		}
		_, err = objects.Create(t.Context(), "large", make([]byte, store.MaxValueBytes+1))
		var tooLarge *store.TooLargeError
		if !errors.As(err, &tooLarge) {
			t.Errorf("create: got %v, want a TooLargeError", err)
		}
		mustCreate(t, objects, "large", strings.Repeat("x", store.MaxValueBytes))
	})
}

func TestWatchReturnsEarlierChanges(t *testing.T) {
	eachStore(t, func(t *testing.T, objects fixture) {
		first := mustCreate(t, objects, "p/1", "")
		second := mustCreate(t, objects, "p/2", "")
		if err := objects.Delete(t.Context(), "p/1", first); err != nil {
			t.Fatalf("delete: got %v, want no error", err)
		}
		got, err := objects.Watch(t.Context(), "p/", first, time.Minute)
		if err != nil {
			t.Fatalf("watch: got %v, want no error", err)
		}
		want := []store.Change{
			{Name: "p/2", Version: second},
			{Name: "p/1", Version: second + 1, Deleted: true},
		}
		if len(got.Changed) != 2 || got.Changed[0] != want[0] || got.Changed[1] != want[1] {
			t.Errorf("changed: got %+v, want %+v", got.Changed, want)
		}
		if got.Version != second+1 {
			t.Errorf("version: got %d, want %d", got.Version, second+1)
		}
	})
}

// watchResult is what Watch returned.
type watchResult struct {
	changes store.Changes
	err     error
}

// startWatch starts a watch and returns once it is waiting.
func (f fixture) startWatch(ctx context.Context, t *testing.T) <-chan watchResult {
	t.Helper()
	result := make(chan watchResult, 1)
	go func() {
		changes, err := f.Watch(ctx, "p/", 0, time.Minute)
		result <- watchResult{changes, err}
	}()
	f.awaitTimers(t)
	return result
}

func (f fixture) awaitTimers(t *testing.T) {
	t.Helper()
	if err := f.clock.BlockUntilContext(t.Context(), f.timers); err != nil {
		t.Fatalf("call does not wait: %v", err)
	}
}

func TestWatchWaits(t *testing.T) {
	tests := []struct {
		name        string
		end         func(t *testing.T, f fixture, cancel func())
		wantChanged int
		wantErr     bool
	}{
		{"until something changes under the prefix", func(t *testing.T, f fixture, _ func()) {
			mustCreate(t, f.memory, "q/1", "")
			mustCreate(t, f.memory, "p/1", "")
		}, 1, false},
		{"for the wait", func(_ *testing.T, f fixture, _ func()) { f.clock.Advance(time.Minute) }, 0, false},
		{"until it is cancelled", func(_ *testing.T, _ fixture, cancel func()) { cancel() }, 0, true},
		{"until the store goes down", func(_ *testing.T, f fixture, _ func()) {
			f.memory.SetFaults(memory.Faults{Down: true})
		}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			eachStore(t, func(t *testing.T, f fixture) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				result := f.startWatch(ctx, t)
				test.end(t, f, cancel)
				got := <-result
				var unavailable *store.UnavailableError
				if errors.As(got.err, &unavailable) != test.wantErr {
					t.Errorf("error: got %v, want an UnavailableError: %t", got.err, test.wantErr)
				}
				if len(got.changes.Changed) != test.wantChanged {
					t.Errorf("changed: got %+v, want %d", got.changes.Changed, test.wantChanged)
				}
			})
		})
	}
}

func TestFaultsOfWrites(t *testing.T) {
	tests := []struct {
		name          string
		faults        memory.Faults
		cancel        bool
		wantAmbiguous bool
		wantEffect    bool
	}{
		{"down", memory.Faults{Down: true}, false, false, false},
		{"reply lost", memory.Faults{LoseReplies: 1}, false, true, true},
		{"reply later than the caller waits", memory.Faults{Delay: time.Second}, true, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			eachStore(t, func(t *testing.T, f fixture) {
				f.memory.SetFaults(test.faults)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				result := make(chan error, 1)
				go func() {
					_, err := f.Create(ctx, "name", []byte("value"))
					result <- err
				}()
				if test.cancel {
					f.awaitTimers(t)
					cancel()
				}
				checkUnavailable(t, <-result, test.wantAmbiguous)
				f.memory.SetFaults(memory.Faults{})
				_, err := f.Get(t.Context(), "name")
				if (err == nil) != test.wantEffect {
					t.Errorf("read back: got %v, want found: %t", err, test.wantEffect)
				}
			})
		})
	}
}

func checkUnavailable(t *testing.T, err error, wantAmbiguous bool) {
	t.Helper()
	var unavailable *store.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("error: got %v, want an UnavailableError", err)
	}
	if unavailable.Ambiguous != wantAmbiguous {
		t.Errorf("ambiguous: got %t, want %t: %v", unavailable.Ambiguous, wantAmbiguous, err)
	}
}

func TestDelayedReadSucceeds(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		mustCreate(t, f, "name", "value")
		f.memory.SetFaults(memory.Faults{Delay: time.Second})
		result := make(chan error, 1)
		go func() {
			_, err := f.Get(t.Context(), "name")
			result <- err
		}()
		f.awaitTimers(t)
		f.clock.Advance(time.Second)
		if err := <-result; err != nil {
			t.Errorf("get: got %v, want no error", err)
		}
	})
}

func TestReadsAreNeverAmbiguous(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		f.memory.SetFaults(memory.Faults{Down: true, LoseReplies: 1})
		_, err := f.Get(t.Context(), "name")
		checkUnavailable(t, err, false)
		_, err = f.List(t.Context(), "")
		checkUnavailable(t, err, false)
	})
}

func TestCounts(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		mustCreate(t, f, "q/1", "")
		_, _ = f.Create(t.Context(), "q/1", nil)
		_, _ = f.Get(t.Context(), "q/1")
		_, _ = f.List(t.Context(), "")
		result := f.startWatch(t.Context(), t)
		want := memory.Counts{Reads: 1, Lists: 1, Writes: 2, Watches: 1, Waiting: 1}
		if got := f.memory.Counts(); got != want {
			t.Errorf("counts: got %+v, want %+v", got, want)
		}
		f.clock.Advance(time.Minute)
		<-result
		if got := f.memory.Counts().Waiting; got != 0 {
			t.Errorf("waiting: got %d, want 0", got)
		}
	})
}
