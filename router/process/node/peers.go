package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/retry"
)

// Receiver forwards messages and link events of the hub to the control thread.
type Receiver struct {
	thread *Thread
}

// HandleMessage implements peer.Receiver.
func (r *Receiver) HandleMessage(message peer.Message) {
	r.thread.Send(PeerMessage{Message: message})
}

// LinkUp implements peer.Receiver.
func (r *Receiver) LinkUp(remote ident.Incarnation, hello peer.Hello) {
	r.thread.Send(LinkUp{Remote: remote, Hello: hello})
}

// LinkDown implements peer.Receiver.
func (r *Receiver) LinkDown(remote ident.Incarnation, reason peer.Reason) {
	r.thread.Send(LinkDown{Remote: remote, Reason: reason})
}

// DialFailed implements peer.Receiver.
func (r *Receiver) DialFailed(target member.Member, _ error) {
	r.thread.Send(DialFailed{Target: target})
}

// LinkUp reports that a link to a peer was established.
type LinkUp struct {
	Remote ident.Incarnation
	Hello  peer.Hello
}

// Apply implements control.Message.
func (m LinkUp) Apply(state *State) {
	state.Membership.LinkUp(m.Remote, m.Hello, state.Clock.Now())
	state.Linked[m.Remote] = true
	state.Log.Emit(event.PeerUp, event.String("peer", m.Remote), event.String("vm", m.Hello.Member.VM))
	state.membersChanged()
	state.announceGeneration(m.Remote)
	state.sendEvacuations(m.Remote)
	state.sendKnownPrompts(m.Remote)
}

// LinkDown reports that the last link to a peer was closed.
type LinkDown struct {
	Remote ident.Incarnation
	Reason peer.Reason
}

// Apply implements control.Message.
func (m LinkDown) Apply(state *State) {
	state.Membership.LinkDown(m.Remote, m.Reason, state.Clock.Now())
	delete(state.Linked, m.Remote)
	delete(state.announced.byPeer, m.Remote)
	if m.Reason.CausesSuspicion() {
		state.Log.Emit(event.PeerDown, event.String("peer", m.Remote), event.String("reason", m.Reason))
	}
	state.membersChanged()
}

// DialFailed reports that dialling a peer failed.
type DialFailed struct {
	Target member.Member
}

// Apply implements control.Message.
func (m DialFailed) Apply(state *State) {
	state.Membership.DialFailed(m.Target, state.Clock.Now())
}

// PeerMessage is a message received from a peer or sent by this process to itself.
type PeerMessage struct {
	Message peer.Message
}

// Apply implements control.Message.
func (m PeerMessage) Apply(state *State) {
	now := state.Clock.Now()
	from := m.Message.From
	switch {
	case state.Membership.HandleMessage(m.Message, now):
		if m.Message.Gossip != nil {
			state.membersOutdated = true
		}
	case m.Message.Generation != nil:
		state.handleGeneration(from, *m.Message.Generation)
	case m.Message.Evacuations != nil:
		state.handleEvacuations(from, *m.Message.Evacuations)
	case m.Message.VMList != nil:
		state.handleVMList(from, *m.Message.VMList)
	case m.Message.Prompts != nil:
		PromptsObserved(*m.Message.Prompts).Apply(state)
	default:
		if !m.handleJournal(state, from) {
			m.handleQuota(state, now)
		}
	}
}

// handleJournal handles a message about copies of journal records. It returns false if
// the message is of another kind.
func (m PeerMessage) handleJournal(state *State, from ident.Incarnation) bool {
	switch {
	case m.Message.CopyRequest != nil:
		reply := state.Replicas.Add(*m.Message.CopyRequest)
		state.send(from, peer.Message{CopyReply: &reply})
	case m.Message.CopyReply != nil:
		state.JournalBuffer.ConfirmCopies(from, *m.Message.CopyReply)
		state.applyJournalEffects()
	case m.Message.ReleaseNotice != nil:
		state.Replicas.Release(*m.Message.ReleaseNotice)
	default:
		return false
	}
	return true
}

