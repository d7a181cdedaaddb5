// Package member implements fleet membership: the view that one process has of the
// others, the gossip that spreads it, failure detection and the link topology.
//
// Each process announces itself in a record whose sequence only it may increase.
// Records spread by gossip. As in the SWIM protocol, any process may mark a record
// suspected, and the process that the record names refutes that with a higher sequence.
// The state gone is final. A view can be outdated or wrong. It decides which processes to
// dial, which routers callers are sent to and when to recover what a gone process held,
// but no budget depends on it being right.
//
// The package does no I/O and reads no clock: callers pass the current time and decoded
// messages. A View and its Gossiper may be used by the control thread only; Member,
// Gossip and Graph values may be passed to other goroutines.
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

// State is the state of a process in a membership view.
type State string

// States of a member.
const (
	// Live members accept new requests.
	Live State = "live"
	// Draining members finish their requests and accept no new ones.
	Draining State = "draining"
	// Suspected members may have failed: a link to them was lost, a dial failed or a
	// successor runs at their peer address, and they have not refuted the suspicion.
	Suspected State = "suspected"
	// Gone members are considered terminated: they stayed suspected, and a successor runs
	// at their peer address or their VM is missing from the platform's list. An
	// incarnation never leaves this state.
	Gone State = "gone"
)

// Load is the traffic that a process reports about itself. It has a sequence of its
// own, because it changes far more often than the rest of the record.
type Load struct {
	Sequence int64 `json:"sequence" cbor:"sequence"`
	// InFlight is the number of requests in progress.
	InFlight          int64   `json:"in_flight" cbor:"in_flight"`
	RequestsPerSecond float64 `json:"requests_per_second" cbor:"requests_per_second"`
}

// Member is the record of one process.
type Member struct {
	Incarnation ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	// VM is the name of the VM in the platform's list.
	VM string `json:"vm" cbor:"vm"`
	// Address is an IP address without a port.
	Address string `json:"address" cbor:"address"`
	// PeerAddress is the IP address and port for links from other routers.
	PeerAddress string `json:"peer_address" cbor:"peer_address"`
	// CallerAddress is the IP address and port for requests of callers.
	CallerAddress string `json:"caller_address" cbor:"caller_address"`
	// OperatorsAddress is the IP address and port for requests of operators.
	OperatorsAddress string `json:"operators_address" cbor:"operators_address"`
	vm.Locality
	// Power is the processing power of the VM, in cores.
	Power float64 `json:"power" cbor:"power"`
	State State   `json:"state" cbor:"state"`
	// Started is the start time of the process. It orders two processes at the same
	// peer address: the later one supersedes the earlier one. A process moves its own
	// start time forward if a predecessor's clock ran ahead.
	Started time.Time `json:"started" cbor:"started"`
	// Sequence is increased by the process itself with each change of its record.
	Sequence int64 `json:"sequence" cbor:"sequence"`
	Load     Load  `json:"load" cbor:"load"`
	// StateSince is when the process that holds the view learnt of the state. It is set in
	// the members that a View returns and is not exchanged.
	StateSince time.Time `json:"state_since" cbor:"-"`
}

// Version identifies one version of a record, without its content.
type Version struct {
	Incarnation ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	Sequence    int64             `json:"sequence" cbor:"sequence"`
	State       State             `json:"state" cbor:"state"`
}

// Version returns the version of the record.
func (m Member) Version() Version {
	return Version{Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State}
}

// Newer reports whether this version replaces the other of the same incarnation. The
// state gone replaces any other, then the higher sequence wins, then a suspicion of the
// same sequence.
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
	var hasher xxhash.Digest
	hasher.Reset()
	_, _ = hasher.WriteString(string(v.Incarnation))
	_, _ = hasher.WriteString(string(v.State))
	_, _ = hasher.Write(binary.BigEndian.AppendUint64(nil, uint64(v.Sequence)))
	return hasher.Sum64()
}

// startedBefore orders two processes at the same peer address by start time, then by
// incarnation.
func startedBefore(a, b Member) bool {
	if a.Started.Equal(b.Started) {
		return a.Incarnation < b.Incarnation
	}
	return a.Started.Before(b.Started)
}
