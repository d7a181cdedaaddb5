package node_test

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/router/process/node"
)

// TestRequestsWaitForTheLayout has a request need credits before the layout of the
// accounts is known. No page may be updated by then, and the request is served after it.
func TestRequestsWaitForTheLayout(t *testing.T) {
	fake := clock.NewFake()
	settings := node.DefaultSettings()
	settings.Quota.Pages = 0
	self := member.Member{Incarnation: "self", VM: "entry-1", Started: fake.Now()}
	out := &fakeIO{page: account.Page{Accounts: make(map[string]account.Account)}}
	state := node.NewState(self, settings, nil, fake, event.NewLog(io.Discard, logrus.ErrorLevel), out)
	state.OnEvicted = func() {}
	thread := control.New(state, func(value any) { t.Errorf("panic: %v", value) })
	t.Cleanup(thread.Stop)
	out.thread = thread
	router := &testRouter{thread: thread, io: out, clock: fake, credits: node.NewCreditReserver(thread, state.Quota.Balances)}
	router.receiveGeneration(t, 1, 100)
	reserved := make(chan bool, 1)
	thread.Send(node.CreditRequest{Budget: "hall", Waiter: node.Waiter{Amount: 60, Reply: reserved}})
	router.waitForMessages()
	if got := len(out.page.Accounts); got != 0 {
		t.Errorf("accounts before the layout: got %d, want 0", got)
	}
	thread.Send(node.LayoutRead{Layout: account.Layout{Pages: 2}})
	if got := <-reserved; !got {
		t.Error("request after the layout: got refused, want granted")
	}
	// A later layout must not move the accounts.
	thread.Send(node.LayoutRead{Layout: account.Layout{Pages: 4}})
	router.waitForMessages()
	if _, ok := router.credits.Reserve(context.Background(), "hall", 30); !ok {
		t.Error("request after a second layout: got refused, want granted")
	}
}
