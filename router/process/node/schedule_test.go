package node_test

import (
	"fmt"
	"testing"

	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/router/process/node"
)

// TestRefillsOfAFleetAreSpreadOverTheInterval starts routers at the same moment and notes
// in which tick each of them first updates an account page. Refills that fall into the
// same tick conflict with each other.
func TestRefillsOfAFleetAreSpreadOverTheInterval(t *testing.T) {
	const routers = 12
	firstUpdates := make(map[int]int)
	members, _ := largeFleet(2 * node.SmallFleetSize)
	others := members[1:]
	for number := range routers {
		self := ident.Incarnation(fmt.Sprintf("router-%d", number))
		settings := node.DefaultSettings()
		settings.Quota.Witnessed = false
		router := startTestRouter(t, self, settings)
		control.Query(router.thread, func(state *node.State) bool {
			join(state, append([]member.Member{router.self}, others...))
			return true
		})
		router.receiveGeneration(t, 1, 1000)
		for tick := 0; ; tick++ {
			if tick > 100 {
				t.Fatalf("router %d: no update of an account page", number)
			}
			router.clock.Advance(node.TickInterval)
			router.thread.Send(node.Tick{})
			router.waitForMessages()
			if len(router.io.page.Accounts) > 0 {
				firstUpdates[tick]++
				break
			}
		}
	}
	for tick, got := range firstUpdates {
		if want := routers / 3; got > want {
			t.Errorf("tick %d: got %d first updates, want at most %d", tick, got, want)
		}
	}
}
