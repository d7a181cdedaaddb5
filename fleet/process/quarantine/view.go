package quarantine

import "slices"

// View is a snapshot of a Tracker. It is immutable.
type View struct {
	// Groups has the quarantined parts, by part. All parts of a group failed at the same
	// endpoints, so that a prompt is refused only if it has all of them: a prompt with some
	// shows which one is the cause.
	Groups map[Part][]Part
	// Endpoints has the endpoints that failed with each suspect, quarantined or not.
	Endpoints map[Part][]string
}

// View returns a snapshot of the tracker.
func (t *Tracker) View() *View {
	view := &View{Groups: make(map[Part][]Part), Endpoints: make(map[Part][]string)}
	crashed := make(map[Part]map[string]bool)
	for part, failures := range t.Suspects {
		endpoints := make(map[string]bool)
		for _, suspicion := range failures {
			view.Endpoints[part] = append(view.Endpoints[part], suspicion.Endpoint)
			endpoints[suspicion.Endpoint] = true
		}
		if t.isQuarantined(failures) {
			crashed[part] = endpoints
		}
	}
	for part := range crashed {
		if group, ok := groupOf(part, crashed); ok {
			view.Groups[part] = group
		}
	}
	return view
}

// groupOf returns the parts that failed at the same endpoints as the part. It returns false
// if another part failed at all of these and at more, which explains them.
func groupOf(part Part, crashed map[Part]map[string]bool) ([]Part, bool) {
	var group []Part
	for other, endpoints := range crashed {
		if !containsAll(endpoints, crashed[part]) {
			continue
		}
		if len(endpoints) > len(crashed[part]) {
			return nil, false
		}
		group = append(group, other)
	}
	slices.Sort(group)
	return group, true
}

func containsAll(set, subset map[string]bool) bool {
	for member := range subset {
		if !set[member] {
			return false
		}
	}
	return true
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

// Suspects returns the parts of a prompt that are suspects.
func (v *View) Suspects(parts []Part) []Part {
	var suspects []Part
	for _, part := range parts {
		if len(v.Endpoints[part]) > 0 {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// FailedElsewhere reports whether any part of a prompt is a suspect of the failure of
// another endpoint.
func (v *View) FailedElsewhere(parts []Part, endpoint string) bool {
	return slices.ContainsFunc(parts, func(part Part) bool {
		return slices.ContainsFunc(v.Endpoints[part], func(failed string) bool { return failed != endpoint })
	})
}
