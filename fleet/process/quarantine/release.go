package quarantine

import (
	"slices"
	"time"
)

// releaseExpired releases the parts that were quarantined in the groups and whose remaining
// failures do not suffice.
func (t *Tracker) releaseExpired(groups map[Part][]Part, now time.Time) {
	for part, group := range groups {
		if !t.isQuarantined(t.Suspects[part]) && t.Released[part].HeldUntil.IsZero() {
			t.release(part, group, now)
		}
	}
}

// release records the end of a quarantine.
func (t *Tracker) release(part Part, group []Part, now time.Time) {
	released, known := t.Released[part]
	if known || len(t.Released) < t.Config.MaxParts {
		t.Released[part] = Release{Count: min(released.Count+1, t.Config.MaxReleases), At: now, Group: group}
	}
}

// heldGroup returns the parts that are refused together since one of them relapsed. Those
// that were cleared since do not count.
func (t *Tracker) heldGroup(released Release) []Part {
	return slices.DeleteFunc(slices.Clone(released.Group), func(part Part) bool {
		_, known := t.Released[part]
		return !known
	})
}

// addRelapse quarantines a part that failed after its release.
func (t *Tracker) addRelapse(part Part, at time.Time) {
	released, ok := t.Released[part]
	if !ok || at.Before(released.At) {
		return
	}
	if until := at.Add(t.holdTime(released)); until.After(released.HeldUntil) {
		released.HeldUntil = until
		t.Released[part] = released
	}
}

// holdTime returns how long a part is quarantined after a relapse. A part that does not fail
// for as long after its release is forgotten.
func (t *Tracker) holdTime(released Release) time.Duration {
	hold := t.Config.Memory
	for range released.Count {
		hold *= time.Duration(t.Config.RelapseGrowth)
	}
	return hold
}

// clearRelease drops the release of a part because of a whole response that ended later, and
// reports whether there was one.
func (t *Tracker) clearRelease(part Part, wholeAt time.Time) bool {
	released, ok := t.Released[part]
	if !ok || !wholeAt.After(released.At) {
		return false
	}
	delete(t.Released, part)
	return true
}

// expireHolds releases the parts whose quarantine after a relapse is over and reports whether
// there were any. It forgets those that did not relapse.
func (t *Tracker) expireHolds(now time.Time) bool {
	changed := false
	for part, released := range t.Released {
		switch {
		case released.HeldUntil.IsZero() && now.Sub(released.At) >= t.holdTime(released):
			delete(t.Released, part)
		case !released.HeldUntil.IsZero() && !now.Before(released.HeldUntil):
			t.release(part, released.Group, now)
			changed = true
		}
	}
	return changed
}
