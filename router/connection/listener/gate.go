package listener

import (
	"net"
	"sync"
	"time"
)

// Gate bounds the number of connections of one or more listeners. If all are taken, a
// new connection replaces one that is idle, or whose request has stopped arriving. The
// addresses with the most connections give theirs up first, and an address never
// replaces connections of one that has fewer. A Gate is safe for concurrent use.
type Gate struct {
	// Max is the maximum number of connections.
	Max int

	mu          sync.Mutex
	connections map[*trackedConn]struct{}
	byAddress   map[string]int
	// replaced are the connections that were closed and that net/http still serves: it
	// waits before it returns the buffers of a connection.
	replaced map[*trackedConn]struct{}
}

// replacedFraction is the fraction of Max that may be replaced at one time.
const replacedFraction = 2

// admit adds the connection. It reports false if there is no room, and returns the
// connection that the new one replaces, if any.
func (g *Gate) admit(accepted *trackedConn) (replaced *trackedConn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connections == nil {
		g.connections = make(map[*trackedConn]struct{})
		g.byAddress = make(map[string]int)
		g.replaced = make(map[*trackedConn]struct{})
	}
	if len(g.connections) >= g.Max {
		if len(g.replaced) >= g.Max/replacedFraction {
			return nil, false
		}
		replaced = g.spare(g.byAddress[accepted.address])
		if replaced == nil || !replaced.intake.Evict() {
			return nil, false
		}
		g.drop(replaced)
		g.replaced[replaced] = struct{}{}
	}
	g.add(accepted)
	return replaced, true
}

// spare returns the connection to replace for an address that has the number of
// connections, or nil if there is none.
func (g *Gate) spare(own int) *trackedConn {
	var best *trackedConn
	var bestSince time.Time
	for connection := range g.connections {
		held := g.byAddress[connection.address]
		if held < own {
			continue
		}
		since, spare := connection.intake.Spare()
		if !spare {
			continue
		}
		most := best == nil || held > g.byAddress[best.address]
		if most || held == g.byAddress[best.address] && since.Before(bestSince) {
			best, bestSince = connection, since
		}
	}
	return best
}

func (g *Gate) add(connection *trackedConn) {
	g.connections[connection] = struct{}{}
	g.byAddress[connection.address]++
}

func (g *Gate) drop(connection *trackedConn) {
	if _, ok := g.connections[connection]; !ok {
		return
	}
	delete(g.connections, connection)
	g.byAddress[connection.address]--
	if g.byAddress[connection.address] == 0 {
		delete(g.byAddress, connection.address)
	}
}

// leave removes a connection that is closed or no longer carries HTTP.
func (g *Gate) leave(connection *trackedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(connection)
	delete(g.replaced, connection)
}

// Open returns the number of connections.
func (g *Gate) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.connections)
}

// hostOf returns the IP address of a remote address.
func hostOf(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return address.String()
}