// handleQuota handles a message about quota, ceilings or fencing.
func (m PeerMessage) handleQuota(state *State, now time.Time) {
	switch body := m.Message; {
	case body.Transfer != nil:
		state.ensureAllocation(body.Transfer.Budget)
		state.applyActions(state.Quota.HandleTransfer(*body.Transfer, now))
		state.serveWaiters(body.Transfer.Budget)
	case body.TransferAck != nil:
		state.Quota.HandleTransferAck(*body.TransferAck)
	case body.TransferRequest != nil:
		state.ensureAllocation(body.TransferRequest.Budget)
		state.applyActions(state.Quota.HandleTransferRequest(*body.TransferRequest, now))
	case body.CeilingRequest != nil:
		reply := state.Witness.Acknowledge(*body.CeilingRequest)
		state.send(body.CeilingRequest.Holder, peer.Message{CeilingReply: &reply})
	case body.CeilingReply != nil:
		state.applyActions(state.Quota.HandleCeilingReply(*body.CeilingReply, now))
		state.serveWaiters(body.CeilingReply.Budget)
	case body.FenceRequest != nil:
		reply := state.Witness.Fence(*body.FenceRequest)
		state.send(body.FenceRequest.From, peer.Message{FenceReply: &reply})
	case body.FenceReply != nil:
		state.handleFenceReply(*body.FenceReply)
	}
}

// send sends a message to a peer. Errors are ignored: the protocols repeat messages
// that are lost.
func (s *State) send(to ident.Incarnation, message peer.Message) {
	_ = s.IO.Send(to, message)
}

// membersChanged derives from the view which peers receive journal copies and requests
// for credits, and adjusts the journal flush interval and the retry budget to the size of
// the fleet. For other goroutines it publishes the members and whether this process
// watches the store.
func (s *State) membersChanged() {
	self, members := s.view().Self(), s.view().Members()
	size := runningVMs(members)
	preferred := preferredRouters(members)
	watching := watchesStore(preferred, self, size)
	reachable := s.reachablePeers(members)
	s.Quota.SetPeers(reachable)
	s.Quota.SetSupply(s.supply(preferred, self, size))
	s.drawers = s.Quota.Supply.DirectHolders
	if s.isLargeFleet() {
		s.drawers = len(preferred)
	}
	s.JournalBuffer.SetFlushInterval(scaledInterval(s.Settings.Journal.FlushInterval, size, RoutersPerFlushInterval))
	s.JournalBuffer.SetPeers(s.Clock.Now(), s.replicaPeers(reachable))
	s.applyJournalEffects()
	s.membersOutdated = false
	s.resizeRetries(s.Quota.Supply.DirectHolders, size, contains(preferred[self.Locality], self))
	s.Members.Store(&members)
	s.WatchesStore.Store(watching)
}

// PreferredSlackShare is the fraction of the fleet's retry slack that the preferred routers
// have together, if the fleet has other routers too.
const PreferredSlackShare = 0.8

// resizeRetries sets the share of this process in the retry budget of a fleet with the
// given numbers of preferred routers and of all routers. The preferred routers divide
// their part of the slack equally, and so do the others. The slack is the number of
// retries in a window that the budget allows beyond a ratio of the requests.
func (s *State) resizeRetries(preferredCount, routerCount int, isPreferred bool) {
	settings := s.Settings.Retries
	ratio, slack, sharers := float64(settings.SharePercent)/100, settings.Slack, preferredCount
	switch {
	case preferredCount >= routerCount:
		sharers = routerCount
	case isPreferred:
		slack *= PreferredSlackShare
	default:
		slack *= 1 - PreferredSlackShare
		sharers = routerCount - preferredCount
	}
	s.Retries.SetConfig(retry.FleetBudgetConfig(ratio, slack, settings.Window, sharers))
}

// runningVMs returns the number of VMs with a member that has not failed. Members are
// not counted one by one, since those of earlier processes of a VM stay in the view for
// minutes.
func runningVMs(members []member.Member) int {
	vms := make(map[string]bool)
	for _, router := range members {
		if router.State != member.Gone {
			vms[router.VM] = true
		}
	}
	return len(vms)
}

