package node_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/router/process/node"
)

// allocatedBudgets is the number of budgets of which the router holds quota.
const allocatedBudgets = 50

// discardIO is a fakeIO that ignores page updates.
type discardIO struct{ fakeIO }

func (*discardIO) UpdatePage(node.PageUpdate) {}

// largeFleet returns members in 11 availability zones and their VMs.
func largeFleet(size int) ([]member.Member, []vm.VM) {
	var members []member.Member
	var list []vm.VM
	for index := range size {
		zone := index % 11
		locality := vm.Locality{Region: fmt.Sprint("region-", zone%3), AvailabilityZone: fmt.Sprint("zone-", zone)}
		router := member.Member{
			Incarnation: ident.Incarnation(fmt.Sprint("incarnation-", index)),
			VM:          fmt.Sprint("entry-", index),
			Address:     fmt.Sprintf("10.0.%d.%d", index/250, index%250),
			Locality:    locality,
			State:       member.Live,
		}
		members = append(members, router)
		list = append(list, vm.VM{Name: router.VM, Address: router.Address, Pool: "entry", Locality: locality, State: vm.Live})
	}
	return members, list
}

// join adds the members to the view, with links to the first ones.
func join(state *node.State, members []member.Member) {
	for _, linked := range members[1:min(len(members), 7)] {
		node.LinkUp{Remote: linked.Incarnation, Hello: peer.Hello{Member: linked}}.Apply(state)
	}
	gossip := peer.Message{From: members[1].Incarnation, Gossip: &member.Gossip{Changed: members[1:]}}
	node.PeerMessage{Message: gossip}.Apply(state)
}

// BenchmarkTick measures the background work of a router in one second by the size of the
// fleet.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{8, 95, 380} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			fake := clock.NewFake()
			members, list := largeFleet(size)
			log := event.NewLog(io.Discard, logrus.ErrorLevel)
			out := &discardIO{}
			state := node.NewState(members[0], node.DefaultSettings(), nil, fake, log, out)
			state.OnEvicted = func() {}
			node.VMListRead{List: vm.List{VMs: list}}.Apply(state)
			join(state, members)
			for budget := range allocatedBudgets {
				state.Quota.SetPurchased(fmt.Sprint("budget-", budget), 0)
			}
			for b.Loop() {
				fake.Advance(node.QuotaInterval)
				node.Tick{}.Apply(state)
				out.sent = out.sent[:0]
			}
		})
	}
}
