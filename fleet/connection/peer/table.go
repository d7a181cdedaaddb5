package peer

import (
	"github.com/coder/websocket"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
)

// register adds a link to the table and replaces an existing one to the same process if
// the new one is preferred. It returns a DuplicateLinkError if it isn't, or a
// NoRouteError if the hub is closed.
func (h *Hub) register(candidate *link, hello Hello) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return &NoRouteError{To: candidate.remote}
	}
	existing, ok := h.links[candidate.remote]
	if ok && !h.prefers(candidate, existing) {
		return &DuplicateLinkError{Remote: candidate.remote}
	}
	if ok {
		existing.finish(Replaced)
	}
	h.links[candidate.remote] = candidate
	h.notifyChanged()
	h.settings.Receiver.LinkUp(candidate.remote, hello)
	return nil
}

// prefers reports whether the candidate replaces the existing link. Both ends come to the
// same decision. A second link dialled by the same end replaces the first, which that end
// must have lost. Of links dialled by different ends, the one dialled by the smaller
// incarnation is kept.
func (h *Hub) prefers(candidate, existing *link) bool {
	if candidate.dialled == existing.dialled {
		return true
	}
	return candidate.dialled == (h.self < candidate.remote)
}

// unregister counts the end of a link and removes it from the table, unless another link
// has replaced it.
func (h *Hub) unregister(ended *link, reason Reason) {
	h.counters.update(func(values *Counters) { values.Ended[reason]++ })
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[ended.remote] != ended {
		return
	}
	delete(h.links, ended.remote)
	h.notifyChanged()
	h.settings.Receiver.LinkDown(ended.remote, reason)
}

// notifyChanged wakes the dialers that wait for a change of the table. The caller holds
// the mutex.
func (h *Hub) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// linked reports whether a link to the process is up, and returns a channel that is
// closed when the table changes. The process itself counts as linked, so that a dialer of
// its own address waits instead of dialling again.
func (h *Hub) linked(remote ident.Incarnation) (bool, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.links[remote]
	return ok || remote == h.self, h.changed
}

// closeRefused closes an accepted connection that failed the handshake or was a duplicate
// link. The close reason doesn't reveal which check failed.
func (h *Hub) closeRefused(conn *websocket.Conn, err error) {
	var duplicate *DuplicateLinkError
	if errors.As(err, &duplicate) {
		_ = conn.Close(statusReplaced, string(Replaced))
		return
	}
	h.counters.update(func(values *Counters) { values.Refused++ })
	_ = conn.Close(websocket.StatusPolicyViolation, "refused")
}
