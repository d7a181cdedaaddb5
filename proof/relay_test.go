package proof_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// direction is one direction of a connection through a relay.
type direction string

const (
	toServer direction = "to_server"
	toClient direction = "to_client"
)

// relay forwards TCP connections. It can drop all further bytes of the open
// connections without closing them, as a silent network fault does, while it
// forwards new connections.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*relayedConn
}

// relayedConn is one forwarded connection.
type relayedConn struct {
	client       net.Conn
	server       net.Conn
	dropToServer atomic.Bool
	dropToClient atomic.Bool
}

// newRelay listens on the address and forwards connections to the target.
func newRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("relay: got %v, want no error", err)
	}
	r := &relay{listener: listener, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &relayedConn{client: client, server: server}
		r.mu.Lock()
		r.open = append(r.open, conn)
		r.mu.Unlock()
		go forward(server, client, &conn.dropToServer)
		go forward(client, server, &conn.dropToClient)
	}
}

// forward copies bytes until one end closes. Once drop is set it discards all bytes,
// and does not forward the close either.
func forward(to, from net.Conn, drop *atomic.Bool) {
	chunk := make([]byte, 32<<10)
	for {
		count, err := from.Read(chunk)
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, failed := to.Write(chunk[:count]); err != nil || failed != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// countWorking counts the connections that forward bytes in both directions.
func (r *relay) countWorking() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, conn := range r.open {
		if !conn.dropToServer.Load() && !conn.dropToClient.Load() {
			count++
		}
	}
	return count
}

// silence drops all further bytes of the open connections in the directions.
func (r *relay) silence(directions []direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.open {
		for _, way := range directions {
			if way == toServer {
				conn.dropToServer.Store(true)
			} else {
				conn.dropToClient.Store(true)
			}
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.open {
		_ = conn.client.Close()
		_ = conn.server.Close()
	}
}
