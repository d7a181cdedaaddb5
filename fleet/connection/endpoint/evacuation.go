package endpoint

import (
	"slices"
	"time"
)

// SetEvacuated sets the availability zones whose endpoints get no new requests and no
// polls. It takes effect at the next Update. Requests in progress are not affected.
func (t *Table) SetEvacuated(zones []string) {
	t.evacuated = zones
}

// applyEvacuation reports whether the endpoint is outside the evacuated zones. An endpoint
// whose zone returns starts slowly, since it may be cold.
func (t *Table) applyEvacuation(state *State, now time.Time) bool {
	evacuated := slices.Contains(t.evacuated, state.VM.AvailabilityZone)
	if state.evacuated && !evacuated {
		state.SlowStartSince.Store(now)
		// Endpoints may have been restarted meanwhile, and the list may say so later.
		state.Cold.Presume(now)
	}
	state.evacuated = evacuated
	return !evacuated
}
