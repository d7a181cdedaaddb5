package node

import (
	"context"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/store"
)

// EvacuationsRead has the evacuated zones that this process read from the store.
type EvacuationsRead struct {
	Reading evacuation.Reading
}

// Apply implements control.Message.
func (m EvacuationsRead) Apply(state *State) {
	state.applyEvacuations(m.Reading)
}

// handleEvacuations applies the reading of a peer. A peer whose zones differ and whose
// reading is older receives the newer one.
func (s *State) handleEvacuations(from ident.Incarnation, reading evacuation.Reading) {
	if s.Settings.Platform.EvacuationBound == 0 {
		return
	}
	held, known := s.Evacuations.Load()
	if known && evacuation.Newer(reading, held) && !held.SameZones(reading) {
		s.sendEvacuations(from)
		return
	}
	s.applyEvacuations(reading)
}

// applyEvacuations puts the reading into force, unless the held one is as new, and sends it
// to the linked peers of all availability zones if it changes the zones. The others have
// what they need: readings of the same zones differ only in when they were made.
func (s *State) applyEvacuations(reading evacuation.Reading) {
	held, known := s.Evacuations.Load()
	if !s.Evacuations.Store(reading) {
		return
	}
	if known && held.SameZones(reading) {
		return
	}
	s.enforceEvacuations(reading)
	if !known {
		s.activateGeneration()
	}
	for to := range s.Linked {
		s.sendEvacuations(to)
	}
}

// enforceEvacuations excludes the endpoints of the evacuated zones and logs what changed.
func (s *State) enforceEvacuations(reading evacuation.Reading) {
	zones, unknown := reading.InForce(s.zoneExists)
	for _, err := range unknown {
		s.Log.Emit(event.EvacuationInvalid, event.String("object", err.Object), event.String("field", err.Field),
			event.String("zone", err.Zone), event.String("reason", err.Reason))
	}
	added, removed := evacuation.Changes(s.evacuated, zones)
	for _, zone := range added {
		s.Log.Emit(event.ZoneEvacuated, event.String("zone", zone), event.Int("version", reading.Version))
	}
	for _, zone := range removed {
		s.Log.Emit(event.EvacuationWithdrawn, event.String("zone", zone), event.Int("version", reading.Version))
	}
	s.evacuated = zones
	s.Endpoints.SetEvacuated(zones)
	s.updateEndpoints()
}

// zoneExists reports whether the settings name the availability zone. Settings without
// zones leave it to the list of VMs which zones have endpoints.
func (s *State) zoneExists(zone string) bool {
	regions := s.Settings.Platform.RegionByZone()
	_, exists := regions[zone]
	return exists || len(regions) == 0
}

// evacuationsKnown reports whether requests may be served as far as evacuations go.
func (s *State) evacuationsKnown() bool {
	_, known := s.Evacuations.Load()
	return known || s.Settings.Platform.EvacuationBound == 0
}

// heldEvacuations returns the held reading, or nil if there is none.
func (s *State) heldEvacuations() *evacuation.Reading {
	held, known := s.Evacuations.Load()
	if !known {
		return nil
	}
	return &held
}

// sendEvacuations sends the held reading to a peer, if there is one.
func (s *State) sendEvacuations(to ident.Incarnation) {
	if held := s.heldEvacuations(); held != nil {
		s.send(to, peer.Message{Evacuations: held})
	}
}

// evacuatedZones returns the number of evacuated zones for the metrics.
func (n *Node) evacuatedZones() int64 {
	held, _ := n.state.Evacuations.Load()
	zones, _ := held.InForce(n.state.zoneExists)
	return int64(len(zones))
}

// newEvacuationWatcher returns the watcher of the evacuated zones.
func (n *Node) newEvacuationWatcher(policy ReadPolicy) *objectWatcher {
	return &objectWatcher{
		clock:   n.Clock,
		objects: n.platform,
		log:     n.Log,
		name:    evacuation.ObjectName,
		failed:  event.EvacuationsFailed,
		wait:    n.Settings.Platform.EvacuationWait(),
		retry:   n.Settings.Platform.WatchRetry,
		policy:  policy,
		read: func(ctx context.Context) (store.Version, error) {
			reading, err := evacuation.Fetch(ctx, n.platform)
			if err != nil {
				return 0, err
			}
			n.thread.Send(EvacuationsRead{Reading: reading})
			return reading.Version, nil
		},
	}
}