// scaledInterval lengthens an interval by its own length for each full step in size, the
// number of processes that share a rate limit, so that all routers together stay within
// the rate limits of the platform.
func scaledInterval(interval time.Duration, size, step int) time.Duration {
	return interval * time.Duration(1+size/step)
}

func (s *State) view() *member.View {
	return s.Membership.View()
}

// candidate is a reachable member with the ranks by which reachablePeers orders it. Lower
// ranks come first.
type candidate struct {
	member.Member
	stateRank   int
	witnessRank int
	// preference is a hash of this process and the member.
	preference uint64
}

// reachablePeers returns the reachable members except this process, in the order of
// preference as witnesses, for transfer requests and for journal copies: live ones first, then by
// witnessRank. Members of equal rank are ordered by a hash that differs between processes,
// so that not all processes choose the same peers.
func (s *State) reachablePeers(members []member.Member) []ident.Incarnation {
	self := s.view().Self()
	var candidates []candidate
	for _, peer := range members {
		if peer.Incarnation != s.Self && s.reachable(peer) {
			candidates = append(candidates, candidate{
				Member:      peer,
				stateRank:   stateRank(peer),
				witnessRank: witnessRank(self, peer),
				preference:  xxhash.Sum64String(string(s.Self + peer.Incarnation)),
			})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.stateRank, b.stateRank),
			cmp.Compare(a.witnessRank, b.witnessRank),
			cmp.Compare(a.preference, b.preference),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	incarnations := make([]ident.Incarnation, 0, len(candidates))
	for _, peer := range candidates {
		incarnations = append(incarnations, peer.Incarnation)
	}
	return incarnations
}

// replicaPeers returns the reachable peers that may hold copies of the journal: live ones
// with a direct link, since a copy must be acknowledged before a request continues.
func (s *State) replicaPeers(reachable []ident.Incarnation) []ident.Incarnation {
	var linked []ident.Incarnation
	for _, incarnation := range reachable {
		peer, _ := s.view().Member(incarnation)
		if s.Linked[incarnation] && peer.State == member.Live {
			linked = append(linked, incarnation)
		}
	}
	return linked
}

// reachable reports whether messages to the member are expected to arrive, over a link
// or relayed by other members.
func (s *State) reachable(peer member.Member) bool {
	if s.Linked[peer.Incarnation] {
		return true
	}
	return len(s.Linked) > 0 && (peer.State == member.Live || peer.State == member.Draining)
}

func stateRank(peer member.Member) int {
	if peer.State == member.Live {
		return 0
	}
	return 1
}

// witnessRank prefers another availability zone of the same region, so that a holder
// and its witnesses do not fail together, then the same availability zone, then other
// regions.
func witnessRank(self, peer member.Member) int {
	switch self.Distance(peer.Locality) {
	case vm.SameRegion:
		return 0
	case vm.SameAvailabilityZone:
		return 1
	default:
		return 2
	}
}

// sendQuotaMessages sends the messages that the quota manager requests.
func (s *State) sendQuotaMessages(actions quota.Actions) {
	for _, body := range actions.Transfers {
		s.send(body.To, peer.Message{Transfer: &body})
	}
	for _, body := range actions.TransferAcks {
		s.send(body.To, peer.Message{TransferAck: &body})
	}
	for _, body := range actions.TransferRequests {
		s.send(body.To, peer.Message{TransferRequest: &body})
	}
	for _, body := range actions.CeilingRequests {
		s.send(body.Witness, peer.Message{CeilingRequest: &body})
	}
}

// sendJournalMessages sends the messages that the journal buffer requests.
func (s *State) sendJournalMessages(effects journal.Effects) {
	for _, request := range effects.Copies {
		s.send(request.To, peer.Message{CopyRequest: &request.Body})
	}
	for _, release := range effects.Releases {
		s.send(release.To, peer.Message{ReleaseNotice: &release.Body})
	}
}
