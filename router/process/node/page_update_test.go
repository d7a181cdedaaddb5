package node_test

import (
	"testing"

	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/router/process/node"
)

// Suppliers that updated the account page for each request in turn kept it so busy that
// updates of others failed after 16 attempts (galeria-nupcial-grown scale-1, trial).
func TestUpdatesOfAPageAreSpacedInALargeFleet(t *testing.T) {
	settings := node.DefaultSettings()
	settings.Quota.Witnessed = false
	settings.Quota.Holders, settings.Quota.SharePercent = 1, 60
	router := startTestRouter(t, "self", settings)
	router.receiveGeneration(t, 1, 100_000)
	router.tick()
	control.Query(router.thread, func(state *node.State) bool {
		self := []ident.Incarnation{"self"}
		state.Quota.SetSupply(quota.Supply{Suppliers: self, Supplies: true, DirectHolders: 1, Homes: self})
		return true
	})
	var replies []chan bool
	for range 3 {
		reply := make(chan bool, 1)
		replies = append(replies, reply)
		router.thread.Send(node.CreditRequest{Budget: "hall", Waiter: node.Waiter{Amount: 10_000, Reply: reply}})
		router.waitForMessages()
	}
	if got := len(replies[0]) + len(replies[1]) + len(replies[2]); got != 1 {
		t.Fatalf("requests served by updates without a pause: got %d, want 1", got)
	}
	router.clock.Advance(node.UpdateSpacing)
	router.thread.Send(node.Tick{})
	router.waitForMessages()
	for number, reply := range replies {
		if len(reply) != 1 || !<-reply {
			t.Errorf("request %d after the pause: got refused or waiting, want served", number)
		}
	}
}
