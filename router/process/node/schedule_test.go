package node_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
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
		fake := clock.NewFake()
		self := member.Member{Incarnation: ident.Incarnation(fmt.Sprintf("router-%d", number)), VM: "entry-1", Started: fake.Now()}
		settings := node.DefaultSettings()
		settings.Quota.Witnessed = false
		out := &fakeIO{page: account.Page{Accounts: make(map[string]account.Account)}}
		state := node.NewState(self, settings, nil, fake, event.NewLog(io.Discard, logrus.ErrorLevel), out)
		thread := control.New(state, func(value any) { t.Errorf("panic: %v", value) })
		t.Cleanup(thread.Stop)
		out.thread = thread
		router := &testRouter{thread: thread, io: out, clock: fake}
		control.Query(thread, func(state *node.State) bool {
			join(state, append([]member.Member{self}, others...))
			return true
		})
		router.receiveGeneration(t, 1, 1000)
		for tick := 0; ; tick++ {
			if tick > 100 {
				t.Fatalf("router %d: no update of an account page", number)
			}
			fake.Advance(node.TickInterval)
			thread.Send(node.Tick{})
			router.waitForMessages()
			if len(out.page.Accounts) > 0 {
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
