// Package membership keeps the view of the fleet and the links to it in step.
//
// It turns what a hub hears into changes of the view, passes news on, and tells
// the hub whom to dial. It runs on the control thread and does no waiting.
//
// # Usage
//
//	keeper := membership.New(self, hub, clock.Now())
//	// On the control thread, for each event of the hub:
//	keeper.LinkUp(remote, hello, clock.Now())
//	if !keeper.Message(message, clock.Now()) {
//		// The message is not about membership.
//	}
//	// Once or more a second, and on each reading of the platform's list:
//	keeper.Tick(clock.Now())
//	keeper.SetPlatform(list, peerAddress)
package membership

import (
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

// SeedCount is how many VMs of the platform's list are dialled without knowing
// their processes.
const SeedCount = 3

// Hub is the part of a hub that membership steers.
type Hub interface {
	Send(to ident.Incarnation, message peer.Message) error
	SetSelf(self member.Member, digest uint64)
	SetHeartbeat(heartbeat peer.Heartbeat)
	SetTargets(targets []member.Member)
	SetGraph(graph *member.Graph)
}

// Manager holds the view of one process. It belongs to the control thread.
type Manager struct {
	view          *member.View
	gossiper      *member.Gossiper
	hub           Hub
	list          []vm.VM
	peerAddress   func(vm.VM) string
	targetsDigest uint64
}

// New returns a keeper that knows only its own process.
func New(self member.Member, hub Hub, now time.Time) *Manager {
	view := member.NewView(self, now)
	manager := &Manager{view: view, gossiper: member.NewGossiper(view), hub: hub}
	manager.publish()
	return manager
}

// View returns the view, for reading on the control thread.
func (m *Manager) View() *member.View {
	return m.view
}

// SetState announces a new state of the process itself.
func (m *Manager) SetState(state member.State, now time.Time) {
	m.disseminate([]member.Member{m.view.SetState(state, now)})
}

// SetLoad notes the load that the next heartbeats carry.
func (m *Manager) SetLoad(load member.Load) {
	m.view.SetLoad(load)
	m.publish()
}

// SetVMList takes the platform's list and how the peer address of a VM reads.
func (m *Manager) SetVMList(list []vm.VM, peerAddress func(vm.VM) string) {
	m.view.SetVMList(list)
	m.list = list
	m.peerAddress = peerAddress
	m.updateTargets()
}

// HandleMessage takes a message about membership, and reports whether it was one.
func (m *Manager) HandleMessage(message peer.Message, now time.Time) bool {
	switch {
	case message.Heartbeat != nil:
		m.view.MergeLoad(message.From, message.Heartbeat.Load)
		m.send(message.From, m.gossiper.Heartbeat(message.From, message.Heartbeat.Digest, now))
	case message.Gossip != nil:
		m.send(message.From, m.gossiper.Receive(message.From, *message.Gossip, now))
		m.disseminate(nil)
	default:
		return false
	}
	return true
}

// LinkUp notes a new link.
func (m *Manager) LinkUp(remote ident.Incarnation, hello peer.Hello, now time.Time) {
	m.gossiper.Receive(remote, member.Gossip{Changed: []member.Member{hello.Member}}, now)
	m.view.LinkUp(remote)
	opening := m.gossiper.LinkUp(remote, hello.Digest, now)
	m.send(remote, opening)
	m.disseminate(nil)
}

// LinkDown notes a lost link.
func (m *Manager) LinkDown(remote ident.Incarnation, reason peer.Reason, now time.Time) {
	m.gossiper.LinkDown(remote)
	if reason.Suspicious() {
		m.view.LinkDown(remote, now)
		return
	}
	m.view.LinkClosed(remote)
}

// DialFailed notes that a target could not be reached.
func (m *Manager) DialFailed(target member.Member, now time.Time) {
	m.disseminate(m.view.Suspect(target.Incarnation, now))
}

// Tick applies the passing of time and lays out the links of a changed view.
func (m *Manager) Tick(now time.Time) {
	m.disseminate(m.view.Tick(now))
	if m.view.Digest() != m.targetsDigest {
		m.updateTargets()
	}
}

// updateTargets tells the hub whom to dial and how to relay.
func (m *Manager) updateTargets() {
	members := m.view.Members()
	self := m.view.Self()
	targets := member.DialTargets(members, self.Incarnation, member.DefaultFanout)
	if m.peerAddress != nil {
		targets = append(targets, member.Seeds(members, self, m.list, m.peerAddress, SeedCount)...)
	}
	m.hub.SetTargets(targets)
	m.hub.SetGraph(member.NewGraph(members, member.DefaultFanout))
	m.targetsDigest = m.view.Digest()
}

// disseminate queues news and sends all that is queued.
func (m *Manager) disseminate(updates []member.Member) {
	m.gossiper.Enqueue(updates, "")
	for _, out := range m.gossiper.TakeQueued() {
		m.send(out.To, out.Gossip)
	}
	m.publish()
}

// publish sets what new links and the next heartbeats say.
func (m *Manager) publish() {
	self, digest := m.view.Self(), m.view.Digest()
	m.hub.SetSelf(self, digest)
	m.hub.SetHeartbeat(peer.Heartbeat{Digest: digest, Load: self.Load})
}

// send passes gossip on. What is lost shows as a difference of digests.
func (m *Manager) send(to ident.Incarnation, gossip member.Gossip) {
	if !gossip.Empty() {
		_ = m.hub.Send(to, peer.Message{Gossip: &gossip})
	}
}
