package node

import "jacinthpaddle.example/fleet/process/event"

// endpointFlags is the state of one endpoint at the last call of logEndpointChanges.
type endpointFlags struct {
	leaving bool
	ejected bool
	cold    bool
}

// logEndpointChanges logs each endpoint that started to leave, was ejected, or is
// cold or warm since the last call.
func (s *State) logEndpointChanges() {
	latest := make(map[string]endpointFlags)
	for _, pool := range s.Generation.Set.Pools {
		for _, state := range s.Endpoints.View().InPool(pool.Name) {
			name := state.VM.Name
			cold := state.Cold.Cold(s.Clock.Now())
			flags := endpointFlags{leaving: !state.Usable(), ejected: !state.EjectedUntil.Load().IsZero(), cold: cold != nil}
			if flags.leaving && !s.loggedEndpoints[name].leaving {
				s.Log.Emit(event.EndpointLeaving, event.String("endpoint", name))
			}
			if flags.ejected && !s.loggedEndpoints[name].ejected {
				s.Log.Emit(event.EndpointEjected, event.String("endpoint", name))
			}
			if flags.cold && !s.loggedEndpoints[name].cold {
				s.Log.Emit(event.EndpointCold, event.String("endpoint", name), event.String("sign", cold.Source))
			}
			if !flags.cold && s.loggedEndpoints[name].cold {
				s.Log.Emit(event.EndpointWarm, event.String("endpoint", name))
			}
			latest[name] = flags
		}
	}
	s.loggedEndpoints = latest
}
