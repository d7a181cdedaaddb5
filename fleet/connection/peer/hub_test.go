package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/member"
)

func TestSendReachesBothEnds(t *testing.T) {
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	link(t, a, b)

	for _, ends := range [][2]*node{{a, b}, {b, a}} {
		from, to := ends[0], ends[1]
		if err := from.hub.Send(to.self.Incarnation, gossip("x")); err != nil {
			t.Fatalf("send: got %v, want no error", err)
		}
		got := to.awaitKind(t, "gossip")
		if got.From != from.self.Incarnation || got.To != to.self.Incarnation {
			t.Errorf("ends: got %s to %s, want %s to %s", got.From, got.To, from.self.Incarnation, to.self.Incarnation)
		}
		if got.Sequence == 0 || got.Gossip.Wanted[0] != "x" {
			t.Errorf("body: got %+v, want a sequence and x", got)
		}
	}
	got := a.hub.Dump()
	if len(got.Links) != 1 || !got.Links[0].Dialled || !got.Targets[0].Linked {
		t.Errorf("dump: got %+v, want one dialled link to the target", got)
	}
}

func TestSendWithoutLink(t *testing.T) {
	a := startNode(t, "a", clock.NewFake())
	err := a.hub.Send("nobody", gossip())
	var none *peer.NoRouteError
	if !errors.As(err, &none) || none.To != "nobody" {
		t.Errorf("send: got %v, want a NoRouteError", err)
	}
}

func TestSendIsRelayed(t *testing.T) {
	fake := clock.NewFake()
	a, b, c := startNode(t, "a", fake), startNode(t, "b", fake), startNode(t, "c", fake)
	link(t, a, b)
	link(t, c, b)
	graph := member.NewGraph([]member.Member{a.self, b.self, c.self}, member.DefaultFanout)
	for _, each := range []*node{a, b, c} {
		each.hub.SetGraph(graph)
	}

	if err := a.hub.Send("c", gossip("x")); err != nil {
		t.Fatalf("send: got %v, want no error", err)
	}
	got := c.awaitKind(t, "gossip")
	if got.From != "a" || got.To != "c" || got.Hops != 1 {
		t.Errorf("relayed: got %s to %s after %d hops, want a to c after 1", got.From, got.To, got.Hops)
	}
	if got := b.hub.Dump().Counters.Relayed; got != 1 {
		t.Errorf("relayed: got %d, want 1", got)
	}
}

func TestRelayWithoutRouteIsCounted(t *testing.T) {
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	link(t, a, b)
	known := []member.Member{a.self, b.self, {Incarnation: "z", State: member.Live}}
	a.hub.SetGraph(member.NewGraph(known, member.DefaultFanout))

	if err := a.hub.Send("z", gossip()); err != nil {
		t.Fatalf("send: got %v, want no error", err)
	}
	if err := a.hub.Send("b", gossip()); err != nil {
		t.Fatalf("send: got %v, want no error", err)
	}
	b.awaitKind(t, "gossip")
	if got := b.hub.Dump().Counters.Unrouted; got != 1 {
		t.Errorf("unrouted: got %d, want 1", got)
	}
}

// TestRelayLoopEnds relays a message between two nodes whose graphs both have the other
// as the next hop to an unlinked member. The message must be dropped at MaxHops.
func TestRelayLoopEnds(t *testing.T) {
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	link(t, a, b)
	known := []member.Member{a.self, b.self, {Incarnation: "z", State: member.Live}}
	a.hub.SetGraph(member.NewGraph(known, member.DefaultFanout))
	b.hub.SetGraph(member.NewGraph(known, member.DefaultFanout))

	if err := a.hub.Send("z", gossip("x")); err != nil {
		t.Fatalf("send: got %v, want no error", err)
	}
	// These messages are queued in the same links after the relayed one, so when the
	// last of them arrives the relayed message has been dropped.
	for range peer.MaxHops {
		for _, ends := range [][2]*node{{a, b}, {b, a}} {
			if err := ends[0].hub.Send(ends[1].self.Incarnation, gossip("y")); err != nil {
				t.Fatalf("send: got %v, want no error", err)
			}
			ends[1].awaitKind(t, "gossip")
		}
	}
	for _, each := range []*node{a, b} {
		if got := each.hub.Dump().Counters.Relayed; got > peer.MaxHops/2 {
			t.Errorf("relayed by %s: got %d, want at most %d", each.self.Incarnation, got, peer.MaxHops/2)
		}
	}
	unrouted := a.hub.Dump().Counters.Unrouted + b.hub.Dump().Counters.Unrouted
	if unrouted != 1 {
		t.Errorf("unrouted: got %d, want 1", unrouted)
	}
}

