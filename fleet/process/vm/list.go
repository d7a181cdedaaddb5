package vm

import (
	"slices"
	"time"
)

// List is one version of the platform's list of VMs.
type List struct {
	// Version is zero if the platform doesn't number versions of its list.
	Version int64
	VMs     []VM
	// ReadAt is when the platform replied with the list. It is zero in a list that was
	// relayed.
	ReadAt time.Time
}

// Delta is the difference between two versions of a list.
type Delta struct {
	// Base is the version that the delta applies to. Zero means that Changed is the
	// whole list.
	Base int64 `cbor:"base"`
	// Version is the version that the delta leads to.
	Version int64 `cbor:"version"`
	// Changed holds the VMs that were added or changed.
	Changed []VM `cbor:"changed,omitempty"`
	// Removed holds the names of the VMs that were removed.
	Removed []string `cbor:"gone,omitempty"`
}

// Diff returns the delta from one version of the list to a later one, or the whole later
// list if the earlier one has version zero.
func Diff(before, after List) Delta {
	delta := Delta{Base: before.Version, Version: after.Version}
	if before.Version == 0 {
		delta.Changed = after.VMs
		return delta
	}
	previous := make(map[string]VM, len(before.VMs))
	for _, machine := range before.VMs {
		previous[machine.Name] = machine
	}
	for _, machine := range after.VMs {
		if earlier, ok := previous[machine.Name]; !ok || earlier != machine {
			delta.Changed = append(delta.Changed, machine)
		}
	}
	for _, machine := range Missing(after.VMs, before.VMs) {
		delta.Removed = append(delta.Removed, machine.Name)
	}
	return delta
}

// Apply returns the list with the delta applied. It returns the unchanged list and false
// if the delta leads to no later version, or if its base is later than the list, so that
// changes between them are missing.
func (l List) Apply(delta Delta) (List, bool) {
	if delta.Version <= l.Version || delta.Base > l.Version {
		return l, false
	}
	if delta.Base == 0 {
		return List{Version: delta.Version, VMs: delta.Changed}, true
	}
	replaced := make(map[string]bool, len(delta.Changed)+len(delta.Removed))
	for _, machine := range delta.Changed {
		replaced[machine.Name] = true
	}
	for _, name := range delta.Removed {
		replaced[name] = true
	}
	kept := slices.DeleteFunc(slices.Clone(l.VMs), func(machine VM) bool { return replaced[machine.Name] })
	return List{Version: delta.Version, VMs: append(kept, delta.Changed...)}, true
}
