package evacuation_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/current"
	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/store/memory"
)

func reading(version store.Version, zones ...string) evacuation.Reading {
	return evacuation.Reading{Version: version, Zones: zones}
}

func TestOlderReadingAfterNewerIsIgnored(t *testing.T) {
	held := current.New(evacuation.Newer)
	tests := []struct {
		name    string
		offered evacuation.Reading
		want    []string
	}{
		{"first, before any evacuation", reading(0), nil},
		{"evacuated", reading(7, "hall"), []string{"hall"}},
		{"older, without the zone", reading(6), []string{"hall"}},
		{"the same again", reading(7, "hall"), []string{"hall"}},
		{"withdrawn", reading(9), nil},
		{"older, with the zone", reading(8, "hall"), nil},
	}
	for _, test := range tests {
		held.Store(test.offered)
		if got, _ := held.Load(); !slices.Equal(got.Zones, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got.Zones, test.want)
		}
	}
}

func TestUnknownZoneEvacuatesNothing(t *testing.T) {
	zones, unknown := reading(7, "attic", "hall").InForce(func(zone string) bool { return zone == "hall" })
	if got, want := zones, []string{"hall"}; !slices.Equal(got, want) {
		t.Errorf("in force: got %v, want %v", got, want)
	}
	if len(unknown) != 1 {
		t.Fatalf("unknown: got %v, want attic", unknown)
	}
	var typed *evacuation.UnknownZoneError
	if !errors.As(error(unknown[0]), &typed) {
		t.Fatalf("error: got %T, want an UnknownZoneError", unknown[0])
	}
	if typed.Object != evacuation.ObjectName || typed.Field != "zones" || typed.Zone != "attic" || typed.Reason == "" {
		t.Errorf("error: got %+v, want object, field, zone and reason", typed)
	}
}

func TestAddAndWithdraw(t *testing.T) {
	ctx, objects := t.Context(), memory.New(clock.NewFake())
	steps := []struct {
		name  string
		write func(context.Context, store.Store, string) (evacuation.Reading, error)
		zone  string
		want  []string
	}{
		{"withdrawal before any evacuation", evacuation.Withdraw, "hall", nil},
		{"evacuation", evacuation.Add, "hall", []string{"hall"}},
		{"repeated", evacuation.Add, "hall", []string{"hall"}},
		{"of another zone", evacuation.Add, "depot", []string{"depot", "hall"}},
		{"withdrawal", evacuation.Withdraw, "hall", []string{"depot"}},
		{"repeated withdrawal", evacuation.Withdraw, "hall", []string{"depot"}},
		{"of the last", evacuation.Withdraw, "depot", nil},
	}
	var version store.Version
	for _, step := range steps {
		written, err := step.write(ctx, objects, step.zone)
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		fetched, err := evacuation.Fetch(ctx, objects)
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if !slices.Equal(fetched.Zones, step.want) || !written.SameZones(fetched) {
			t.Errorf("%s: got %v, stored %v, want %v", step.name, written.Zones, fetched.Zones, step.want)
		}
		if written.Version != fetched.Version || written.Version < version {
			t.Errorf("%s: got version %d, stored %d, want not less than %d", step.name, written.Version, fetched.Version, version)
		}
		version = written.Version
	}
}

// TestWriteWithoutResponseIsRepeated guards against an operator's second attempt that
// fails, or undoes what another operator stored, because the first one was applied.
func TestWriteWithoutResponseIsRepeated(t *testing.T) {
	objects := &repliesLost{Store: memory.New(clock.NewFake()), lost: 2}
	if _, err := evacuation.Add(t.Context(), objects, "hall"); err != nil {
		t.Fatal(err)
	}
	got, err := evacuation.Fetch(t.Context(), objects)
	if want := []string{"hall"}; err != nil || !slices.Equal(got.Zones, want) {
		t.Errorf("stored: got %v and %v, want %v", got.Zones, err, want)
	}
}

func TestConflictingOperatorsKeepBothZones(t *testing.T) {
	objects := &repliesLost{Store: memory.New(clock.NewFake())}
	objects.beforeWrite = func() {
		objects.beforeWrite = nil
		if _, err := evacuation.Add(t.Context(), objects.Store, "depot"); err != nil {
			t.Error(err)
		}
	}
	got, err := evacuation.Add(t.Context(), objects, "hall")
	if want := []string{"depot", "hall"}; err != nil || !slices.Equal(got.Zones, want) {
		t.Errorf("stored: got %v and %v, want %v", got.Zones, err, want)
	}
}

// repliesLost is a store whose next replies to writes are lost after they took effect.
type repliesLost struct {
	*memory.Store
	lost        int
	beforeWrite func()
}

func (s *repliesLost) reply(name string, version store.Version, err error) (store.Version, error) {
	if err == nil && s.lost > 0 {
		s.lost--
		return 0, &store.UnavailableError{Operation: "write", Name: name, Ambiguous: true, Kind: store.NoReply}
	}
	return version, err
}

func (s *repliesLost) Create(ctx context.Context, name string, value []byte) (store.Version, error) {
	s.callBeforeWrite()
	version, err := s.Store.Create(ctx, name, value)
	return s.reply(name, version, err)
}

func (s *repliesLost) Update(ctx context.Context, name string, version store.Version, value []byte) (store.Version, error) {
	s.callBeforeWrite()
	version, err := s.Store.Update(ctx, name, version, value)
	return s.reply(name, version, err)
}

func (s *repliesLost) callBeforeWrite() {
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
}

func TestFailedFetchIsNoReading(t *testing.T) {
	objects := memory.New(clock.NewFake())
	objects.SetFaults(memory.Faults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var unavailable *store.UnavailableError
	if got, err := evacuation.Fetch(ctx, objects); !errors.As(err, &unavailable) {
		t.Errorf("outage: got %+v and %v, want an UnavailableError", got, err)
	}
	objects.SetFaults(memory.Faults{})
	if _, err := objects.Create(ctx, evacuation.ObjectName, []byte("hall")); err != nil {
		t.Fatal(err)
	}
	if got, err := evacuation.Fetch(ctx, objects); err == nil {
		t.Errorf("malformed object: got %+v, want an error", got)
	}
}
