package node

import (
	"slices"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// ListGrace is how much longer than a watch and its margin a process waits for the
// list from a peer before it reads the list itself.
const ListGrace = 300 * time.Millisecond

// ReadPolicy tells whether peers keep a process informed of what it does not watch.
// Watches says that it watches itself, Versions that the platform's list has versions,
// without which peers pass nothing on, and Heard when one last sent news of it.
type ReadPolicy struct {
	Clock          clock.Clock
	SilenceTimeout time.Duration
	WatchesStore   *atomic.Bool
	ListVersioned  *atomic.Bool
	ReceivedAt     *atomic.Pointer[time.Time]
}

// Fresh reports whether peers that can reach the platform sent news lately.
func (r ReadPolicy) Fresh() bool {
	receivedAt := r.ReceivedAt.Load()
	return receivedAt != nil && r.Clock.Since(*receivedAt) < r.SilenceTimeout
}

// MustRead reports whether the process has to read the platform for itself: since it is
// one of those that watch, or since these cannot be heard.
func (r ReadPolicy) MustRead() bool {
	return r.WatchesStore.Load() || r.ListVersioned.Load() && !r.Fresh()
}

// VMListRead is the platform's list of VMs, read by this process. Back says that the
// platform was away before.
type VMListRead struct {
	List      vm.List
	Recovered bool
}

// Apply implements control.Message. A reading that is older than what a peer sent
// meanwhile changes nothing.
func (m VMListRead) Apply(state *State) {
	if m.List.Version < state.vmList.Version {
		return
	}
	state.applyVMList(m.List, m.Recovered)
}

// applyVMList applies a list and passes it on.
func (s *State) applyVMList(list vm.List, recovered bool) {
	previous := s.vmList
	if recovered {
		s.retainedVMs = vm.Missing(list.VMs, previous.VMs)
		s.retainUntil = s.Clock.Now().Add(s.Settings.Platform.ReturnGrace)
	}
	s.vmList = list
	entries := vm.InPool(list.VMs, s.Settings.Fleet.EntryPool)
	s.Membership.SetVMList(entries, s.Settings.peerAddress)
	s.updateEndpoints()
	s.membersChanged()
	s.relayVMList(peer.List{Delta: vm.Diff(previous, list), Recovered: recovered})
	if recovered {
		s.Quota.HandleStoreRecovery()
		s.applyActions(s.Quota.Tick(s.Clock.Now()))
		s.serveAllWaiters()
	}
}

// relayVMList tells the neighbours of the availability zone what changed. In a large
// fleet most of them do not read the list themselves, and a list without changes
// tells them that theirs is fresh.
func (s *State) relayVMList(list peer.List) {
	if list.Version == 0 || runningVMs(s.view().Members()) <= SmallFleetSize {
		return
	}
	for to := range s.Linked {
		neighbour, known := s.view().Member(to)
		if known && neighbour.Locality == s.view().Self().Locality {
			s.send(to, peer.Message{List: &list})
		}
	}
}

// handlePeerList takes a peer's word on the list. Where changes before it are missing,
// the whole list is asked for.
func (s *State) handlePeerList(from ident.Incarnation, message peer.List) {
	if message.Wanted {
		whole := peer.List{Delta: vm.Diff(vm.List{}, s.vmList)}
		s.send(from, peer.Message{List: &whole})
		return
	}
	list, changed := s.vmList.Apply(message.Delta)
	switch {
	case changed:
		now := s.Clock.Now()
		s.ListReceivedAt.Store(&now)
		s.applyVMList(list, message.Recovered)
	case message.Base > s.vmList.Version:
		s.send(from, peer.Message{List: &peer.List{Wanted: true}})
	}
}

// updateEndpoints rebuilds the endpoints from the list. VMs that were missing when
// the platform came back stay in use for a grace, since their entries can have
// lapsed meanwhile. One that leaves the list later is gone at once.
func (s *State) updateEndpoints() {
	list := append(slices.Clone(s.vmList.VMs), vm.Missing(s.vmList.VMs, s.retainedVMs)...)
	s.Endpoints.Update(list, s.Generation.Set.Pools)
}

// dropRetainedVMs ends the grace of VMs that did not come back.
func (s *State) dropRetainedVMs(now time.Time) {
	if len(s.retainedVMs) > 0 && !now.Before(s.retainUntil) {
		s.retainedVMs = nil
		s.updateEndpoints()
	}
}
