package node_test

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/router/process/node"
)

// fakeIO implements node.AsyncIO. It applies page updates at once unless the store is
// down, and records segments and messages.
type fakeIO struct {
	thread   *node.Thread
	down     bool
	page     account.Page
	segments []journal.Segment
	sent     []peer.Message
}

func (o *fakeIO) UpdatePage(update node.PageUpdate) {
	if o.down {
		o.thread.Send(node.PageUpdated{Update: update, Err: &store.UnavailableError{Operation: "update"}})
		return
	}
	update.Apply(o.page)
	o.thread.Send(node.PageUpdated{Update: update, Object: update.CachedObject, Page: o.page})
}

func (o *fakeIO) StoreSegment(name string, segment journal.Segment, lost ident.Incarnation) {
	var err error
	if o.down {
		err = &store.UnavailableError{Operation: "create", Name: name}
	} else {
		o.segments = append(o.segments, segment)
	}
	o.thread.Send(node.SegmentStored{Name: name, ReplicaOwner: lost, Err: err})
}

func (o *fakeIO) Send(to ident.Incarnation, message peer.Message) error {
	message.To = to
	if to == "self" {
		message.From = to
		o.thread.Send(node.PeerMessage{Message: message})
		return nil
	}
	o.sent = append(o.sent, message)
	return nil
}

func (*fakeIO) SetSelf(member.Member, uint64) {}

func (*fakeIO) SetHeartbeat(peer.Heartbeat) {}

func (*fakeIO) SetTargets([]member.Member) {}

func (*fakeIO) SetGraph(*member.Graph) {}

// testRouter is a control thread with a fake clock and fake I/O.
type testRouter struct {
	self     member.Member
	thread   *node.Thread
	io       *fakeIO
	clock    *clock.Fake
	credits  *node.CreditReserver
	recorder *node.Recorder
}

// newTestRouter returns a router with the default settings and the purchased credits of
// the budget hall.
func newTestRouter(t *testing.T, purchased int64) *testRouter {
	t.Helper()
	router := startTestRouter(t, "self", node.DefaultSettings())
	router.receiveGeneration(t, 1, purchased)
	return router
}

// startTestRouter returns a router without a generation. Its pages have no accounts yet.
func startTestRouter(t *testing.T, incarnation ident.Incarnation, settings node.Settings) *testRouter {
	t.Helper()
	fake := clock.NewFake()
	self := member.Member{Incarnation: incarnation, VM: "entry-1", Started: fake.Now()}
	log := event.NewLog(io.Discard, logrus.ErrorLevel)
	out := &fakeIO{page: account.Page{Accounts: make(map[string]account.Account)}}
	state := node.NewState(self, settings, nil, fake, log, out)
	state.OnEvicted = func() {}
	thread := control.New(state, func(value any) { t.Errorf("panic: %v", value) })
	t.Cleanup(thread.Stop)
	out.thread = thread
	return &testRouter{
		self:     self,
		thread:   thread,
		io:       out,
		clock:    fake,
		credits:  node.NewCreditReserver(thread, state.Quota.Balances),
		recorder: node.NewRecorder(thread, true, state.JournalFull),
	}
}

// receiveGeneration sends a generation with the purchased credits of the budget hall to the
// control thread.
func (r *testRouter) receiveGeneration(t *testing.T, number, purchased int64) {
	t.Helper()
	set := declaration.Set{Budgets: []declaration.Budget{{Name: "hall", Purchased: purchased}}}
	received, err := generation.New(number, set)
	if err != nil {
		t.Fatal(err)
	}
	r.thread.Send(node.GenerationReceived{Generation: received})
}

// deliver sends a message of a peer to the control thread.
func (r *testRouter) deliver(from ident.Incarnation, message peer.Message) {
	message.From = from
	r.thread.Send(node.PeerMessage{Message: message})
}

// waitForMessages waits until queued messages and those that result from them are applied.
func (r *testRouter) waitForMessages() {
	for range 8 {
		control.Query(r.thread, func(*node.State) bool { return true })
	}
}

// tick advances the clock by a QuotaInterval and applies a Tick.
func (r *testRouter) tick() {
	r.clock.Advance(node.QuotaInterval)
	r.thread.Send(node.Tick{})
	r.waitForMessages()
}

func (r *testRouter) generationNumber() int64 {
	return control.Query(r.thread, func(state *node.State) int64 { return state.Generation.Number })
}
