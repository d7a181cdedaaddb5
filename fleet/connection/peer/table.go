package peer

import (
	"github.com/coder/websocket"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
)

// admit puts a link into the table, or returns a DuplicateError.
func (h *Hub) admit(made *link, hello Hello) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return &NoRouteError{To: made.remote}
	}
	former, ok := h.links[made.remote]
	if ok && !h.prefers(made, former) {
		return &DuplicateLinkError{Remote: made.remote}
	}
	if ok {
		former.finish(Replaced)
	}
	h.links[made.remote] = made
	h.announce()
	h.settings.Receiver.LinkUp(made.remote, hello)
	return nil
}

// prefers reports whether the new link replaces the former. A second link of
// one direction shows that its dialler has lost the first.
func (h *Hub) prefers(made, former *link) bool {
	if made.dialled == former.dialled {
		return true
	}
	return made.dialled == (h.self < made.remote)
}

// drop takes an ended link out of the table.
func (h *Hub) drop(ended *link, reason Reason) {
	h.counters.change(func(read *Counters) { read.Ended[reason]++ })
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[ended.remote] != ended {
		return
	}
	delete(h.links, ended.remote)
	h.announce()
	h.settings.Receiver.LinkDown(ended.remote, reason)
}

// announce wakes those who wait for a change of the table.
func (h *Hub) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// linked reports whether a link to the process stands, and returns a channel
// that is closed when the table changes. The process itself counts as linked.
func (h *Hub) linked(remote ident.Incarnation) (bool, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.links[remote]
	return ok || remote == h.self, h.changed
}

// refuse closes a connection whose handshake failed.
func (h *Hub) refuse(conn *websocket.Conn, err error) {
	var duplicate *DuplicateLinkError
	if errors.As(err, &duplicate) {
		_ = conn.Close(statusReplaced, string(Replaced))
		return
	}
	h.counters.change(func(read *Counters) { read.Refused++ })
	_ = conn.Close(websocket.StatusPolicyViolation, "refused")
}
