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

// benchZones is the number of availability zones of a large fleet.
const benchZones = 11

// noLinks drops what it is told.
type noLinks struct{}

func (noLinks) Send(ident.Incarnation, peer.Message) error { return nil }
func (noLinks) SetSelf(member.Member, uint64)              {}
func (noLinks) SetHeartbeat(peer.Heartbeat)                {}
func (noLinks) SetTargets([]member.Member)                 {}
func (noLinks) SetGraph(*member.Graph)                     {}

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

// benchKeeper returns a keeper that knows a fleet of the size.
func benchKeeper(size int, now time.Time) (*membership.Manager, []vm.VM) {
	keeper := membership.New(benchMember(0), noLinks{}, now)
	var members []member.Member
	var list []vm.VM
	for index := range size {
		known := benchMember(index)
		members = append(members, known)
		list = append(list, vm.VM{Name: known.VM, Address: known.Address, Pool: "entry", Locality: known.Locality, State: vm.Live})
	}
	neighbour := members[1].Incarnation
	keeper.LinkUp(neighbour, peer.Hello{Member: members[1]}, now)
	keeper.HandleMessage(peer.Message{From: neighbour, Gossip: &member.Gossip{Changed: members[1:]}}, now)
	return keeper, list
}

// BenchmarkKeeper measures, by size of the fleet, what a second, a heartbeat
// and a list of the platform cost the control thread.
func BenchmarkKeeper(b *testing.B) {
	for _, size := range []int{8, 95, 380} {
		now := time.Unix(0, 0)
		keeper, list := benchKeeper(size, now)
		address := func(machine vm.VM) string { return machine.Address + ":7071" }
		b.Run(fmt.Sprint("tick/", size), func(b *testing.B) {
			for b.Loop() {
				keeper.Tick(now)
			}
		})
		b.Run(fmt.Sprint("heartbeat/", size), func(b *testing.B) {
			beat := peer.Message{From: "incarnation-1", Heartbeat: &peer.Heartbeat{Digest: keeper.View().Digest()}}
			for b.Loop() {
				keeper.HandleMessage(beat, now)
			}
		})
		b.Run(fmt.Sprint("list/", size), func(b *testing.B) {
			for b.Loop() {
				keeper.SetVMList(list, address)
			}
		})
	}
}
