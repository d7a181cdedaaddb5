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

// StatusReader reads the status of the router on a VM.
type StatusReader interface {
	Status(ctx context.Context, machine vm.VM) (operatorapi.Status, error)
}

// Poller configures how Confirm polls the routers.
type Poller struct {
	Clock   clock.Clock
	Routers StatusReader
	// Timeout bounds the whole wait, for all routers together.
	Timeout time.Duration
	// Interval is the pause between two requests to the same router.
	Interval time.Duration
}

// Confirmation is the result of polling one router.
type Confirmation struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// State is the state of the VM in the platform's list.
	State vm.State `json:"state"`
	// Confirmed reports whether the router has the expected generation or a later one.
	Confirmed bool `json:"confirmed"`
	// Generation is the number of the active generation in the last reply of the router, or
	// zero if it never replied.
	Generation int64 `json:"generation"`
	// Took is the time from the start of the polling until the confirmation or the timeout.
	Took time.Duration `json:"took"`
	// Reason is the last error of the router. It is empty if the last request succeeded.
	Reason string `json:"reason,omitempty"`
}

// UnconfirmedError lists the VMs whose routers did not confirm a generation in time.
type UnconfirmedError struct {
	Generation int64
	VMs        []string
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("generation %d is published but not confirmed by %s",
		e.Generation, strings.Join(e.VMs, ", "))
}

// Confirm polls the routers on the VMs in parallel until each has the generation or a later
// one, or until the timeout of the poller. The results are in the order of the VMs.
func Confirm(ctx context.Context, poller Poller, machines []vm.VM, number int64) []Confirmation {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := poller.Clock.AfterFunc(poller.Timeout, cancel)
	defer timer.Stop()

	started := poller.Clock.Now()
	confirmations := make([]Confirmation, len(machines))
	var group sync.WaitGroup
	for i, machine := range machines {
		group.Go(func() {
			confirmation := poller.pollUntilConfirmed(ctx, machine, number)
			confirmation.Took = poller.Clock.Since(started)
			confirmations[i] = confirmation
		})
	}
	group.Wait()
	return confirmations
}

// CheckConfirmed returns an *UnconfirmedError if a router on a live VM has not confirmed the
// generation. Routers on leaving VMs are polled, but need not confirm.
func CheckConfirmed(confirmations []Confirmation, number int64) error {
	var unconfirmed []string
	for _, confirmation := range confirmations {
		if !confirmation.Confirmed && confirmation.State == vm.Live {
			unconfirmed = append(unconfirmed, confirmation.VM)
		}
	}
	if len(unconfirmed) == 0 {
		return nil
	}
	return &UnconfirmedError{Generation: number, VMs: unconfirmed}
}

func (p Poller) pollUntilConfirmed(ctx context.Context, machine vm.VM, number int64) Confirmation {
	confirmation := Confirmation{VM: machine.Name, Address: machine.Address, State: machine.State}
	for {
		p.poll(ctx, machine, &confirmation)
		confirmation.Confirmed = confirmation.Generation >= number
		if confirmation.Confirmed {
			return confirmation
		}
		select {
		case <-ctx.Done():
			return confirmation
		case <-p.Clock.After(p.Interval):
		}
	}
}

// poll requests the status of the router and updates the confirmation. An error that is
// caused by the end of the wait does not replace the reason of an earlier failure.
func (p Poller) poll(ctx context.Context, machine vm.VM, confirmation *Confirmation) {
	status, err := p.Routers.Status(ctx, machine)
	switch {
	case err == nil:
		confirmation.Generation = status.Generation
		confirmation.Reason = ""
	case ctx.Err() == nil || confirmation.Reason == "":
		confirmation.Reason = err.Error()
	}
}
