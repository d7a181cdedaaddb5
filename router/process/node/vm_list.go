package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// ListGrace is added to the wait and the margin of a watch of the store. A process that
// does not watch the store reads the list of VMs itself if no peer has sent a later version
// for the sum of the three.
const ListGrace = 300 * time.Millisecond

// ReadPolicy decides whether a process reads the platform itself or relies on its
// peers for the list of VMs and the generation. It is safe for concurrent use.
type ReadPolicy struct {
	Clock clock.Clock
	// SilenceTimeout is the time after which the process reads the platform itself if no
	// peer sent a later reading of the list.
	SilenceTimeout time.Duration
	// WatchesStore reports whether the process watches the store itself.
	WatchesStore *atomic.Bool
	// ListVersioned reports whether the platform's list of VMs has versions. Without
	// them peers do not relay the list.
	ListVersioned *atomic.Bool
	// ReceivedAt is the time at which a peer last sent a later reading of the list.
	ReceivedAt *atomic.Pointer[time.Time]
}

// Fresh reports whether a peer sent a later reading of the list within the
// SilenceTimeout. Such a peer, or one that relayed to it, can reach the platform.
func (r ReadPolicy) Fresh() bool {
	receivedAt := r.ReceivedAt.Load()
	return receivedAt != nil && r.Clock.Since(*receivedAt) < r.SilenceTimeout
}

// MustRead reports whether the process must read the platform itself: because it
// watches the store, or because no later reading of the list arrives from the processes
// that do.
func (r ReadPolicy) MustRead() bool {
	return r.WatchesStore.Load() || r.ListVersioned.Load() && !r.Fresh()
}

// VMListRead has the list of VMs that this process read from the platform.
type VMListRead struct {
	List vm.List
	// Recovered reports whether calls to the platform failed before this reading.
	Recovered bool
	// RetainFor is how long VMs that are missing from the list stay in use.
	RetainFor time.Duration
}

// Apply implements control.Message. A list that is older than one received from a peer
// meanwhile is ignored.
func (m VMListRead) Apply(state *State) {
	if m.List.Version < state.vmList.Version {
		return
	}
	state.readings[state.Self]++
	state.applyVMList(m.List, peer.VMList{
		Recovered: m.Recovered,
		RetainFor: m.RetainFor,
		Reader:    state.Self,
		Reading:   state.readings[state.Self],
	})
}

// applyVMList makes the list the current one and relays the changes to peers, with the
// reading from the message. VMs that are missing from the list stay in use for the time in
// the message. If the platform has become available again, the quota manager calls the
// store without back-off.
func (s *State) applyVMList(list vm.List, message peer.VMList) {
	previous := s.vmList
	s.vmList = list
	s.dropReturnedVMs()
	if message.RetainFor > 0 {
		s.retainMissingVMs(previous, message.RetainFor)
	}
	entryVMs := vm.InPool(list.VMs, s.Settings.Fleet.EntryPool)
	message.Delta = vm.Diff(previous, list)
	if message.RetainFor > 0 || len(message.Changed)+len(message.Removed) > 0 {
		s.updateEndpoints()
	}
	if s.Membership.SetVMList(entryVMs, s.Settings.peerAddress) {
		s.membersChanged()
	}
	s.relayVMList(message)
	if message.Recovered {
		s.Quota.HandleStoreRecovery()
		s.applyActions(s.Quota.Tick(s.Clock.Now()))
		s.serveAllWaiters()
	}
}

// relayVMList sends changes of the list to the linked peers of the same availability zone
// in a large fleet, where most of them do not read the list themselves. An empty delta is
// sent too, since it shows them that their list is up to date. A list without versions is
// not relayed.
func (s *State) relayVMList(list peer.VMList) {
	if list.Version == 0 || runningVMs(s.view().Members()) <= SmallFleetSize {
		return
	}
	list.Evacuations = s.heldEvacuations()
	for to := range s.Linked {
		neighbour, known := s.view().Member(to)
		if known && neighbour.Locality == s.view().Self().Locality {
			s.send(to, peer.Message{VMList: &list})
		}
	}
}

// handleVMList applies a delta of a peer or sends the whole list to a peer that
// requested it. If the delta starts at a later version than the current list, the whole
// list is requested from the peer. A later reading of the current version is relayed as
// well: while nobody writes to the platform's store, the version does not grow, and every
// process would read the list itself.
func (s *State) handleVMList(from ident.Incarnation, message peer.VMList) {
	if message.Evacuations != nil {
		s.handleEvacuations(from, *message.Evacuations)
	}
	if message.Wanted {
		current := vm.List{Version: s.vmList.Version, VMs: s.Endpoints.WithColdLeft(s.vmList.VMs, s.Generation.Set.Pools)}
		whole := peer.VMList{Delta: vm.Diff(vm.List{}, current), Evacuations: s.heldEvacuations()}
		s.send(from, peer.Message{VMList: &whole})
		return
	}
	list, changed := s.vmList.Apply(message.Delta)
	switch {
	case changed:
		s.recordReading(message)
		s.applyVMList(list, message)
	case message.Base > s.vmList.Version:
		s.send(from, peer.Message{VMList: &peer.VMList{Wanted: true}})
	case message.Version == s.vmList.Version && message.Reading > s.readings[message.Reader]:
		s.recordReading(message)
		s.relayVMList(message)
	}
}

// recordReading records that a peer sent a later reading of the list.
func (s *State) recordReading(message peer.VMList) {
	now := s.Clock.Now()
	s.ListReceivedAt.Store(&now)
	if message.Reader != "" {
		s.readings[message.Reader] = max(s.readings[message.Reader], message.Reading)
	}
}

// forgetReadings drops the readings of processes that are no longer members.
func (s *State) forgetReadings() {
	maps.DeleteFunc(s.readings, func(reader ident.Incarnation, _ int64) bool {
		_, known := s.view().Member(reader)
		return !known && reader != s.Self
	})
}

// retention has VMs that are missing from the list of VMs and stay in use for a while.
type retention struct {
	vms   []vm.VM
	until time.Time
}

// retainMissingVMs retains the VMs of the previous list that are missing from the current
// one, since their entries can have expired while the platform was unavailable. A VM that
// is retained already keeps its end: another outage must not extend its use. One that had
// announced that it leaves still gets no requests.
func (s *State) retainMissingVMs(previous vm.List, duration time.Duration) {
	if missing := vm.Missing(s.vmList.VMs, previous.VMs); len(missing) > 0 {
		s.retained = append(s.retained, retention{vms: missing, until: s.Clock.Now().Add(duration)})
	}
}

// dropReturnedVMs ends the retention of VMs that are on the list again, so that they are
// removed at once when they leave it.
func (s *State) dropReturnedVMs() {
	for index := range s.retained {
		s.retained[index].vms = vm.Missing(s.vmList.VMs, s.retained[index].vms)
	}
}

// dropRetainedVMs removes the VMs that are still missing from the list at the end of
// the grace period.
func (s *State) dropRetainedVMs(now time.Time) {
	before := len(s.retained)
	s.retained = slices.DeleteFunc(s.retained, func(expiring retention) bool { return !now.Before(expiring.until) })
	if len(s.retained) < before {
		s.updateEndpoints()
	}
}

// updateEndpoints updates the endpoints from the list of VMs and the retained VMs.
func (s *State) updateEndpoints() {
	list := slices.Clone(s.vmList.VMs)
	for _, retained := range s.retained {
		list = append(list, retained.vms...)
	}
	s.Endpoints.Update(list, s.Generation.Set.Pools)
}
