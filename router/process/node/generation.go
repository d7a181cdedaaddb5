package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// GenerationReceived has a generation that was read from the store or sent by a peer.
type GenerationReceived struct {
	Generation generation.Generation
	// Peer is the sender, or empty if this process read the store.
	Peer ident.Incarnation
}

// Apply implements control.Message. A generation that is not newer than the active one
// is ignored.
func (m GenerationReceived) Apply(state *State) {
	if !generation.Newer(state.Generation, m.Generation) {
		logSkippedGeneration(state.Log, m.Generation.Number, state.Generation.Number, m.Peer)
		return
	}
	state.Generation = m.Generation
	state.ActiveNumber.Store(m.Generation.Number)
	state.dropAnnouncements()
	state.activateGeneration()
	state.updateEndpoints()
	state.announceGenerationToAll()
	state.Log.Emit(event.GenerationActivated, event.Int("generation", m.Generation.Number),
		event.String("digest", m.Generation.Digest), generationSource(m.Peer))
}

// logSkippedGeneration logs that a generation was offered that is older than the active one.
func logSkippedGeneration(log *event.Log, offered, active int64, peer ident.Incarnation) {
	if offered < active {
		log.Emit(event.GenerationSkipped, event.Int("generation", offered), event.Int("active", active), generationSource(peer))
	}
}

// generationSource returns the field with the peer that sent a generation, or "store" if
// this process read it itself.
func generationSource(peer ident.Incarnation) event.Field {
	return event.String("source", cmp.Or(string(peer), "store"))
}

// maxConflictLines bounds the log lines about conflicts of homes in one generation.
const maxConflictLines = 16

func (s *State) logHomeConflicts(active *snapshot.Snapshot) {
	conflicts := active.HomeConflicts()
	for _, conflict := range conflicts[:min(maxConflictLines, len(conflicts))] {
		s.Log.Emit(event.HomesDisjoint, event.Int("generation", active.Generation), event.String("object", conflict.Kind),
			event.String("name", conflict.Name), event.String("team", conflict.Team), event.Int("teams", conflict.Teams))
	}
}

// activateGeneration makes the generation available to requests, unless there is no reading
// of the evacuated zones yet: until then the process refuses requests as it does without a
// configuration.
func (s *State) activateGeneration() {
	if s.Generation.Number == 0 || !s.evacuationsKnown() {
		return
	}
	active := snapshot.New(s.Generation.Number, s.Generation.Set)
	s.ActiveSnapshot.Store(active)
	s.logHomeConflicts(active)
	for budget := range s.Quota.Allocations {
		s.Quota.SetPurchased(budget, s.purchased(budget))
	}
}

// announceGeneration sends the number of the active generation to a peer.
func (s *State) announceGeneration(to ident.Incarnation) {
	if s.Generation.Number == 0 {
		return
	}
	s.send(to, peer.Message{Generation: &peer.Generation{Number: s.Generation.Number}})
}

func (s *State) announceGenerationToAll() {
	for to := range s.Linked {
		s.announceGeneration(to)
	}
}

// handleGeneration handles a message of a peer about generations. Content is applied
// and a request is served. If the peer announces a newer generation, it is requested;
// if it announces an older one, the active one is announced to the peer.
func (s *State) handleGeneration(from ident.Incarnation, message peer.Generation) {
	switch {
	case len(message.Content) > 0:
		decoded, err := generation.Decode(message.Content)
		if err != nil {
			s.Log.Emit(event.GenerationFailed, event.String("peer", from), event.Cause(err))
			return
		}
		GenerationReceived{Generation: decoded, Peer: from}.Apply(s)
	case message.Wanted && s.Generation.Number >= message.Number:
		s.sendGeneration(from)
	case message.Number > s.Generation.Number:
		s.addAnnouncement(from, message.Number)
	case message.Number < s.Generation.Number:
		s.announceGeneration(from)
	}
}

// announcements has the generations that linked peers have announced and that are newer
// than the active one.
type announcements struct {
	byPeer map[ident.Incarnation]announcement
	// requested is the highest number that was requested, and requestedAt the time of the
	// last request.
	requested   int64
	requestedAt time.Time
}

// announcement is the newest generation that one peer has announced.
type announcement struct {
	number      int64
	announcedAt time.Time
	// requestedAt is the time of the last request to the peer, or zero.
	requestedAt time.Time
}

// next returns the peer to request a generation from: the one whose last request is the
// longest ago, since a peer may have failed after its announcement, then the one with the
// highest number.
func (a *announcements) next() (ident.Incarnation, bool) {
	peers := slices.Sorted(maps.Keys(a.byPeer))
	if len(peers) == 0 {
		return "", false
	}
	return slices.MinFunc(peers, func(x, y ident.Incarnation) int {
		first, second := a.byPeer[x], a.byPeer[y]
		return cmp.Or(first.requestedAt.Compare(second.requestedAt), cmp.Compare(second.number, first.number),
			second.announcedAt.Compare(first.announcedAt))
	}), true
}

// addAnnouncement records that a peer has a newer generation. It is requested from one
// peer at a time, since a generation can be large, and at once if none as new was requested.
func (s *State) addAnnouncement(from ident.Incarnation, number int64) {
	announced := s.announced.byPeer[from]
	if number > announced.number {
		announced = announcement{number: number, announcedAt: s.Clock.Now(), requestedAt: announced.requestedAt}
		s.announced.byPeer[from] = announced
	}
	if number > s.announced.requested {
		s.requestGenerationFrom(from)
	}
}

// requestGeneration requests a newer generation from the next peer that announced one, unless
// the GenerationRequestTimeout of the previous request has not passed.
func (s *State) requestGeneration() {
	if s.Clock.Now().Sub(s.announced.requestedAt) < GenerationRequestTimeout {
		return
	}
	if next, ok := s.announced.next(); ok {
		s.requestGenerationFrom(next)
	}
}

func (s *State) requestGenerationFrom(peerID ident.Incarnation) {
	now := s.Clock.Now()
	announced := s.announced.byPeer[peerID]
	announced.requestedAt = now
	s.announced.byPeer[peerID] = announced
	s.announced.requested = max(s.announced.requested, announced.number)
	s.announced.requestedAt = now
	s.send(peerID, peer.Message{Generation: &peer.Generation{Number: announced.number, Wanted: true}})
}

// dropAnnouncements drops the announcements that are not newer than the active generation.
func (s *State) dropAnnouncements() {
	maps.DeleteFunc(s.announced.byPeer, func(_ ident.Incarnation, known announcement) bool {
		return known.number <= s.Generation.Number
	})
}

func (s *State) sendGeneration(to ident.Incarnation) {
	content, err := generation.Encode(s.Generation)
	if err != nil {
		s.Log.Emit(event.GenerationFailed, event.Cause(err))
		return
	}
	body := peer.Generation{Number: s.Generation.Number, Content: content}
	s.send(to, peer.Message{Generation: &body})
}
