package evacuation

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
)

// maxWriteAttempts bounds the attempts of a write that conflicts with those of other
// operators or whose outcome is unknown.
const maxWriteAttempts = 5

// Add stores the evacuation of the zone and returns what is stored then. The response of
// the store acknowledges the evacuation. A zone that is evacuated already is no error.
func Add(ctx context.Context, objects store.Store, zone string) (Reading, error) {
	return modify(ctx, objects, func(zones []string) []string {
		return append(slices.Clone(zones), zone)
	})
}

// Withdraw stores the end of the evacuation of the zone and returns what is stored then.
// A zone that is not evacuated is no error.
func Withdraw(ctx context.Context, objects store.Store, zone string) (Reading, error) {
	return modify(ctx, objects, func(zones []string) []string {
		return without(zones, []string{zone})
	})
}

// modify reads the zones and stores the edited ones, unless they are the same. After a
// conflict, or a write whose outcome is unknown, it starts again with what is stored.
func modify(ctx context.Context, objects store.Store, edit func(zones []string) []string) (Reading, error) {
	var err error
	for range maxWriteAttempts {
		var stored Reading
		if stored, err = Fetch(ctx, objects); err != nil {
			return Reading{}, err
		}
		edited := Reading{Zones: slices.Compact(slices.Sorted(slices.Values(edit(stored.Zones))))}
		if edited.SameZones(stored) {
			return stored, nil
		}
		edited.Version, err = write(ctx, objects, stored.Version, edited.Zones)
		if err == nil {
			return edited, nil
		}
		if !repeatable(err) {
			break
		}
	}
	return Reading{}, errors.Trace(err)
}

func write(ctx context.Context, objects store.Store, version store.Version, zones []string) (store.Version, error) {
	value, err := Encode(zones)
	if err != nil {
		return 0, err
	}
	if version == 0 {
		return objects.Create(ctx, ObjectName, value)
	}
	return objects.Update(ctx, ObjectName, version, value)
}

// repeatable reports whether the write conflicted or may have been applied.
func repeatable(err error) bool {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}
