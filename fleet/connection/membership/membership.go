// Package membership connects the membership view of a process to its peer links.
//
// A Manager applies messages and link events of a hub to the view, sends the resulting
// gossip to the neighbours and sets the targets that the hub dials. It runs on the
// control thread and never blocks.
//
// # Usage
//
//	manager := membership.New(self, hub, clock.Now())
//	// On the control thread, for each event of the hub:
//	manager.LinkUp(remote, hello, clock.Now())
//	if !manager.HandleMessage(message, clock.Now()) {
//		// The message is neither gossip nor a heartbeat.
//	}
//	// At least once a second:
//	manager.Tick(clock.Now())
//	// With each new version of the platform's list:
//	manager.SetVMList(list, peerAddress)
package membership

import (
	"slices"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

// SeedCount is the maximum number of VMs of the platform's list that the hub dials without
// a record of the process on them.
const SeedCount = 3

// Hub has the methods of a peer.Hub that a Manager calls. They must not block.
type Hub interface {
	Send(to ident.Incarnation, message peer.Message) error
	SetSelf(self member.Member, digest uint64)
	SetHeartbeat(heartbeat peer.Heartbeat)
	SetTargets(targets []member.Member)
	SetGraph(graph *member.Graph)
}

// Manager maintains the view of one process. It may be used by the control thread only.
type Manager struct {
	view     *member.View
	gossiper *member.Gossiper
	hub      Hub
	// list holds the VMs of the platform's list that run routers.
	list        []vm.VM
	peerAddress func(vm.VM) string
	// targetsDigest is the digest of the view from which the targets were last derived.
	targetsDigest uint64
}

// New returns a manager whose view has only the process itself.
func New(self member.Member, hub Hub, now time.Time) *Manager {
	view := member.NewView(self, now)
	manager := &Manager{view: view, gossiper: member.NewGossiper(view), hub: hub}
	manager.publish()
	return manager
}

// View returns the view. Callers must not change it and must be on the control thread.
func (m *Manager) View() *member.View {
	return m.view
}

// SetState changes the state of the process itself and sends it to the neighbours.
func (m *Manager) SetState(state member.State, now time.Time) {
	m.disseminate([]member.Member{m.view.SetState(state, now)})
}

// SetLoad sets the load of the process itself that the next heartbeats carry.
func (m *Manager) SetLoad(load member.Load) {
	m.view.SetLoad(load)
	m.publish()
}

// SetVMList replaces the platform's list of VMs that run routers, and reports whether it
// has changed. The function returns the peer address of a VM.
func (m *Manager) SetVMList(list []vm.VM, peerAddress func(vm.VM) string) bool {
	if m.peerAddress != nil && slices.Equal(list, m.list) {
		return false
	}
	m.view.SetVMList(list)
	m.list = list
	m.peerAddress = peerAddress
	m.updateTargets()
	return true
}

// HandleMessage applies a heartbeat or gossip to the view and sends the reply, if there is
// one. It reports whether the message was a heartbeat or gossip.
func (m *Manager) HandleMessage(message peer.Message, now time.Time) bool {
	switch {
	case message.Heartbeat != nil:
		m.view.MergeLoad(message.From, message.Heartbeat.Load)
		m.send(message.From, m.gossiper.HandleHeartbeat(message.From, message.Heartbeat.Digest, now))
	case message.Gossip != nil:
		m.send(message.From, m.gossiper.Receive(message.From, *message.Gossip, now))
		m.disseminate(nil)
	default:
		return false
	}
	return true
}

// LinkUp adds a neighbour, merges the record in the hello that it sent on the new link, and
// starts to reconcile the two views.
func (m *Manager) LinkUp(remote ident.Incarnation, hello peer.Hello, now time.Time) {
	m.gossiper.Receive(remote, member.Gossip{Changed: []member.Member{hello.Member}}, now)
	m.view.LinkUp(remote)
	opening := m.gossiper.LinkUp(remote, hello.Digest, now)
	m.send(remote, opening)
	m.disseminate(nil)
}

// LinkDown removes a neighbour. The reason why the link ended determines whether the
// neighbour can become suspected.
func (m *Manager) LinkDown(remote ident.Incarnation, reason peer.Reason, now time.Time) {
	m.gossiper.LinkDown(remote)
	if reason.CausesSuspicion() {
		m.view.LinkDown(remote, now)
		return
	}
	m.view.LinkClosed(remote)
}

// DialFailed marks the process of an unreachable target as suspected and sends the changed
// record to the neighbours.
func (m *Manager) DialFailed(target member.Member, now time.Time) {
	m.disseminate(m.view.Suspect(target.Incarnation, now))
}

// Tick applies the timeouts of failure detection, sends the changed records and updates
// the targets if the view has changed.
func (m *Manager) Tick(now time.Time) {
	m.disseminate(m.view.Tick(now))
	if m.view.Digest() != m.targetsDigest {
		m.updateTargets()
	}
}

// updateTargets derives the targets that the hub dials and the graph by which it relays
// messages from the view.
func (m *Manager) updateTargets() {
	members := m.view.Members()
	self := m.view.Self()
	targets := member.DialTargets(members, self.Incarnation, member.DefaultFanout)
	if m.peerAddress != nil {
		targets = append(targets, member.SeedTargets(members, self, m.list, m.peerAddress, SeedCount)...)
	}
	m.hub.SetTargets(targets)
	m.hub.SetGraph(member.NewGraph(members, member.DefaultFanout))
	m.targetsDigest = m.view.Digest()
}

// disseminate queues the changed records for all neighbours, sends all queued gossip and
// publishes the new digest.
func (m *Manager) disseminate(updates []member.Member) {
	m.gossiper.Enqueue(updates, "")
	for _, out := range m.gossiper.TakeQueued() {
		m.send(out.To, out.Gossip)
	}
	m.publish()
}

// publish sets the content of hellos on new links and of the next heartbeats.
func (m *Manager) publish() {
	self, digest := m.view.Self(), m.view.Digest()
	m.hub.SetSelf(self, digest)
	m.hub.SetHeartbeat(peer.Heartbeat{Digest: digest, Load: self.Load})
}

// send sends gossip unless it is empty. Errors are ignored: a lost message leads to
// differing digests, which heartbeats detect.
func (m *Manager) send(to ident.Incarnation, gossip member.Gossip) {
	if !gossip.Empty() {
		_ = m.hub.Send(to, peer.Message{Gossip: &gossip})
	}
}
