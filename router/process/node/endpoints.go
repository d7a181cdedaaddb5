package node

import "jacinthpaddle.example/fleet/process/event"

// endpointSigns is what was last logged of one endpoint.
type endpointSigns struct {
	leaving bool
	ejected bool
}

// noteEndpoints logs the endpoints that began to leave or were ejected since the
// last call.
func (s *State) noteEndpoints() {
	seen := make(map[string]endpointSigns)
	for _, pool := range s.Generation.Set.Pools {
		for _, state := range s.Endpoints.View().InPool(pool.Name) {
			name := state.VM.Name
			signs := endpointSigns{leaving: !state.Usable(), ejected: !state.EjectedUntil.Load().IsZero()}
			if signs.leaving && !s.signs[name].leaving {
				s.Log.Emit(event.EndpointLeaving, event.Text("endpoint", name))
			}
			if signs.ejected && !s.signs[name].ejected {
				s.Log.Emit(event.EndpointEjected, event.Text("endpoint", name))
			}
			seen[name] = signs
		}
	}
	s.signs = seen
}
