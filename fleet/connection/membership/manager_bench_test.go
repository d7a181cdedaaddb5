package membership_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/membership"
	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

// benchZones is the number of availability zones of the benchmarked fleets.
const benchZones = 11

// discardHub is a membership.Hub that does nothing.
type discardHub struct{}

func (discardHub) Send(ident.Incarnation, peer.Message) error { return nil }
func (discardHub) SetSelf(member.Member, uint64)              {}
func (discardHub) SetHeartbeat(peer.Heartbeat)                {}
func (discardHub) SetTargets([]member.Member)                 {}
func (discardHub) SetGraph(*member.Graph)                     {}

func benchMember(index int) member.Member {
	zone := index % benchZones
	return member.Member{
		Incarnation: ident.Incarnation(fmt.Sprintf("incarnation-%d", index)),
		VM:          fmt.Sprintf("entry-%d", index),
		Address:     fmt.Sprintf("10.0.%d.%d", index/250, index%250),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7071", index/250, index%250),
		Locality:    vm.Locality{Region: fmt.Sprint("region-", zone%3), AvailabilityZone: fmt.Sprint("zone-", zone)},
		State:       member.Live,
	}
}

// benchManager returns a manager whose view has a fleet of the given size, and the list
// of its VMs.
func benchManager(size int, now time.Time) (*membership.Manager, []vm.VM) {
	manager := membership.New(benchMember(0), discardHub{}, now)
	var members []member.Member
	var list []vm.VM
	for index := range size {
		added := benchMember(index)
		members = append(members, added)
		list = append(list, vm.VM{Name: added.VM, Address: added.Address, Pool: "entry", Locality: added.Locality, State: vm.Live})
	}
	neighbour := members[1].Incarnation
	manager.LinkUp(neighbour, peer.Hello{Member: members[1]}, now)
	manager.HandleMessage(peer.Message{From: neighbour, Gossip: &member.Gossip{Changed: members[1:]}}, now)
	return manager, list
}

// BenchmarkManager measures the time that the control thread spends on a tick, on a
// heartbeat and on a list of VMs, by size of the fleet.
func BenchmarkManager(b *testing.B) {
	for _, size := range []int{8, 95, 380} {
		now := time.Unix(0, 0)
		manager, list := benchManager(size, now)
		address := func(machine vm.VM) string { return machine.Address + ":7071" }
		b.Run(fmt.Sprint("tick/", size), func(b *testing.B) {
			for b.Loop() {
				manager.Tick(now)
			}
		})
		b.Run(fmt.Sprint("heartbeat/", size), func(b *testing.B) {
			heartbeat := peer.Message{From: "incarnation-1", Heartbeat: &peer.Heartbeat{Digest: manager.View().Digest()}}
			for b.Loop() {
				manager.HandleMessage(heartbeat, now)
			}
		})
		b.Run(fmt.Sprint("list/", size), func(b *testing.B) {
			for b.Loop() {
				manager.SetVMList(list, address)
			}
		})
	}
}