func TestRemovedTargetIsRetired(t *testing.T) {
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	link(t, a, b)
	a.hub.SetTargets(nil)
	for _, got := range []peer.Reason{a.awaitDown(t, "b"), b.awaitDown(t, "a")} {
		if got != peer.Retired || got.CausesSuspicion() {
			t.Errorf("reason: got %s, want %s", got, peer.Retired)
		}
	}
}

func TestSuccessorAtAnAddressIsLinked(t *testing.T) {
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	a.hub.SetTargets([]member.Member{{Incarnation: "predecessor", PeerAddress: b.self.PeerAddress}})
	a.awaitUp(t, "b")
	b.awaitUp(t, "a")
}

// TestOwnAddressIsNotDialledTwice sets a process's own address as a target. The hub does
// not have that address in its settings, so only the handshake can detect it.
func TestOwnAddressIsNotDialledTwice(t *testing.T) {
	a := startNode(t, "a", clock.NewFake(), func(s *peer.Settings) { s.Self.PeerAddress = "" })
	a.hub.SetTargets([]member.Member{a.self})
	b := startNode(t, "b", a.clock)
	a.hub.SetTargets([]member.Member{{PeerAddress: a.self.PeerAddress}, b.self})
	a.awaitUp(t, "b")
	if got := len(a.hub.Dump().Links); got != 1 {
		t.Errorf("links: got %d, want 1", got)
	}
}

func TestFailedDialIsReportedAndRepeated(t *testing.T) {
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	proxy := newProxy(t, b.self.PeerAddress)
	proxy.refuse(true)
	target := b.self
	target.PeerAddress = proxy.address
	a.hub.SetTargets([]member.Member{target})
	got := a.await(t, "failed dial", func(e event) bool { return e.kind == dialFailed })
	if got.remote != "b" || got.err == nil {
		t.Errorf("failed dial: got %s and %v, want b and an error", got.remote, got.err)
	}
	proxy.refuse(false)
	a.awaitUp(t, "b")
}

// TestCloseWritesTheLastMessage closes a hub right after a send. It repeats that, because
// the writer may or may not have taken the message from the queue before the close.
func TestCloseWritesTheLastMessage(t *testing.T) {
	const rounds = 20
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range rounds {
		fake := clock.NewFake()
		a, b := startNode(t, "a", fake), startNode(t, "b", fake)
		link(t, a, b)
		if err := a.hub.Send("b", gossip()); err != nil {
			t.Fatalf("send: got %v, want no error", err)
		}
		a.hub.Close(ctx)
		got := b.await(t, "message", func(event) bool { return true })
		if got.message.Kind() != "gossip" {
			t.Fatalf("first event: got %+v, want gossip", got)
		}
		if got := b.awaitDown(t, "a"); got != peer.Shutdown {
			t.Errorf("reason: got %s, want %s", got, peer.Shutdown)
		}
	}
}

// TestLinkFromTheOtherEndSatisfiesATarget sets a target without an incarnation, whose
// process has dialled this one already. The target must count as linked by that link.
func TestLinkFromTheOtherEndSatisfiesATarget(t *testing.T) {
	fake := clock.NewFake()
	dialled := make(chan struct{}, 64)
	b := startNode(t, "b", fake)
	// Jitter is called after each dial, when its link has ended or none came up.
	c := startNode(t, "c", fake, func(s *peer.Settings) {
		s.Jitter = func(time.Duration) time.Duration {
			signal(dialled)
			return 0
		}
	})
	link(t, b, c)
	c.hub.SetTargets([]member.Member{{PeerAddress: b.self.PeerAddress}})
	awaitSignal(t, "dial", dialled)
	got := c.hub.Dump().Targets
	if len(got) != 1 || got[0].Remote != "b" || !got[0].Linked {
		t.Errorf("targets: got %+v, want b and linked", got)
	}
}

