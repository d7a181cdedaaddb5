package vm_test

import (
	"cmp"
	"slices"
	"testing"

	"jacinthpaddle.example/fleet/process/vm"
)

func listOf(version int64, names ...string) vm.List {
	list := vm.List{Version: version}
	for _, name := range names {
		list.VMs = append(list.VMs, vm.VM{Name: name, State: vm.Live})
	}
	return list
}

func namesAndStates(list vm.List) []string {
	var found []string
	for _, machine := range list.VMs {
		found = append(found, machine.Name+" "+string(machine.State))
	}
	slices.Sort(found)
	return found
}

func TestApplyYieldsLaterList(t *testing.T) {
	before := listOf(5, "a", "b", "c")
	after := listOf(9, "a", "c", "d")
	after.VMs[1].State = vm.Leaving
	tests := []struct {
		name    string
		earlier vm.List
		ok      bool
	}{
		{"from its base", before, true},
		{"from a version in between", vm.List{Version: 7, VMs: after.VMs[:2]}, true},
		{"from before its base", listOf(4, "a"), false},
		{"from a later version", listOf(9, "z"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := test.earlier.Apply(vm.Diff(before, after))
			if ok != test.ok {
				t.Fatalf("applied: got %t, want %t", ok, test.ok)
			}
			want := after
			if !test.ok {
				want = test.earlier
			}
			if !slices.Equal(namesAndStates(got), namesAndStates(want)) || got.Version != want.Version {
				t.Errorf("list: got %v at %d, want %v at %d", namesAndStates(got), got.Version, namesAndStates(want), want.Version)
			}
		})
	}
}

func TestDiffContainsOnlyChangedVMs(t *testing.T) {
	before, after := listOf(5, "a", "b"), listOf(6, "b", "a")
	delta := vm.Diff(before, after)
	if len(delta.Changed)+len(delta.Removed) != 0 {
		t.Errorf("delta of equal lists: got %+v, want none", delta)
	}
	whole := vm.Diff(vm.List{}, after)
	slices.SortFunc(whole.Changed, func(a, b vm.VM) int { return cmp.Compare(a.Name, b.Name) })
	if len(whole.Changed) != 2 || whole.Base != 0 {
		t.Errorf("delta from the zero version: got %+v, want the whole list", whole)
	}
}
