package peer

import (
	"maps"
	"slices"

	"jacinthpaddle.example/fleet/process/ident"
)

// Send queues the message for the process, over a direct link or by relay. It returns a
// NoRouteError or a QueueFullError. Success means only that the message is queued. A
// message for this process itself is passed to the receiver at once.
func (h *Hub) Send(to ident.Incarnation, message Message) error {
	message.From = h.self
	message.To = to
	message.Hops = 0
	message.Sequence = h.sequence.Add(1)
	if to == h.self {
		h.settings.Receiver.HandleMessage(message)
		return nil
	}
	return h.forward(message)
}

// Broadcast queues the message for every neighbour and returns the number of neighbours
// for which that succeeded.
func (h *Hub) Broadcast(message Message) int {
	message.Sequence = h.sequence.Add(1)
	sent := 0
	for _, open := range h.openLinks() {
		if open.enqueue(message) == nil {
			sent++
		}
	}
	return sent
}

// forward queues the message on the next link of its route.
func (h *Hub) forward(message Message) error {
	next, message, err := h.nextLink(message)
	if err != nil {
		return err
	}
	return next.enqueue(message)
}

// nextLink returns the next link on the route of the message, and the message as it is
// sent on that link. It returns a NoRouteError.
func (h *Hub) nextLink(message Message) (*link, Message, error) {
	next, direct, ok := h.route(message.To)
	if !ok || message.Hops >= MaxHops {
		return nil, message, &NoRouteError{To: message.To}
	}
	if direct && message.From == h.self {
		message.From, message.To = "", ""
	}
	return next, message, nil
}

// route returns the next link for a message to the process, and whether it leads there
// directly.
func (h *Hub) route(to ident.Incarnation) (next *link, direct, ok bool) {
	if open, linked := h.linkTo(to); linked {
		return open, true, true
	}
	hop, found := h.graph.Load().NextHop(h.neighbours(), to)
	if !found {
		return nil, false, false
	}
	next, ok = h.linkTo(hop)
	return next, false, ok
}

// linkTo returns the link to the process, and false if there is none.
func (h *Hub) linkTo(remote ident.Incarnation) (*link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	open, ok := h.links[remote]
	return open, ok
}

func (h *Hub) neighbours() []ident.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.links))
}

// dispatch passes a received message to the receiver, or relays it if it is addressed to
// another process. A message of an unknown kind for this process is ignored.
func (h *Hub) dispatch(from *link, message Message) {
	if message.To != "" && message.To != h.self {
		h.relay(message)
		return
	}
	if message.From == "" {
		message.From = from.remote
	}
	message.To = h.self
	if message.Kind() != unknownKind {
		h.settings.Receiver.HandleMessage(message)
	}
}

// relay forwards a message of another process and counts whether that succeeded.
func (h *Hub) relay(message Message) {
	message.Hops++
	next, message, err := h.nextLink(message)
	if err != nil {
		h.counters.update(func(values *Counters) { values.Unrouted++ })
		return
	}
	// The receiver can act on the message as soon as it is queued, so that it must be
	// counted before.
	h.counters.update(func(values *Counters) { values.Relayed++ })
	if next.enqueue(message) != nil {
		h.counters.update(func(values *Counters) {
			values.Relayed--
			values.Unrouted++
		})
	}
}

// openLinks returns all registered links.
func (h *Hub) openLinks() []*link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.links))
}
