package node_test

import (
	"context"
	"testing"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/router/process/node"
)

// TestRequestsWaitForTheLayout has a request need credits before the layout of the
// accounts is known. No page may be updated by then, and the request is served after it.
func TestRequestsWaitForTheLayout(t *testing.T) {
	settings := node.DefaultSettings()
	settings.Quota.Pages = 0
	router := startTestRouter(t, "self", settings)
	router.receiveGeneration(t, 1, 100)
	reserved := make(chan bool, 1)
	router.thread.Send(node.CreditRequest{Budget: "hall", Waiter: node.Waiter{Amount: 60, Reply: reserved}})
	router.waitForMessages()
	if got := len(router.io.page.Accounts); got != 0 {
		t.Errorf("accounts before the layout: got %d, want 0", got)
	}
	router.thread.Send(node.LayoutRead{Layout: account.Layout{Pages: 2}})
	if got := <-reserved; !got {
		t.Error("request after the layout: got refused, want granted")
	}
	// A later layout must not move the accounts.
	router.thread.Send(node.LayoutRead{Layout: account.Layout{Pages: 4}})
	router.waitForMessages()
	if _, ok := router.credits.Reserve(context.Background(), "hall", 30); !ok {
		t.Error("request after a second layout: got refused, want granted")
	}
}
