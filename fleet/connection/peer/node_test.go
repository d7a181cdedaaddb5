package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

// testTimeout fails a test whose awaited event never occurs.
const testTimeout = 20 * time.Second

var secret = []byte("the secret of the fleet")

type eventKind string

const (
	up         eventKind = "up"
	down       eventKind = "down"
	dialFailed eventKind = "dial failed"
	message    eventKind = "message"
)

type event struct {
	kind    eventKind
	remote  ident.Incarnation
	reason  peer.Reason
	message peer.Message
	err     error
}

// recorder is a Receiver that sends all events to a channel.
type recorder chan event

func (r recorder) HandleMessage(m peer.Message) {
	r <- event{kind: message, remote: m.From, message: m}
}

func (r recorder) LinkUp(remote ident.Incarnation, _ peer.Hello) {
	r <- event{kind: up, remote: remote}
}

func (r recorder) LinkDown(remote ident.Incarnation, reason peer.Reason) {
	r <- event{kind: down, remote: remote, reason: reason}
}

func (r recorder) DialFailed(target member.Member, err error) {
	r <- event{kind: dialFailed, remote: target.Incarnation, err: err}
}

// node is a hub that listens on a loopback port.
type node struct {
	hub    *peer.Hub
	self   member.Member
	clock  *clock.Fake
	events recorder
}

func startNode(t *testing.T, name ident.Incarnation, fake *clock.Fake, change ...func(*peer.Settings)) *node {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	started := &node{
		self: member.Member{
			Incarnation: name,
			PeerAddress: strings.TrimPrefix(server.URL, "http://"),
			State:       member.Live,
			Sequence:    1,
		},
		clock:  fake,
		events: make(recorder, 4096),
	}
	settings := peer.Settings{
		Self:     started.self,
		Secret:   secret,
		Clock:    fake,
		Receiver: started.events,
		Jitter:   func(time.Duration) time.Duration { return 0 },
	}
	for _, apply := range change {
		apply(&settings)
	}
	started.hub = peer.New(settings)
	mux.Handle(peer.Path, started.hub)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		started.hub.Close(ctx)
		server.Close()
	})
	return started
}

// await returns the next event that matches and discards those before it.
func (n *node) await(t *testing.T, what string, match func(event) bool) event {
	t.Helper()
	deadline := time.After(testTimeout)
	for {
		select {
		case next := <-n.events:
			if match(next) {
				return next
			}
		case <-deadline:
			t.Fatalf("%s: got nothing, want %s", n.self.Incarnation, what)
		}
	}
}

func (n *node) awaitUp(t *testing.T, remote ident.Incarnation) {
	t.Helper()
	n.await(t, "link up", func(e event) bool { return e.kind == up && e.remote == remote })
}

func (n *node) awaitDown(t *testing.T, remote ident.Incarnation) peer.Reason {
	t.Helper()
	return n.await(t, "link down", func(e event) bool {
		return e.kind == down && e.remote == remote
	}).reason
}

func (n *node) awaitKind(t *testing.T, kind peer.Kind) peer.Message {
	t.Helper()
	return n.await(t, string(kind), func(e event) bool {
		return e.kind == message && e.message.Kind() == kind
	}).message
}

// link makes from dial to and waits until both ends have the link up.
func link(t *testing.T, from, to *node) {
	t.Helper()
	from.hub.SetTargets([]member.Member{to.self})
	from.awaitUp(t, to.self.Incarnation)
	to.awaitUp(t, from.self.Incarnation)
}

func gossip(names ...ident.Incarnation) peer.Message {
	return peer.Message{Gossip: &member.Gossip{Wanted: names}}
}
