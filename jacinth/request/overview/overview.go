// Package overview queries the routers of a fleet and defines the summary of the active
// generation, the budgets and the routers that the status subcommand prints.
//
// # Usage
//
//	routers := overview.QueryRouters(ctx, client, vm.InPool(list, "entry"))
package overview

import (
	"context"
	"sync"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/jacinth/request/ledger"
)

// Unreachable is the state of a router whose status could not be read.
const Unreachable operatorapi.State = "unreachable"

// StatusReader reads the status of the router on a VM.
type StatusReader interface {
	Status(ctx context.Context, machine vm.VM) (operatorapi.Status, error)
}

// Overview is a summary of the fleet.
type Overview struct {
	Generation int64  `json:"generation"`
	Digest     string `json:"digest"`
	// Evacuated are the availability zones that the store holds as evacuated.
	Evacuated []string              `json:"evacuated"`
	Budgets   []ledger.BudgetTotals `json:"budgets"`
	Routers   []Router              `json:"vms"`
}

// Router is one VM of the entry pool and its router.
type Router struct {
	VM       string      `json:"vm"`
	Address  string      `json:"address"`
	Locality vm.Locality `json:"place"`
	// ListedState is the state of the VM in the platform's list.
	ListedState vm.State `json:"listed"`
	// State is the state of the router. If it is Unreachable, the following fields are
	// empty, except Reason.
	State       operatorapi.State `json:"state"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Generation  int64             `json:"generation"`
	// InFlight is the number of requests that the router has in flight.
	InFlight int64 `json:"in_flight"`
	// PeersUp is the number of peers to which the router has a connection.
	PeersUp int `json:"peers_up"`
	// Evacuated are the availability zones to whose endpoints the router sends no new
	// requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// Reason is the error that made the router Unreachable. It is empty in other states.
	Reason string `json:"reason,omitempty"`
}

// QueryRouters reads the status of the routers on the VMs in parallel. The results are in
// the order of the VMs. A router whose status could not be read is Unreachable.
func QueryRouters(ctx context.Context, routers StatusReader, machines []vm.VM) []Router {
	results := make([]Router, len(machines))
	var group sync.WaitGroup
	for i, machine := range machines {
		group.Go(func() {
			status, err := routers.Status(ctx, machine)
			results[i] = newRouter(machine, status, err)
		})
	}
	group.Wait()
	return results
}

func newRouter(machine vm.VM, status operatorapi.Status, err error) Router {
	summary := Router{
		VM:          machine.Name,
		Address:     machine.Address,
		Locality:    machine.Locality,
		ListedState: machine.State,
		State:       Unreachable,
	}
	if err != nil {
		summary.Reason = err.Error()
		return summary
	}
	summary.State = status.State
	summary.Incarnation = status.Incarnation
	summary.Generation = status.Generation
	summary.InFlight = status.InFlight
	summary.Evacuated = status.Evacuated
	for _, peer := range status.Peers {
		if peer.Up {
			summary.PeersUp++
		}
	}
	return summary
}
