package peer

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// LinkDump is the state of one link, for operators.
type LinkDump struct {
	Remote ident.Incarnation `json:"remote"`
	// Address is the dialled address. It is empty for accepted links.
	Address string `json:"address,omitempty"`
	Dialled bool   `json:"dialled"`
	// Since is when the handshake of the link succeeded.
	Since time.Time `json:"since"`
	// Silence is the time since the last received frame.
	Silence time.Duration `json:"silence_ns"`
	// Queued is the number of messages in the send queue.
	Queued int `json:"queued"`
}

// TargetDump is the state of one target, for operators.
type TargetDump struct {
	PeerAddress string `json:"peer_address"`
	// Remote is the process that last answered at the address. Until one has answered,
	// it is the incarnation of the target, which can be empty.
	Remote ident.Incarnation `json:"remote,omitempty"`
	// Linked is whether a link to the process is up, whichever end dialled it.
	Linked bool `json:"linked"`
}

// Dump is the state of a hub, for operators.
type Dump struct {
	Self     ident.Incarnation `json:"self"`
	Links    []LinkDump        `json:"links"`
	Targets  []TargetDump      `json:"targets"`
	Counters Counters          `json:"counters"`
}

// Dump returns the state of the hub, with links sorted by remote process and targets by
// peer address.
func (h *Hub) Dump() Dump {
	dump := Dump{Self: h.self, Counters: h.counters.snapshot()}
	for _, open := range h.openLinks() {
		dump.Links = append(dump.Links, open.dump())
	}
	slices.SortFunc(dump.Links, func(a, b LinkDump) int {
		return cmp.Compare(a.Remote, b.Remote)
	})
	dump.Targets = h.dumpTargets()
	return dump
}

func (l *link) dump() LinkDump {
	return LinkDump{
		Remote:  l.remote,
		Address: l.address,
		Dialled: l.dialled,
		Since:   l.since,
		Silence: l.silence(),
		Queued:  l.pending.Len(),
	}
}

func (h *Hub) dumpTargets() []TargetDump {
	h.mu.Lock()
	defer h.mu.Unlock()
	var targets []TargetDump
	for address, d := range h.dialers {
		remote := d.remoteIncarnation()
		_, linked := h.links[remote]
		targets = append(targets, TargetDump{PeerAddress: address, Remote: remote, Linked: linked})
	}
	slices.SortFunc(targets, func(a, b TargetDump) int {
		return cmp.Compare(a.PeerAddress, b.PeerAddress)
	})
	return targets
}
