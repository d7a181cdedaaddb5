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
	view     *member.View
	spreader *member.Gossiper
	links    Hub
	list     []vm.VM
	address  func(vm.VM) string
	laidOut  uint64
}

// New returns a keeper that knows only its own process.
func New(self member.Member, links Hub, now time.Time) *Manager {
	view := member.NewView(self, now)
	made := &Manager{view: view, spreader: member.NewGossiper(view), links: links}
	made.publish()
	return made
}

// View returns the view, for reading on the control thread.
func (k *Manager) View() *member.View {
	return k.view
}

// SetState announces a new state of the process itself.
func (k *Manager) SetState(state member.State, now time.Time) {
	k.spread([]member.Member{k.view.SetState(state, now)})
}

// SetLoad notes the load that the next heartbeats carry.
func (k *Manager) SetLoad(load member.Load) {
	k.view.SetLoad(load)
	k.publish()
}

// SetVMList takes the platform's list and how the peer address of a VM reads.
func (k *Manager) SetVMList(list []vm.VM, address func(vm.VM) string) {
	k.view.SetVMList(list)
	k.list = list
	k.address = address
	k.layOut()
}

// HandleMessage takes a message about membership, and reports whether it was one.
func (k *Manager) HandleMessage(message peer.Message, now time.Time) bool {
	switch {
	case message.Heartbeat != nil:
		k.view.MergeLoad(message.From, message.Heartbeat.Load)
		k.send(message.From, k.spreader.Heartbeat(message.From, message.Heartbeat.Digest, now))
	case message.Gossip != nil:
		k.send(message.From, k.spreader.Receive(message.From, *message.Gossip, now))
		k.spread(nil)
	default:
		return false
	}
	return true
}

// LinkUp notes a new link.
func (k *Manager) LinkUp(remote ident.Incarnation, hello peer.Hello, now time.Time) {
	k.spreader.Receive(remote, member.Gossip{Changed: []member.Member{hello.Member}}, now)
	k.view.LinkUp(remote)
	opening := k.spreader.LinkUp(remote, hello.Digest, now)
	k.send(remote, opening)
	k.spread(nil)
}

// LinkDown notes a lost link.
func (k *Manager) LinkDown(remote ident.Incarnation, reason peer.Reason, now time.Time) {
	k.spreader.LinkDown(remote)
	if reason.Suspicious() {
		k.view.LinkDown(remote, now)
		return
	}
	k.view.LinkClosed(remote)
}

// DialFailed notes that a target could not be reached.
func (k *Manager) DialFailed(target member.Member, now time.Time) {
	k.spread(k.view.Suspect(target.Incarnation, now))
}

// Tick applies the passing of time and lays out the links of a changed view.
func (k *Manager) Tick(now time.Time) {
	k.spread(k.view.Tick(now))
	if k.view.Digest() != k.laidOut {
		k.layOut()
	}
}

// layOut tells the hub whom to dial and how to relay.
func (k *Manager) layOut() {
	members := k.view.Members()
	self := k.view.Self()
	targets := member.DialTargets(members, self.Incarnation, member.DefaultFanout)
	if k.address != nil {
		targets = append(targets, member.Seeds(members, self, k.list, k.address, SeedCount)...)
	}
	k.links.SetTargets(targets)
	k.links.SetGraph(member.NewGraph(members, member.DefaultFanout))
	k.laidOut = k.view.Digest()
}

// spread queues news and sends all that is queued.
func (k *Manager) spread(news []member.Member) {
	k.spreader.Enqueue(news, "")
	for _, out := range k.spreader.TakeQueued() {
		k.send(out.To, out.Gossip)
	}
	k.publish()
}

// publish sets what new links and the next heartbeats say.
func (k *Manager) publish() {
	self, digest := k.view.Self(), k.view.Digest()
	k.links.SetSelf(self, digest)
	k.links.SetHeartbeat(peer.Heartbeat{Digest: digest, Load: self.Load})
}

// send passes gossip on. What is lost shows as a difference of digests.
func (k *Manager) send(to ident.Incarnation, gossip member.Gossip) {
	if !gossip.Empty() {
		_ = k.links.Send(to, peer.Message{Gossip: &gossip})
	}
}