// TestSimultaneousDials holds the connections that two nodes dial to each other until both
// are made. The link dialled by the smaller incarnation must be kept.
func TestSimultaneousDials(t *testing.T) {
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	toA, toB := newProxy(t, a.self.PeerAddress), newProxy(t, b.self.PeerAddress)
	toA.hold()
	toB.hold()
	targetA, targetB := a.self, b.self
	targetA.PeerAddress, targetB.PeerAddress = toA.address, toB.address
	a.hub.SetTargets([]member.Member{targetB})
	b.hub.SetTargets([]member.Member{targetA})
	awaitSignal(t, "connection to a", toA.accepted)
	awaitSignal(t, "connection to b", toB.accepted)
	toA.release()
	toB.release()

	a.await(t, "its own link", func(event) bool { return dialled(a, true) })
	b.await(t, "the link dialled by a", func(event) bool { return dialled(b, false) })
	if err := b.hub.Send("a", gossip()); err != nil {
		t.Fatalf("send: got %v, want no error", err)
	}
	a.awaitKind(t, "gossip")
}

func dialled(n *node, want bool) bool {
	links := n.hub.Dump().Links
	return len(links) == 1 && links[0].Dialled == want
}

// TestSilentLinkIsReplaced drops the bytes of one or both directions of a connection
// without closing it, as a network device that lost the state of the connection does. The
// dialer must detect that the link has failed and dial again. If only the acceptor gets no
// bytes, the acceptor closes the link as silent and the dialer records it as broken.
func TestSilentLinkIsReplaced(t *testing.T) {
	tests := []struct {
		name     string
		toB, toA bool
		reason   peer.Reason
	}{
		{"no bytes to the acceptor", true, false, peer.Broken},
		{"no bytes to the dialer", false, true, peer.Silent},
		{"no bytes at all", true, true, peer.Silent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := clock.NewFake()
			a, b := startNode(t, "a", fake), startNode(t, "b", fake)
			proxy := newProxy(t, b.self.PeerAddress)
			target := b.self
			target.PeerAddress = proxy.address
			a.hub.SetTargets([]member.Member{target})
			a.awaitUp(t, "b")
			b.awaitUp(t, "a")
			advanceHeartbeats(t, fake, 10, a, b)

			proxy.dropBytes(test.toB, test.toA)
			for range 2 {
				advanceHeartbeats(t, fake, 1, receivers(a, b, test.toA, test.toB)...)
				awaitDroppedBytes(t, proxy, test.toA, test.toB)
			}
			fake.Advance(peer.HeartbeatInterval)
			if got := a.awaitDown(t, "b"); got != test.reason {
				t.Errorf("reason: got %s, want %s", got, test.reason)
			}
			a.awaitUp(t, "b")
			if err := a.hub.Send("b", gossip()); err != nil {
				t.Fatalf("send: got %v, want no error", err)
			}
			b.awaitKind(t, "gossip")
		})
	}
}

// awaitDroppedBytes waits until the proxy has dropped the bytes of a read, once for each
// dropped direction.
func awaitDroppedBytes(t *testing.T, proxy *proxy, directions ...bool) {
	t.Helper()
	for _, dropped := range directions {
		if dropped {
			awaitSignal(t, "dropped bytes", proxy.dropped)
		}
	}
}

// receivers returns the nodes that still receive bytes through the proxy.
func receivers(a, b *node, toA, toB bool) []*node {
	var left []*node
	if !toA {
		left = append(left, a)
	}
	if !toB {
		left = append(left, b)
	}
	return left
}

// advanceHeartbeats advances the clock by heartbeat intervals and waits after each until
// the given nodes have received a heartbeat.
func advanceHeartbeats(t *testing.T, fake *clock.Fake, times int, nodes ...*node) {
	t.Helper()
	for range times {
		fake.Advance(peer.HeartbeatInterval)
		for _, each := range nodes {
			each.await(t, "heartbeat", func(e event) bool {
				if e.kind == down {
					t.Fatalf("down: got %s, want a heartbeat", e.reason)
				}
				return e.kind == message && e.message.Heartbeat != nil
			})
		}
	}
}
