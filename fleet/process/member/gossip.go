package member

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// Limits on the size of gossip messages and on how often views are compared.
const (
	// MaxRecords is the largest number of changed records that TakeQueued puts into
	// one message.
	MaxRecords = 64
	// MismatchHeartbeats is the number of consecutive heartbeats with a digest other
	// than the view's own after which the views are compared.
	MismatchHeartbeats = 5
	// CompareInterval is the minimum time between two comparisons over one link.
	CompareInterval = 30 * time.Second
)

// Gossip is a message with membership records, sent to one neighbour, which is a process
// that the sender has a direct link to.
type Gossip struct {
	// Changed holds records that the receiver may not have.
	Changed []Member `json:"changed,omitempty" cbor:"changed,omitempty"`
	// Versions holds the versions of all records of the sender, or is empty. The
	// receiver replies with the records that are newer in its own view, and requests
	// those that are newer in the sender's.
	Versions []Version `json:"known,omitempty" cbor:"known,omitempty"`
	// Wanted requests the records of these incarnations.
	Wanted []ident.Incarnation `json:"wanted,omitempty" cbor:"wanted,omitempty"`
}

// Empty reports whether the message carries nothing and need not be sent.
func (g Gossip) Empty() bool {
	return len(g.Changed) == 0 && len(g.Versions) == 0 && len(g.Wanted) == 0
}

// AddressedGossip is a gossip message with the neighbour that it is for.
type AddressedGossip struct {
	To     ident.Incarnation
	Gossip Gossip
}

// neighbourState is the gossip state of one link.
type neighbourState struct {
	// pending holds the incarnations whose records are queued for the neighbour.
	pending map[ident.Incarnation]struct{}
	// mismatches counts consecutive heartbeats with a differing digest.
	mismatches int
	// comparedAt is when this process last sent its versions to the neighbour, or zero.
	comparedAt time.Time
}

// Gossiper spreads changed records of a view to the neighbours. A record that
// changes several times before it is sent over a link is sent once. Only the
// goroutine that owns the view may use it.
type Gossiper struct {
	view       *View
	neighbours map[ident.Incarnation]*neighbourState
}

// NewGossiper returns a gossiper for the view, without neighbours.
func NewGossiper(view *View) *Gossiper {
	return &Gossiper{view: view, neighbours: make(map[ident.Incarnation]*neighbourState)}
}

// LinkUp adds a neighbour whose view has the given digest and returns the first
// gossip to send to it, which can be empty. The versions of one end are enough to
// reconcile the two views, so only the end with the smaller incarnation sends them.
func (g *Gossiper) LinkUp(to ident.Incarnation, digest uint64, now time.Time) Gossip {
	added := &neighbourState{pending: make(map[ident.Incarnation]struct{})}
	g.neighbours[to] = added
	if digest == g.view.Digest() || g.view.self > to {
		return Gossip{}
	}
	added.comparedAt = now
	return Gossip{Versions: g.view.Versions()}
}

// LinkDown removes a neighbour.
func (g *Gossiper) LinkDown(to ident.Incarnation) {
	delete(g.neighbours, to)
}

// Enqueue queues the changed records for every neighbour except from, which sent them.
// An empty from excludes no neighbour.
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

// Receive merges a neighbour's gossip into the view, queues the records that changed and
// returns the reply, which can be empty. A changed record is queued for every neighbour
// except the one that sent the same version.
func (g *Gossiper) Receive(from ident.Incarnation, gossip Gossip, now time.Time) Gossip {
	g.dequeueReceived(from, gossip.Changed)
	updates := g.view.Merge(gossip.Changed, now)
	g.enqueueChanges(updates, from, gossip.Changed)
	reply := Gossip{}
	if len(gossip.Versions) > 0 {
		reply.Changed, reply.Wanted = g.view.Compare(gossip.Versions)
	}
	for _, wanted := range gossip.Wanted {
		if rec, ok := g.view.records[wanted]; ok {
			reply.Changed = append(reply.Changed, rec.member)
		}
	}
	return reply
}

// dequeueReceived removes records from the neighbour's queue that the neighbour has just
// sent in the version that the view holds.
func (g *Gossiper) dequeueReceived(from ident.Incarnation, received []Member) {
	neighbour, ok := g.neighbours[from]
	if !ok {
		return
	}
	for _, incoming := range received {
		rec, held := g.view.records[incoming.Incarnation]
		if held && rec.member.Version() == incoming.Version() {
			delete(neighbour.pending, incoming.Incarnation)
		}
	}
}

// enqueueChanges queues the records that changed because of a neighbour's gossip. A record
// in a version that the neighbour did not send, such as a refutation, is queued for that
// neighbour too.
func (g *Gossiper) enqueueChanges(updates []Member, from ident.Incarnation, received []Member) {
	for _, changed := range updates {
		origin := ident.Incarnation("")
		if slices.ContainsFunc(received, func(m Member) bool { return m.Version() == changed.Version() }) {
			origin = from
		}
		g.Enqueue([]Member{changed}, origin)
	}
}

// HandleHeartbeat compares the digest in a neighbour's heartbeat with that of the view. If
// they have differed for MismatchHeartbeats consecutive heartbeats, it returns gossip with
// the view's versions to reconcile the two views, at most once per CompareInterval.
// Otherwise the gossip is empty.
func (g *Gossiper) HandleHeartbeat(from ident.Incarnation, digest uint64, now time.Time) Gossip {
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
	return Gossip{Versions: g.view.Versions()}
}

// TakeQueued empties the queues and returns their records as messages of at most
// MaxRecords records, sorted by receiver.
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

// drain empties a neighbour's queue and returns the current records of the queued
// incarnations, sorted by incarnation.
func (g *Gossiper) drain(neighbour *neighbourState) []Member {
	changed := make([]Member, 0, len(neighbour.pending))
	for incarnation := range neighbour.pending {
		if rec, ok := g.view.records[incarnation]; ok {
			changed = append(changed, rec.member)
		}
	}
	clear(neighbour.pending)
	slices.SortFunc(changed, func(a, b Member) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return changed
}

// Versions returns the versions of all records, sorted by incarnation.
func (v *View) Versions() []Version {
	versions := make([]Version, 0, len(v.records))
	for _, rec := range v.records {
		versions = append(versions, rec.member.Version())
	}
	slices.SortFunc(versions, func(a, b Version) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return versions
}

// Compare returns the records that are newer in this view than in one with the given
// versions, and the incarnations whose records are newer in the other. Records of gone
// processes are sent only to a view that still holds a record of the same incarnation.
func (v *View) Compare(versions []Version) (updates []Member, wanted []ident.Incarnation) {
	theirs := make(map[ident.Incarnation]Version, len(versions))
	for _, version := range versions {
		theirs[version.Incarnation] = version
		rec, ok := v.records[version.Incarnation]
		if !ok && version.State == Gone {
			continue
		}
		if !ok || version.Newer(rec.member.Version()) {
			wanted = append(wanted, version.Incarnation)
		}
	}
	for incarnation, rec := range v.records {
		version, ok := theirs[incarnation]
		if !ok && rec.member.State == Gone {
			continue
		}
		if !ok || rec.member.Version().Newer(version) {
			updates = append(updates, rec.member)
		}
	}
	slices.SortFunc(updates, func(a, b Member) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return updates, wanted
}
