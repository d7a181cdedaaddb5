package peer

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// LinkDump is the state of one link.
type LinkDump struct {
	Remote  ident.Incarnation `json:"remote"`
	Address string            `json:"address,omitempty"`
	Dialled bool              `json:"dialled"`
	Since   time.Time         `json:"since"`
	Silence time.Duration     `json:"silence_ns"`
	Queued  int               `json:"queued"`
}

// TargetDump is the state of one target.
type TargetDump struct {
	PeerAddress string            `json:"peer_address"`
	Remote      ident.Incarnation `json:"remote,omitempty"`
	Linked      bool              `json:"linked"`
}

// Dump is the state of a hub.
type Dump struct {
	Self     ident.Incarnation `json:"self"`
	Links    []LinkDump        `json:"links"`
	Targets  []TargetDump      `json:"targets"`
	Counters Counters          `json:"counters"`
}

// Dump returns the state of the hub.
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
	for address, running := range h.dialers {
		remote := running.remoteIncarnation()
		_, linked := h.links[remote]
		targets = append(targets, TargetDump{PeerAddress: address, Remote: remote, Linked: linked})
	}
	slices.SortFunc(targets, func(a, b TargetDump) int {
		return cmp.Compare(a.PeerAddress, b.PeerAddress)
	})
	return targets
}
