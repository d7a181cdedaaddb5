// Package vm describes the platform's lagging list of VMs.
//
// # Usage
//
//	list, err := lister.VMs(ctx)
//	entries := vm.InPool(list.VMs, "entry")
//	delta := vm.Diff(earlier, list) // for those that hold the earlier one
//	list, news := earlier.Apply(delta)
package vm

import "context"

// State is the platform's word on a VM.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Locality says where a VM stands. A smaller distance costs less.
type Locality struct {
	Region           string `json:"region" cbor:"region"`
	AvailabilityZone string `json:"availability_zone" cbor:"availability_zone"`
}

// VM is one machine of the platform's list. Address is an IP number. Port is
// zero where the port of the pool holds.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Port    int    `json:"port,omitempty"`
	Pool    string `json:"pool"`
	Locality
	State State `json:"state"`
}

// Lister reads the platform's list, which lags behind the truth.
type Lister interface {
	VMs(ctx context.Context) (List, error)
}

// InPool returns the VMs of one pool, in the order of the list.
func InPool(list []VM, pool string) []VM {
	var members []VM
	for _, machine := range list {
		if machine.Pool == pool {
			members = append(members, machine)
		}
	}
	return members
}

// Missing returns the VMs of an earlier list that are missing from the list.
func Missing(list, earlier []VM) []VM {
	listed := make(map[string]bool, len(list))
	for _, machine := range list {
		listed[machine.Name] = true
	}
	var missing []VM
	for _, machine := range earlier {
		if !listed[machine.Name] {
			missing = append(missing, machine)
		}
	}
	return missing
}

// Distance grades how far two places lie apart.
type Distance int

// Distances, nearest first.
const (
	SameAvailabilityZone Distance = iota
	SameRegion
	OtherRegion
)

// Distance returns how far the other place lies.
func (p Locality) Distance(other Locality) Distance {
	switch {
	case p == other:
		return SameAvailabilityZone
	case p.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}
