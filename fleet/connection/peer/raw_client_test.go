package peer_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/auth"
	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

// frame has the fields of all frames of the handshake, and an unknown one.
type frame struct {
	Incarnation ident.Incarnation `cbor:"incarnation,omitempty"`
	Nonce       []byte            `cbor:"nonce,omitempty"`
	Proof       []byte            `cbor:"proof,omitempty"`
	Extra       string            `cbor:"extra,omitempty"`
}

// rawClient is a WebSocket client that can break the protocol of a hub.
type rawClient struct {
	t    *testing.T
	ctx  context.Context
	conn *websocket.Conn
}

func dialRaw(t *testing.T, to *node) *rawClient {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	conn, _, err := websocket.Dial(ctx, "ws://"+to.self.PeerAddress+peer.Path, nil)
	if err != nil {
		t.Fatalf("dial: got %v, want no error", err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	return &rawClient{t: t, ctx: ctx, conn: conn}
}

func (c *rawClient) write(value any) {
	c.t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		c.t.Fatalf("encode: got %v, want no error", err)
	}
	c.writeRaw(encoded)
}

func (c *rawClient) writeRaw(encoded []byte) {
	c.t.Helper()
	if err := c.conn.Write(c.ctx, websocket.MessageBinary, encoded); err != nil {
		c.t.Fatalf("write: got %v, want no error", err)
	}
}

func (c *rawClient) read(value any) {
	c.t.Helper()
	_, encoded, err := c.conn.Read(c.ctx)
	if err != nil {
		c.t.Fatalf("read: got %v, want a frame", err)
	}
	if err := cbor.Unmarshal(encoded, value); err != nil {
		c.t.Fatalf("decode: got %v, want no error", err)
	}
}

// awaitClose reads until the hub closes the connection.
func (c *rawClient) awaitClose() {
	c.t.Helper()
	for {
		if _, _, err := c.conn.Read(c.ctx); err != nil {
			break
		}
	}
	if c.ctx.Err() != nil {
		c.t.Fatal("refusal: got none, want a closed connection")
	}
}

// challenge sends a challenge and returns the session and the reply of the hub.
func (c *rawClient) challenge(self ident.Incarnation) (auth.Session, frame) {
	c.t.Helper()
	nonce := auth.NewNonce()
	c.write(frame{Incarnation: self, Nonce: nonce})
	var reply frame
	c.read(&reply)
	return auth.Session{
		Dialer:        self,
		Acceptor:      reply.Incarnation,
		DialerNonce:   nonce,
		AcceptorNonce: reply.Nonce,
	}, reply
}

// completeHandshake runs the whole handshake as a router does.
func (c *rawClient) completeHandshake(self ident.Incarnation) {
	c.t.Helper()
	session, _ := c.challenge(self)
	c.write(frame{Proof: session.Proof(secret, auth.Dialer)})
	c.write(peer.Message{Hello: &peer.Hello{Member: member.Member{Incarnation: self}}})
	var hello peer.Message
	c.read(&hello)
	if hello.Hello == nil {
		c.t.Fatalf("hello: got %+v, want one", hello)
	}
}

func TestFailedHandshakeIsRefused(t *testing.T) {
	tests := []struct {
		name string
		act  func(*rawClient, *node)
	}{
		{"wrong secret", func(c *rawClient, _ *node) {
			session, _ := c.challenge("x")
			c.write(frame{Proof: session.Proof([]byte("guess"), auth.Dialer)})
		}},
		{"replayed proof", func(c *rawClient, to *node) {
			other := dialRaw(c.t, to)
			session, _ := other.challenge("x")
			c.challenge("x")
			c.write(frame{Proof: session.Proof(secret, auth.Dialer)})
			other.write(frame{})
			other.awaitClose()
		}},
		{"reflected proof", func(c *rawClient, _ *node) {
			_, reply := c.challenge("x")
			c.write(frame{Proof: reply.Proof})
		}},
		{"own incarnation", func(c *rawClient, to *node) {
			session, _ := c.challenge(to.self.Incarnation)
			c.write(frame{Proof: session.Proof(secret, auth.Dialer)})
		}},
		{"truncated frame", func(c *rawClient, _ *node) {
			encoded, _ := cbor.Marshal(frame{Incarnation: "x", Nonce: auth.NewNonce()})
			c.writeRaw(encoded[:len(encoded)/2])
		}},
		{"unknown field", func(c *rawClient, _ *node) {
			c.write(frame{Incarnation: "x", Nonce: auth.NewNonce(), Extra: "more"})
		}},
		{"oversized frame", func(c *rawClient, _ *node) {
			_ = c.conn.Write(c.ctx, websocket.MessageBinary, bytes.Repeat([]byte{0}, peer.MaxFrameBytes+1))
		}},
		{"message before the proofs", func(c *rawClient, _ *node) {
			c.write(gossip("x"))
		}},
		{"hello of another process", func(c *rawClient, _ *node) {
			session, _ := c.challenge("x")
			c.write(frame{Proof: session.Proof(secret, auth.Dialer)})
			c.write(peer.Message{Hello: &peer.Hello{Member: member.Member{Incarnation: "y"}}})
		}},
		{"no frame within the timeout", func(_ *rawClient, to *node) {
			if err := to.clock.BlockUntilContext(context.Background(), 1); err != nil {
				t.Fatal(err)
			}
			to.clock.Advance(peer.HandshakeTimeout)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startNode(t, "b", clock.NewFake())
			c := dialRaw(t, b)
			test.act(c, b)
			c.awaitClose()
			select {
			case got := <-b.events:
				t.Errorf("event: got %+v, want none", got)
			default:
			}
			if got := len(b.hub.Dump().Links); got != 0 {
				t.Errorf("links: got %d, want 0", got)
			}
		})
	}
}

// TestAcceptorWithOtherSecretIsNotLinked dials a node that has another secret. The dialer
// must refuse its proof.
func TestAcceptorWithOtherSecretIsNotLinked(t *testing.T) {
	fake := clock.NewFake()
	a := startNode(t, "a", fake)
	impostor := startNode(t, "b", fake, func(s *peer.Settings) { s.Secret = []byte("guess") })
	a.hub.SetTargets([]member.Member{impostor.self})
	got := a.await(t, "failed dial", func(e event) bool {
		if e.kind == up {
			t.Error("link: got one, want none")
		}
		return e.kind == dialFailed
	})
	if got.err == nil {
		t.Error("error: got none, want one")
	}
}

// acceptWithWrongProof accepts any dialer and replies with a random proof.
func acceptWithWrongProof(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	reply, _ := cbor.Marshal(frame{Incarnation: "b", Nonce: auth.NewNonce(), Proof: auth.NewNonce()})
	hello, _ := cbor.Marshal(peer.Message{Hello: &peer.Hello{Member: member.Member{Incarnation: "b"}}})
	_, _, _ = conn.Read(r.Context())
	_ = conn.Write(r.Context(), websocket.MessageBinary, reply)
	_ = conn.Write(r.Context(), websocket.MessageBinary, hello)
	for err == nil {
		_, _, err = conn.Read(r.Context())
	}
}

// TestAcceptorWithWrongProofIsNotLinked dials an acceptor without the secret, which
// accepts any proof. The dialer must refuse its proof.
func TestAcceptorWithWrongProofIsNotLinked(t *testing.T) {
	a := startNode(t, "a", clock.NewFake())
	server := httptest.NewServer(http.HandlerFunc(acceptWithWrongProof))
	t.Cleanup(server.Close)
	t.Cleanup(func() { a.hub.SetTargets(nil) })

	target := member.Member{Incarnation: "b", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	a.hub.SetTargets([]member.Member{target})
	got := a.await(t, "failed dial", func(e event) bool {
		if e.kind == up {
			t.Error("link: got one, want none")
		}
		return e.kind == dialFailed
	})
	var refused *auth.Error
	if !errors.As(got.err, &refused) || refused.Reason != auth.WrongProof {
		t.Errorf("error: got %v, want %s", got.err, auth.WrongProof)
	}
}

// TestSecondLinkOfLargerIncarnationIsRefused connects as b to a after a has dialled b. The
// link dialled by the smaller incarnation is kept, so the new one must be closed.
func TestSecondLinkOfLargerIncarnationIsRefused(t *testing.T) {
	const replaced = 4001
	fake := clock.NewFake()
	a, b := startNode(t, "a", fake), startNode(t, "b", fake)
	link(t, a, b)
	c := dialRaw(t, a)
	session, _ := c.challenge("b")
	c.write(frame{Proof: session.Proof(secret, auth.Dialer)})
	c.write(peer.Message{Hello: &peer.Hello{Member: b.self}})
	_, _, err := c.conn.Read(c.ctx)
	if got := websocket.CloseStatus(err); got != replaced {
		t.Errorf("status: got %d, want %d", got, replaced)
	}
	if !dialled(a, true) {
		t.Error("link of a: got none or another, want its own")
	}
}

func TestMalformedMessageEndsTheLink(t *testing.T) {
	tests := []struct {
		name  string
		frame []byte
	}{
		{"truncated", []byte{0xa1, 0x68, 's'}},
		{"not a message", []byte{0x01}},
		{"empty", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startNode(t, "b", clock.NewFake())
			c := dialRaw(t, b)
			c.completeHandshake("x")
			c.writeRaw(test.frame)
			if got := b.awaitDown(t, "x"); got != peer.Malformed {
				t.Errorf("reason: got %s, want %s", got, peer.Malformed)
			}
		})
	}
}

func TestOversizedMessageEndsTheLink(t *testing.T) {
	b := startNode(t, "b", clock.NewFake())
	c := dialRaw(t, b)
	c.completeHandshake("x")
	_ = c.conn.Write(c.ctx, websocket.MessageBinary, make([]byte, peer.MaxFrameBytes+1))
	if got := b.awaitDown(t, "x"); got != peer.Broken {
		t.Errorf("reason: got %s, want %s", got, peer.Broken)
	}
}

// TestUnknownKindsAreIgnored sends a message with a body that only a later version has.
func TestUnknownKindsAreIgnored(t *testing.T) {
	type later struct {
		Sequence int64  `cbor:"sequence"`
		Novelty  string `cbor:"novelty"`
	}
	b := startNode(t, "b", clock.NewFake())
	c := dialRaw(t, b)
	c.completeHandshake("x")
	c.write(later{Sequence: 1, Novelty: "body"})
	c.write(gossip("y"))
	got := b.await(t, "message", func(e event) bool { return e.kind == message })
	if got.message.Kind() != "gossip" {
		t.Errorf("kind: got %s, want gossip", got.message.Kind())
	}
	if got := b.hub.Dump().Counters.In["unknown"].Messages; got != 1 {
		t.Errorf("unknown: got %d, want 1", got)
	}
}

// largeMessage returns a message of 256 KiB, of which a few fill the socket buffers.
func largeMessage(droppable bool) peer.Message {
	padding := member.Member{VM: string(make([]byte, 256<<10))}
	if droppable {
		return peer.Message{Gossip: &member.Gossip{Changed: []member.Member{padding}}}
	}
	return peer.Message{Hello: &peer.Hello{Member: padding}}
}

// TestFullQueueDropsOnlyDroppableMessages fills the queue of a link whose remote end never
// reads. Droppable messages are dropped; others end the link.
func TestFullQueueDropsOnlyDroppableMessages(t *testing.T) {
	const tries = 10_000
	b := startNode(t, "b", clock.NewFake(), func(s *peer.Settings) { s.QueueLimit = 4 })
	dialRaw(t, b).completeHandshake("x")
	dropped := func() int64 { return b.hub.Dump().Counters.Dropped["gossip"] }
	for try := 0; try < tries && dropped() == 0; try++ {
		if err := b.hub.Send("x", largeMessage(true)); err != nil {
			t.Fatalf("send: got %v, want no error", err)
		}
	}
	if dropped() == 0 {
		t.Fatal("dropped: got 0, want more")
	}

	var err error
	for try := 0; try < tries && err == nil; try++ {
		err = b.hub.Send("x", largeMessage(false))
	}
	if got := b.awaitDown(t, "x"); got != peer.Slow {
		t.Errorf("reason: got %s after %v, want %s", got, err, peer.Slow)
	}
}

// TestStuckWriteEndsTheLink blocks a write, because the remote end never reads. The write
// timeout must end the link.
func TestStuckWriteEndsTheLink(t *testing.T) {
	const tries = 10_000
	b := startNode(t, "b", clock.NewFake(), func(s *peer.Settings) {
		s.QueueLimit = 4
		s.SilenceLimit = time.Hour
	})
	dialRaw(t, b).completeHandshake("x")
	for try := 0; try < tries && b.hub.Dump().Counters.Dropped["gossip"] < 100; try++ {
		if err := b.hub.Send("x", largeMessage(true)); err != nil {
			t.Fatalf("send: got %v, want no error", err)
		}
	}
	// Two timers wait on the clock during a write: the heartbeat ticker and the write
	// timeout.
	ctx, cancel := context.WithCancel(context.Background())
	var advancing sync.WaitGroup
	advancing.Go(func() {
		for b.clock.BlockUntilContext(ctx, 2) == nil {
			b.clock.Advance(peer.WriteTimeout)
		}
	})
	defer advancing.Wait()
	defer cancel()
	if got := b.awaitDown(t, "x"); got != peer.Slow {
		t.Errorf("reason: got %s, want %s", got, peer.Slow)
	}
}

// TestCloseWritesQueuedMessages fills the queue of a link whose remote end reads only after
// the close. All queued messages must still be written.
func TestCloseWritesQueuedMessages(t *testing.T) {
	const queued = 10
	b := startNode(t, "b", clock.NewFake())
	c := dialRaw(t, b)
	c.completeHandshake("x")
	sent := 0
	for b.hub.Dump().Links[0].Queued < queued {
		if err := b.hub.Send("x", largeMessage(false)); err != nil {
			t.Fatalf("send: got %v, want no error", err)
		}
		sent++
	}
	var closing sync.WaitGroup
	closing.Go(func() { b.hub.Close(c.ctx) })
	defer closing.Wait()

	c.conn.SetReadLimit(peer.MaxFrameBytes)
	got, err := 0, error(nil)
	for err == nil {
		if _, _, err = c.conn.Read(c.ctx); err == nil {
			got++
		}
	}
	if got != sent || websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("read: got %d messages and %v, want %d and a close frame for going away", got, err, sent)
	}
}
