package command

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
)

// EvacuationList is the printed result of a command about evacuations: the evacuated
// availability zones as the store holds them.
type EvacuationList struct {
	Version store.Version `json:"version"`
	Zones   []string      `json:"zones"`
}

func (c *Evacuations) run(ctx context.Context, session *session) error {
	platform, err := session.platform()
	if err != nil {
		return err
	}
	reading, err := evacuation.Fetch(ctx, platform)
	if err != nil {
		return errors.Trace(err)
	}
	session.print.evacuations(EvacuationList(reading))
	return nil
}

func (c *Evacuate) run(ctx context.Context, session *session) error {
	platform, err := session.platform()
	if err != nil {
		return err
	}
	write := evacuation.Withdraw
	if !c.Withdraw {
		write = evacuation.Add
		if err := checkZone(ctx, platform, c.Zone); err != nil {
			return err
		}
	}
	reading, err := write(ctx, platform, c.Zone)
	if err != nil {
		return errors.Trace(err)
	}
	session.print.evacuations(EvacuationList(reading))
	return nil
}

// checkZone returns an *evacuation.UnknownZoneError if no VM is listed in the zone.
func checkZone(ctx context.Context, lister vm.Lister, zone string) error {
	list, err := lister.VMs(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	inZone := func(machine vm.VM) bool { return machine.AvailabilityZone == zone }
	if slices.ContainsFunc(list.VMs, inZone) {
		return nil
	}
	return evacuation.NewUnknownZoneError(zone, "has no VM in the platform's list")
}
