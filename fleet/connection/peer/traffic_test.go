package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

// maxIdleBytesPerSecond is the largest allowed traffic of an idle link, both directions
// together and with the overhead of WebSocket.
const maxIdleBytesPerSecond = 400

// byteMeter counts the bytes of the connections that a client opens.
type byteMeter struct {
	bytes atomic.Int64
}

type meteredConn struct {
	net.Conn
	meter *byteMeter
}

func (c meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (m *byteMeter) client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		return meteredConn{Conn: conn, meter: m}, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// TestIdleLinkIsCheap measures the traffic of a link that carries only heartbeats, whose
// load and incarnations have realistic sizes.
func TestIdleLinkIsCheap(t *testing.T) {
	const heartbeats = 30
	meter := &byteMeter{}
	fake := clock.NewFake()
	a := startNode(t, ident.NewIncarnation(), fake, func(s *peer.Settings) { s.Client = meter.client() })
	b := startNode(t, ident.NewIncarnation(), fake)
	link(t, a, b)
	for _, each := range []*node{a, b} {
		load := member.Load{Sequence: 1 << 20, InFlight: 300, RequestsPerSecond: 17.25}
		each.hub.SetHeartbeat(peer.Heartbeat{Digest: 1<<63 + 1, Load: load})
	}
	advanceHeartbeats(t, fake, 1, a, b)
	before, sent := meter.bytes.Load(), a.hub.Dump().Counters.Out["heartbeat"]
	advanceHeartbeats(t, fake, heartbeats, a, b)
	after := a.hub.Dump().Counters.Out["heartbeat"]

	idle := (meter.bytes.Load() - before) / heartbeats
	if idle == 0 || idle > maxIdleBytesPerSecond {
		t.Errorf("idle link: got %d bytes a second, want at most %d", idle, maxIdleBytesPerSecond)
	}
	frame := (after.Bytes - sent.Bytes) / (after.Messages - sent.Messages)
	t.Logf("heartbeat: %d bytes; idle link, both ways: %d bytes a second", frame, idle)
}
