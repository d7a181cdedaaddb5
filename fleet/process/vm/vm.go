// Package vm holds the platform's list of VMs, which lags behind the actual state of the
// VMs, and the differences between versions of that list.
//
// # Usage
//
//	list, err := lister.VMs(ctx)
//	entries := vm.InPool(list.VMs, "entry")
//	delta := vm.Diff(earlier, list) // sent to processes that hold the earlier list
//	list, applied := earlier.Apply(delta)
package vm

import (
	"context"
	"time"
)

// State is the state of a VM as the platform reports it.
type State string

// States of a VM.
const (
	Live State = "live"
	// Leaving VMs are about to be removed by the platform. Routers on them drain.
	Leaving State = "leaving"
)

// Locality is the region and availability zone of a VM. Traffic over a smaller distance
// costs less.
type Locality struct {
	Region           string `json:"region" cbor:"region"`
	AvailabilityZone string `json:"availability_zone" cbor:"availability_zone"`
}

// VM is one entry of the platform's list.
type VM struct {
	Name string `json:"name"`
	// Address is an IP address without a port.
	Address string `json:"address"`
	// Port is zero if the VM uses the port of its pool.
	Port int    `json:"port,omitempty"`
	Pool string `json:"pool"`
	Locality
	State State `json:"state"`
	// Incarnation distinguishes the starts of what runs on a VM that keeps its name and
	// address. It is empty if the platform does not tell.
	Incarnation string `json:"incarnation,omitempty"`
	// Power is the processing power of the VM in cores, or zero if the list does not
	// contain it.
	Power float64 `json:"power,omitempty"`
	// ColdLeft is how much longer the endpoint on the VM stays cold, counted from when this
	// process received it. It is zero for an endpoint that is not cold.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
	// ColdRevision identifies the report that ColdLeft comes from. A report that is received
	// again, over another way, has the same one. Zero is unknown.
	ColdRevision int64 `json:"cold_revision,omitempty"`
}

// Lister reads the platform's list of VMs, which lags behind their actual state.
type Lister interface {
	VMs(ctx context.Context) (List, error)
}

// InPool returns the VMs of one pool in the order of the list.
func InPool(list []VM, pool string) []VM {
	var selected []VM
	for _, machine := range list {
		if machine.Pool == pool {
			selected = append(selected, machine)
		}
	}
	return selected
}

// Missing returns the VMs of the earlier list that are not on the list.
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

// Distance is the network distance between two localities.
type Distance int

// Distances, nearest first.
const (
	SameAvailabilityZone Distance = iota
	SameRegion
	OtherRegion
)

// Distance returns the distance to the other locality.
func (l Locality) Distance(other Locality) Distance {
	switch {
	case l == other:
		return SameAvailabilityZone
	case l.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}
