package vm

import "slices"

// List is the platform's list as it was at a version. Version is zero where the
// platform numbers no versions.
type List struct {
	Version int64
	VMs     []VM
}

// Delta is what changed in a list between two versions. With a base of zero it is
// the whole list.
type Delta struct {
	Base    int64    `cbor:"base"`
	Version int64    `cbor:"version"`
	Changed []VM     `cbor:"changed,omitempty"`
	Removed []string `cbor:"gone,omitempty"`
}

// Diff returns what changed from one reading of the list to a later one.
func Diff(before, after List) Delta {
	delta := Delta{Base: before.Version, Version: after.Version}
	if before.Version == 0 {
		delta.Changed = after.VMs
		return delta
	}
	held := make(map[string]VM, len(before.VMs))
	for _, machine := range before.VMs {
		held[machine.Name] = machine
	}
	for _, machine := range after.VMs {
		if earlier, ok := held[machine.Name]; !ok || earlier != machine {
			delta.Changed = append(delta.Changed, machine)
		}
	}
	for _, machine := range Missing(after.VMs, before.VMs) {
		delta.Removed = append(delta.Removed, machine.Name)
	}
	return delta
}

// Apply returns the list after the changes. It reports false, and the list as it is,
// if they are no news or if changes before them are missing.
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
