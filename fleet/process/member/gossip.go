package member

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// Limits of gossip.
const (
	// MaxRecords is how many records one gossip message carries.
	MaxRecords = 64
	// MismatchHeartbeats is how many heartbeats in a row must show another digest
	// before the views are compared.
	MismatchHeartbeats = 5
	// CompareInterval spaces out comparisons over one link.
	CompareInterval = 30 * time.Second
)

// Gossip is what one process tells a neighbour of the fleet. Changed holds
// records that are news. Known, when it is not empty, lists all that the sender
// holds, and Wanted asks for records.
type Gossip struct {
	Changed []Member            `json:"changed,omitempty" cbor:"changed,omitempty"`
	Known   []Version           `json:"known,omitempty" cbor:"known,omitempty"`
	Wanted  []ident.Incarnation `json:"wanted,omitempty" cbor:"wanted,omitempty"`
}

// Empty reports whether there is nothing to send.
func (g Gossip) Empty() bool {
	return len(g.Changed) == 0 && len(g.Known) == 0 && len(g.Wanted) == 0
}

// AddressedGossip is gossip for one neighbour.
type AddressedGossip struct {
	To     ident.Incarnation
	Gossip Gossip
}

type neighbourState struct {
	pending    map[ident.Incarnation]struct{}
	mismatches int
	comparedAt time.Time
}

// Gossiper passes news of a view on to neighbours, each record once a link. It
// belongs to the goroutine of its view.
type Gossiper struct {
	view       *View
	neighbours map[ident.Incarnation]*neighbourState
}

// NewGossiper returns a spreader for the view.
func NewGossiper(view *View) *Gossiper {
	return &Gossiper{view: view, neighbours: make(map[ident.Incarnation]*neighbourState)}
}

// LinkUp adds a neighbour whose view has the digest and returns the gossip to
// open with, which can be empty. One end's list of versions is enough to settle
// a difference, so the larger incarnation leaves it to the smaller.
func (g *Gossiper) LinkUp(to ident.Incarnation, digest uint64, now time.Time) Gossip {
	added := &neighbourState{pending: make(map[ident.Incarnation]struct{})}
	g.neighbours[to] = added
	if digest == g.view.Digest() || g.view.self > to {
		return Gossip{}
	}
	added.comparedAt = now
	return Gossip{Known: g.view.Versions()}
}

// LinkDown removes a neighbour.
func (g *Gossiper) LinkDown(to ident.Incarnation) {
	delete(g.neighbours, to)
}

// Enqueue queues news for every neighbour except the one that it came from.
func (g *Gossiper) Enqueue(updates []Member, from ident.Incarnation) {
	for to, neighbour := range g.neighbours {
		if to == from {
			continue
		}
		for _, changed := range updates {
			neighbour.pending[changed.Incarnation] = struct{}{}
		}
	}
}

// Receive merges gossip, queues what was news and returns the reply, which can
// be empty.
func (g *Gossiper) Receive(from ident.Incarnation, gossip Gossip, now time.Time) Gossip {
	g.dropKnown(from, gossip.Changed)
	updates := g.view.Merge(gossip.Changed, now)
	g.enqueueChanges(updates, from, gossip.Changed)
	reply := Gossip{}
	if len(gossip.Known) > 0 {
		reply.Changed, reply.Wanted = g.view.Compare(gossip.Known)
	}
	for _, wanted := range gossip.Wanted {
		if held, ok := g.view.records[wanted]; ok {
			reply.Changed = append(reply.Changed, held.member)
		}
	}
	return reply
}

// dropKnown drops queued records that the neighbour just showed to have.
func (g *Gossiper) dropKnown(from ident.Incarnation, shown []Member) {
	neighbour, ok := g.neighbours[from]
	if !ok {
		return
	}
	for _, record := range shown {
		held, known := g.view.records[record.Incarnation]
		if known && held.member.Version() == record.Version() {
			delete(neighbour.pending, record.Incarnation)
		}
	}
}

// enqueueChanges queues news. What the neighbour did not say itself goes back to it too.
func (g *Gossiper) enqueueChanges(updates []Member, from ident.Incarnation, shown []Member) {
	for _, changed := range updates {
		origin := ident.Incarnation("")
		if slices.ContainsFunc(shown, func(m Member) bool { return m.Version() == changed.Version() }) {
			origin = from
		}
		g.Enqueue([]Member{changed}, origin)
	}
}

// Heartbeat compares a neighbour's digest and returns gossip that settles a
// lasting difference, or empty gossip.
func (g *Gossiper) Heartbeat(from ident.Incarnation, digest uint64, now time.Time) Gossip {
	neighbour, ok := g.neighbours[from]
	if !ok {
		return Gossip{}
	}
	if digest == g.view.Digest() {
		neighbour.mismatches = 0
		return Gossip{}
	}
	neighbour.mismatches++
	if neighbour.mismatches < MismatchHeartbeats || now.Sub(neighbour.comparedAt) < CompareInterval {
		return Gossip{}
	}
	neighbour.mismatches = 0
	neighbour.comparedAt = now
	return Gossip{Known: g.view.Versions()}
}

// TakeQueued empties the queues into messages of at most MaxRecords.
func (g *Gossiper) TakeQueued() []AddressedGossip {
	var messages []AddressedGossip
	for to, neighbour := range g.neighbours {
		changed := g.drain(neighbour)
		for chunk := range slices.Chunk(changed, MaxRecords) {
			messages = append(messages, AddressedGossip{To: to, Gossip: Gossip{Changed: chunk}})
		}
	}
	slices.SortStableFunc(messages, func(a, b AddressedGossip) int {
		return compareIncarnations(a.To, b.To)
	})
	return messages
}

func (g *Gossiper) drain(neighbour *neighbourState) []Member {
	changed := make([]Member, 0, len(neighbour.pending))
	for incarnation := range neighbour.pending {
		if held, ok := g.view.records[incarnation]; ok {
			changed = append(changed, held.member)
		}
	}
	clear(neighbour.pending)
	slices.SortFunc(changed, func(a, b Member) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return changed
}

// Versions returns the versions of all records, by incarnation.
func (v *View) Versions() []Version {
	known := make([]Version, 0, len(v.records))
	for _, held := range v.records {
		known = append(known, held.member.Version())
	}
	slices.SortFunc(known, func(a, b Version) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return known
}

// Compare returns the records that are news to a process that knows the given
// versions, and the incarnations of which it knows more.
func (v *View) Compare(known []Version) (updates []Member, wanted []ident.Incarnation) {
	theirs := make(map[ident.Incarnation]Version, len(known))
	for _, version := range known {
		theirs[version.Incarnation] = version
		held, ok := v.records[version.Incarnation]
		if !ok && version.State == Gone {
			continue
		}
		if !ok || version.Newer(held.member.Version()) {
			wanted = append(wanted, version.Incarnation)
		}
	}
	for incarnation, held := range v.records {
		version, ok := theirs[incarnation]
		if !ok && held.member.State == Gone {
			continue
		}
		if !ok || held.member.Version().Newer(version) {
			updates = append(updates, held.member)
		}
	}
	slices.SortFunc(updates, func(a, b Member) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return updates, wanted
}
