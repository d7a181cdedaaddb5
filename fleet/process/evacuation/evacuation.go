// Package evacuation holds the availability zones to whose endpoints an operator wants no
// new requests sent.
//
// The zones are stored in one object. A Reading of it has the version at which it was
// read, so that processes that receive readings in any order keep the newest one. Nothing
// but a newer reading withdraws an evacuation: not a restart, and not an outage of the
// store.
//
// # Usage
//
//	reading, err := evacuation.Fetch(ctx, objects)
//	held := current.New(evacuation.Newer)
//	if held.Store(reading) {
//		zones, unknown := reading.InForce(isKnownZone)
//	}
//
//	reading, err = evacuation.Add(ctx, objects, "colombo-hall")
//	reading, err = evacuation.Withdraw(ctx, objects, "colombo-hall")
package evacuation

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
)

// ObjectName is the name of the object that holds the evacuated zones.
const ObjectName = "evacuation/zones"

// Reading is the evacuated zones at one version of the object.
type Reading struct {
	// Version is zero before the first evacuation.
	Version store.Version `json:"-" cbor:"version"`
	// Zones are the availability zones, sorted.
	Zones []string `json:"zones" cbor:"zones,omitempty"`
}

// UnknownZoneError is returned for the evacuation of a zone that does not exist.
type UnknownZoneError struct {
	// Object and Field name where the zone stands.
	Object string
	Field  string
	Zone   string
	Reason string
}

// Error implements error.
func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("%s: %s: %q %s", e.Object, e.Field, e.Zone, e.Reason)
}

// NewUnknownZoneError returns the error for a zone in the stored object.
func NewUnknownZoneError(zone, reason string) *UnknownZoneError {
	return &UnknownZoneError{Object: ObjectName, Field: "zones", Zone: zone, Reason: reason}
}

// Newer reports whether the offered reading replaces the held one.
func Newer(held, offered Reading) bool {
	return offered.Version > held.Version
}

// SameZones reports whether both readings have the same zones.
func (r Reading) SameZones(other Reading) bool {
	return slices.Equal(r.Zones, other.Zones)
}

// InForce returns the zones that exist, and an error for each of the others, which must
// not be taken for an evacuation of any other zone.
func (r Reading) InForce(exists func(zone string) bool) (zones []string, unknown []*UnknownZoneError) {
	for _, zone := range r.Zones {
		if exists(zone) {
			zones = append(zones, zone)
			continue
		}
		unknown = append(unknown, NewUnknownZoneError(zone, "is not an availability zone of this deployment"))
	}
	return zones, unknown
}

// Changes returns the zones that are only on the later list, and those only on the
// earlier one.
func Changes(earlier, later []string) (added, removed []string) {
	return without(later, earlier), without(earlier, later)
}

func without(zones, excluded []string) []string {
	var kept []string
	for _, zone := range zones {
		if !slices.Contains(excluded, zone) {
			kept = append(kept, zone)
		}
	}
	return kept
}

// Encode returns the value of the object that holds the zones.
func Encode(zones []string) ([]byte, error) {
	sorted := slices.Compact(slices.Sorted(slices.Values(zones)))
	value, err := json.Marshal(Reading{Zones: sorted})
	return value, errors.Annotate(err, ObjectName)
}

// Fetch reads the evacuated zones from the store.
func Fetch(ctx context.Context, objects store.Store) (Reading, error) {
	object, err := objects.Get(ctx, ObjectName)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return Reading{}, nil
	}
	if err != nil {
		return Reading{}, errors.Trace(err)
	}
	reading := Reading{Version: object.Version}
	if err := json.Unmarshal(object.Value, &reading); err != nil {
		return Reading{}, errors.Annotate(err, ObjectName)
	}
	reading.Zones = slices.Compact(slices.Sorted(slices.Values(reading.Zones)))
	return reading, nil
}
