// Package member is what one process knows of the other processes of the fleet.
//
// Each process announces itself in a record that it alone may raise. Records
// spread by gossip. As in SWIM, any process may mark a record suspected, and the
// process that it names refutes that with a higher sequence. A gone record is
// final. The view only guides whom to dial and where to send callers: no budget
// depends on it.
//
// Nothing here reads a clock, a socket or a codec. A View belongs to the control
// thread; Member, Gossip and Graph values may be passed to others.
//
// # Usage
//
//	view := member.NewView(self, clock.Now())
//	gossiper := member.NewGossiper(view)
//	reply := gossiper.Receive(from, gossip, clock.Now())
//	targets := member.DialTargets(view.Members(), self.Incarnation, member.DefaultFanout)
package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// State tells whether a process takes work.
type State string

// States of a member.
const (
	// Live takes new work.
	Live State = "live"
	// Draining finishes its work and takes no more.
	Draining State = "draining"
	// Suspected has lost a link and has not been heard of since.
	Suspected State = "suspected"
	// Gone has ended. It never comes back.
	Gone State = "gone"
)

// Load is what a process reports of its own traffic. It has a sequence of its
// own, because it changes far more often than the rest of the record.
type Load struct {
	Sequence          int64   `json:"sequence" cbor:"sequence"`
	InFlight          int64   `json:"in_flight" cbor:"in_flight"`
	RequestsPerSecond float64 `json:"requests_per_second" cbor:"requests_per_second"`
}

// Member is the record of one process. Address is an IP number; the other
// addresses are an IP number and a port. Power is what the VM's processor can do,
// in cores.
type Member struct {
	Incarnation      ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	VM               string            `json:"vm" cbor:"vm"`
	Address          string            `json:"address" cbor:"address"`
	PeerAddress      string            `json:"peer_address" cbor:"peer_address"`
	CallerAddress    string            `json:"caller_address" cbor:"caller_address"`
	OperatorsAddress string            `json:"operators_address" cbor:"operators_address"`
	vm.Locality
	Power    float64   `json:"power" cbor:"power"`
	State    State     `json:"state" cbor:"state"`
	Started  time.Time `json:"started" cbor:"started"`
	Sequence int64     `json:"sequence" cbor:"sequence"`
	Load     Load      `json:"load" cbor:"load"`
}

// Version names one state of one record.
type Version struct {
	Incarnation ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	Sequence    int64             `json:"sequence" cbor:"sequence"`
	State       State             `json:"state" cbor:"state"`
}

// Version returns the version of the record.
func (m Member) Version() Version {
	return Version{Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State}
}

// Newer reports whether this version replaces the other of the same incarnation.
func (v Version) Newer(other Version) bool {
	switch {
	case other.State == Gone:
		return false
	case v.State == Gone:
		return true
	case v.Sequence != other.Sequence:
		return v.Sequence > other.Sequence
	default:
		return v.State == Suspected && other.State != Suspected
	}
}

func (v Version) hash() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(v.Incarnation))
	_, _ = digest.WriteString(string(v.State))
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(v.Sequence)))
	return digest.Sum64()
}

// startedBefore orders two processes at one address.
func startedBefore(a, b Member) bool {
	if a.Started.Equal(b.Started) {
		return a.Incarnation < b.Incarnation
	}
	return a.Started.Before(b.Started)
}
