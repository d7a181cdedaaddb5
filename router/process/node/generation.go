package node

import (
	"cmp"
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

// announcedGeneration is the newest generation that peers have announced.
type announcedGeneration struct {
	number int64
	// peers have the generation. The one that it was last requested from is last.
	peers       []ident.Incarnation
	requestedAt time.Time
}

// addAnnouncement records that a peer has a newer generation. It is requested from one
// peer at a time, since a generation can be large.
func (s *State) addAnnouncement(from ident.Incarnation, number int64) {
	if number > s.announced.number {
		s.announced = announcedGeneration{number: number}
	}
	if number == s.announced.number && !slices.Contains(s.announced.peers, from) {
		s.announced.peers = append([]ident.Incarnation{from}, s.announced.peers...)
	}
	s.requestGeneration()
}

// requestGeneration requests the newest announced generation from the next peer, unless
// the GenerationRequestTimeout of the previous request has not passed.
func (s *State) requestGeneration() {
	now := s.Clock.Now()
	outdated := s.announced.number > s.Generation.Number && len(s.announced.peers) > 0
	if !outdated || now.Sub(s.announced.requestedAt) < GenerationRequestTimeout {
		return
	}
	next := s.announced.peers[0]
	s.announced.peers = append(s.announced.peers[1:], next)
	s.announced.requestedAt = now
	s.send(next, peer.Message{Generation: &peer.Generation{Number: s.announced.number, Wanted: true}})
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
