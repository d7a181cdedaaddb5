// Package vmlist holds the list of VMs of the simulated platform. Changes become
// visible after a delay.
//
// # Usage
//
//	list, err := vmlist.Load(clk, time.Second, "vms.json")
//	list.Put(vm.VM{Name: "runner-1", State: vm.Leaving})
package vmlist

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/standin/process/control"
	"jacinthpaddle.example/standin/process/lag"
)

// List implements vm.Lister. Only its control thread changes the list, and a method
// that changes it returns after the thread has done so. Its methods are safe for
// concurrent use.
type List struct {
	published *lag.Value[[]vm.VM]
	thread    *control.Thread[change]
}

var _ vm.Lister = (*List)(nil)

// change is the message that replaces the list by the result of edit and then
// closes done.
type change struct {
	edit func([]vm.VM) []vm.VM
	done chan struct{}
}

// New returns a list in which the initial VMs are visible without a delay. Later
// changes are visible after the delay.
func New(clk clock.Clock, delay time.Duration, initial []vm.VM) *List {
	published := lag.New(clk, delay, initial)
	return &List{
		published: published,
		thread: control.New(func(c change) {
			published.Set(c.edit(slices.Clone(published.Latest())))
			close(c.done)
		}),
	}
}

// Load returns a list with the initial VMs of a JSON file.
func Load(clk clock.Clock, delay time.Duration, file string) (*List, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "list of VMs")
	}
	initial := []vm.VM{}
	if err := json.Unmarshal(content, &initial); err != nil {
		return nil, errors.Annotatef(err, "list of VMs %s", file)
	}
	return New(clk, delay, initial), nil
}

// VMs implements vm.Lister. It returns the list as it was before the delay.
func (l *List) VMs(context.Context) (vm.List, error) {
	return vm.List{VMs: l.published.Get()}, nil
}

// Replace replaces the whole list.
func (l *List) Replace(list []vm.VM) {
	l.applyChange(func([]vm.VM) []vm.VM { return list })
}

// Put adds the VM or replaces the VM with the same name.
func (l *List) Put(machine vm.VM) {
	l.applyChange(func(list []vm.VM) []vm.VM {
		index := slices.IndexFunc(list, hasName(machine.Name))
		if index < 0 {
			return append(list, machine)
		}
		list[index] = machine
		return list
	})
}

// Remove deletes the VM with that name, if there is one.
func (l *List) Remove(name string) {
	l.applyChange(func(list []vm.VM) []vm.VM {
		return slices.DeleteFunc(list, hasName(name))
	})
}

func (l *List) applyChange(edit func([]vm.VM) []vm.VM) {
	done := make(chan struct{})
	l.thread.Send(change{edit: edit, done: done})
	<-done
}

func hasName(name string) func(vm.VM) bool {
	return func(machine vm.VM) bool { return machine.Name == name }
}
