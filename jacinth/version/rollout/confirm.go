package rollout

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/vm"
)

// StatusReader reads the summary of a router.
type StatusReader interface {
	Status(ctx context.Context, machine vm.VM) (operatorapi.Status, error)
}

// Poller says how confirmations are awaited: for Limit at most, asking each
// router again after Interval.
type Poller struct {
	Clock    clock.Clock
	Routers  StatusReader
	Timeout  time.Duration
	Interval time.Duration
}

// Confirmation tells which generation a router has in force and, if it is the
// expected one or a later one, how long that took. A router on a VM that is
// leaving is asked but need not confirm.
type Confirmation struct {
	VM         string        `json:"vm"`
	Address    string        `json:"address"`
	State      vm.State      `json:"state"`
	Confirmed  bool          `json:"confirmed"`
	Generation int64         `json:"generation"`
	Took       time.Duration `json:"took"`
	Reason     string        `json:"reason,omitempty"`
}

// UnconfirmedError names the VMs that did not confirm a generation in time.
type UnconfirmedError struct {
	Generation int64
	VMs        []string
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("generation %d is published but not confirmed by %s",
		e.Generation, strings.Join(e.VMs, ", "))
}

// Confirm asks the routers on the VMs until each has the generation or a later
// one, or the wait ends. The answers are in the order of the VMs.
func Confirm(ctx context.Context, wait Poller, machines []vm.VM, number int64) []Confirmation {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := wait.Clock.AfterFunc(wait.Timeout, cancel)
	defer timer.Stop()

	started := wait.Clock.Now()
	confirmations := make([]Confirmation, len(machines))
	var group sync.WaitGroup
	for i, machine := range machines {
		group.Go(func() {
			confirmation := wait.confirm(ctx, machine, number)
			confirmation.Took = wait.Clock.Since(started)
			confirmations[i] = confirmation
		})
	}
	group.Wait()
	return confirmations
}

// CheckConfirmed returns an UnconfirmedError if a VM that must confirm did not.
func CheckConfirmed(confirmations []Confirmation, number int64) error {
	var missing []string
	for _, confirmation := range confirmations {
		if !confirmation.Confirmed && confirmation.State == vm.Live {
			missing = append(missing, confirmation.VM)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return &UnconfirmedError{Generation: number, VMs: missing}
}

func (w Poller) confirm(ctx context.Context, machine vm.VM, number int64) Confirmation {
	confirmation := Confirmation{VM: machine.Name, Address: machine.Address, State: machine.State}
	for {
		w.ask(ctx, machine, &confirmation)
		confirmation.Confirmed = confirmation.Generation >= number
		if confirmation.Confirmed {
			return confirmation
		}
		select {
		case <-ctx.Done():
			return confirmation
		case <-w.Clock.After(w.Interval):
		}
	}
}

// ask notes the answer of the router. An answer that was cut off by the end of
// the wait does not replace an earlier reason.
func (w Poller) ask(ctx context.Context, machine vm.VM, confirmation *Confirmation) {
	status, err := w.Routers.Status(ctx, machine)
	switch {
	case err == nil:
		confirmation.Generation = status.Generation
		confirmation.Reason = ""
	case ctx.Err() == nil || confirmation.Reason == "":
		confirmation.Reason = err.Error()
	}
}
