package command_test

import (
	"testing"

	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/jacinth/request/command"
)

func TestEvacuationIsSetShownAndWithdrawn(t *testing.T) {
	f := newFleet(t)
	f.machines = append(f.machines, vm.VM{
		Name: "runner-1", Address: "127.0.0.1", Pool: "runners", State: vm.Live,
		Locality: vm.Locality{Region: "western", AvailabilityZone: "hall"},
	})
	f.expectExit(t, command.OK, "evacuated at version 0: -", "evacuations")
	f.expectExit(t, command.OK, ": hall", "evacuate", "--zone", "hall")
	f.expectExit(t, command.OK, ": hall", "evacuate", "--zone", "hall")
	f.expectExit(t, command.OK, `"hall"`, "evacuations", "--json")
	f.expectExit(t, command.OK, "evacuated hall\n", "status")
	f.expectExit(t, command.Usage, "required", "evacuate")
	f.expectExit(t, command.Faults, `evacuation/zones: zones: "attic" has no VM`, "evacuate", "--zone", "attic")
	f.expectExit(t, command.OK, ": hall", "evacuations")

	// An operator must be able to end the evacuation of a zone whose VMs are gone.
	f.machines = nil
	f.SetFaults(memory.Faults{Down: true})
	f.expectExit(t, command.PlatformUnavailable, "store", "evacuate", "--zone", "hall", "--withdraw")
	f.SetFaults(memory.Faults{})
	f.expectExit(t, command.OK, ": hall", "evacuations")
	f.expectExit(t, command.OK, ": -", "evacuate", "--zone", "hall", "--withdraw")
	f.expectExit(t, command.OK, "evacuated -\n", "status")
}
