package quarantine

import "slices"

// View is a snapshot of a Tracker. It is immutable.
type View struct {
	// Groups has the quarantined parts, by part. All parts of a group failed in the same
	// crashes, so that a prompt is refused only if it has all of them: a prompt with some
	// shows which one is the cause.
	Groups map[Part][]Part
	// Endpoints has the endpoints that failed with each suspect, quarantined or not.
	Endpoints map[Part][]string
}

// candidate is a part with enough failures to be quarantined.
type candidate struct {
	part     Part
	failures []Suspicion
	crashes  map[int]bool
}

// View returns a snapshot of the tracker.
func (t *Tracker) View() *View {
	view := &View{Groups: make(map[Part][]Part), Endpoints: make(map[Part][]string)}
	var candidates []candidate
	for part, failures := range t.Suspects {
		crashes := make(map[int]bool)
		for _, suspicion := range failures {
			view.Endpoints[part] = append(view.Endpoints[part], suspicion.Endpoint)
			crashes[suspicion.Crash] = true
		}
		if t.isQuarantined(failures) {
			candidates = append(candidates, candidate{part: part, failures: failures, crashes: crashes})
		}
	}
	for _, each := range candidates {
		if group, ok := t.groupOf(each, candidates); ok {
			view.Groups[each.part] = group
		}
	}
	for part, released := range t.Released {
		if !released.HeldUntil.IsZero() && len(view.Groups[part]) == 0 {
			view.Groups[part] = t.heldGroup(released)
		}
	}
	return view
}

// groupOf returns the candidates that failed in the same crashes. It returns false if
// another one explains the failures of the candidate: it failed in more crashes, and too
// few of the candidate's failures remain beside these.
func (t *Tracker) groupOf(each candidate, candidates []candidate) ([]Part, bool) {
	var group []Part
	for _, other := range candidates {
		remaining := slices.DeleteFunc(slices.Clone(each.failures), func(failure Suspicion) bool { return other.crashes[failure.Crash] })
		switch {
		case len(remaining) == 0 && len(other.crashes) == len(each.crashes):
			group = append(group, other.part)
		case len(other.crashes) > len(each.crashes) && !t.isQuarantined(remaining):
			return nil, false
		}
	}
	slices.Sort(group)
	return group, true
}

// Quarantined returns the first part of a prompt that makes it refused, if there is one.
func (v *View) Quarantined(parts []Part) (Part, bool) {
	for _, part := range parts {
		group, quarantined := v.Groups[part]
		if quarantined && !slices.ContainsFunc(group, func(other Part) bool { return !slices.Contains(parts, other) }) {
			return part, true
		}
	}
	return "", false
}

// FailedAt returns the endpoints that failed with a suspect part of a prompt, or nil if
// there are none.
func (v *View) FailedAt(parts []Part) map[string]bool {
	var failed map[string]bool
	for _, part := range parts {
		for _, endpoint := range v.Endpoints[part] {
			if failed == nil {
				failed = make(map[string]bool)
			}
			failed[endpoint] = true
		}
	}
	return failed
}

// FailedElsewhere returns the largest number of other endpoints that failed with one part
// of a prompt.
func (v *View) FailedElsewhere(parts []Part, endpoint string) int {
	most := 0
	for _, part := range parts {
		failed := make(map[string]bool)
		for _, other := range v.Endpoints[part] {
			if other != endpoint {
				failed[other] = true
			}
		}
		most = max(most, len(failed))
	}
	return most
}
