package node

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// GenerationReceived is a generation read from the store or sent by a peer.
type GenerationReceived struct {
	Generation generation.Generation
}

// Apply implements control.Message. A generation that is not newer changes
// nothing.
func (m GenerationReceived) Apply(state *State) {
	if !generation.Newer(state.Generation, m.Generation) {
		return
	}
	state.Generation = m.Generation
	state.ActiveSnapshot.Store(snapshot.New(m.Generation.Number, m.Generation.Set))
	for budget := range state.Quota.Allocations {
		state.Quota.SetPurchased(budget, state.purchased(budget))
	}
	state.endpointsChanged()
	state.announceAll()
	state.Log.Emit(event.GenerationActivated, event.Number("generation", m.Generation.Number),
		event.Text("digest", m.Generation.Digest))
}

// announce tells a peer which generation is in force here.
func (s *State) announce(to ident.Incarnation) {
	if s.Generation.Number == 0 {
		return
	}
	s.send(to, peer.Message{Generation: &peer.Generation{Number: s.Generation.Number}})
}

func (s *State) announceAll() {
	for to := range s.Linked {
		s.announce(to)
	}
}

// generation answers a peer's word on generations: an older one gets ours, a
// newer one is asked for, and a whole one is taken.
func (s *State) generation(from ident.Incarnation, message peer.Generation) {
	switch {
	case len(message.Content) > 0:
		decoded, err := generation.Decode(message.Content)
		if err != nil {
			s.Log.Emit(event.GenerationFailed, event.Text("peer", from), event.Cause(err))
			return
		}
		GenerationReceived{Generation: decoded}.Apply(s)
	case message.Wanted && s.Generation.Number >= message.Number:
		s.sendGeneration(from)
	case message.Number > s.Generation.Number:
		s.offered(from, message.Number)
	case message.Number < s.Generation.Number:
		s.announce(from)
	}
}

// offers are the peers that have a generation which this process lacks. The one
// that was asked last stands last.
type offers struct {
	number int64
	peers  []ident.Incarnation
	asked  time.Time
}

// offered notes that a peer has a newer generation. One peer is asked at a time,
// since a generation can be large.
func (s *State) offered(from ident.Incarnation, number int64) {
	if number > s.offers.number {
		s.offers = offers{number: number}
	}
	if number == s.offers.number && !slices.Contains(s.offers.peers, from) {
		s.offers.peers = append([]ident.Incarnation{from}, s.offers.peers...)
	}
	s.askOffered()
}

// askOffered asks the next peer for the newest generation, unless the one that
// was asked may still answer.
func (s *State) askOffered() {
	now := s.Clock.Now()
	lacks := s.offers.number > s.Generation.Number && len(s.offers.peers) > 0
	if !lacks || now.Sub(s.offers.asked) < OfferTimeout {
		return
	}
	next := s.offers.peers[0]
	s.offers.peers = append(s.offers.peers[1:], next)
	s.offers.asked = now
	s.send(next, peer.Message{Generation: &peer.Generation{Number: s.offers.number, Wanted: true}})
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
