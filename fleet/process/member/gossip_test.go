package member_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

// simulatedProcess is one process whose gossip the simulation delivers.
type simulatedProcess struct {
	view     *member.View
	gossiper *member.Gossiper
}

// delivery is a gossip message that is not delivered yet.
type delivery struct {
	from, to ident.Incarnation
	gossip   member.Gossip
}

// simulation is a fleet of linked processes that exchange gossip without a network.
type simulation struct {
	t         *testing.T
	processes map[ident.Incarnation]*simulatedProcess
	edges     map[ident.Incarnation][]ident.Incarnation
	queue     []delivery
	// sentRecords counts the records in all messages.
	sentRecords int
}

// newSimulation returns processes that are linked by the topology of the given members.
// Each view starts with only the process itself; gossip is delivered until all views are
// complete.
func newSimulation(t *testing.T, members []member.Member) *simulation {
	t.Helper()
	s := &simulation{t: t, processes: make(map[ident.Incarnation]*simulatedProcess), edges: linkGraph(members)}
	for _, self := range members {
		view := member.NewView(self, epoch)
		s.processes[self.Incarnation] = &simulatedProcess{view: view, gossiper: member.NewGossiper(view)}
	}
	for _, self := range members {
		for _, to := range s.edges[self.Incarnation] {
			digest := s.processes[to].view.Digest()
			opening := s.processes[self.Incarnation].gossiper.LinkUp(to, digest, epoch)
			s.send(self.Incarnation, to, opening)
		}
	}
	s.deliverAll()
	return s
}

func (s *simulation) send(from, to ident.Incarnation, gossip member.Gossip) {
	if !gossip.Empty() {
		s.sentRecords += len(gossip.Changed)
		s.queue = append(s.queue, delivery{from: from, to: to, gossip: gossip})
	}
}

// deliverAll delivers messages until no process has any left to send.
func (s *simulation) deliverAll() {
	s.t.Helper()
	const limit = 1_000_000
	s.sendQueued()
	for count := 0; len(s.queue) > 0; count++ {
		if count > limit {
			s.t.Fatalf("messages: got more than %d, want fewer", limit)
		}
		next := s.queue[0]
		s.queue = s.queue[1:]
		reply := s.processes[next.to].gossiper.Receive(next.from, next.gossip, epoch)
		s.send(next.to, next.from, reply)
		if len(s.queue) == 0 {
			s.sendQueued()
		}
	}
}

// sendQueued sends the queued gossip of all processes.
func (s *simulation) sendQueued() {
	for from, process := range s.processes {
		for _, out := range process.gossiper.TakeQueued() {
			s.send(from, out.To, out.Gossip)
		}
	}
}

// assertConverged checks that all views have the same digest and all members.
func (s *simulation) assertConverged() {
	s.t.Helper()
	var want uint64
	for _, process := range s.processes {
		want = process.view.Digest()
		break
	}
	for name, process := range s.processes {
		if got := process.view.Digest(); got != want {
			s.t.Errorf("digest of %s: got %x, want %x", name, got, want)
		}
		if got := len(process.view.Members()); got != len(s.processes) {
			s.t.Errorf("members of %s: got %d, want %d", name, got, len(s.processes))
		}
	}
}

func TestGossipReachesAllMembers(t *testing.T) {
	for _, size := range []int{8, 60} {
		members := fleetOf(size, 1)
		s := newSimulation(t, members)
		s.assertConverged()

		s.sentRecords = 0
		drained := s.processes[members[0].Incarnation]
		self := drained.view.SetState(member.Draining, epoch)
		drained.gossiper.Enqueue([]member.Member{self}, "")
		s.deliverAll()
		s.assertConverged()
		linkDirections := 0
		for _, linked := range s.edges {
			linkDirections += degree(linked)
		}
		if s.sentRecords > linkDirections {
			t.Errorf("copies of one change: got %d, want at most %d, one per direction of a link", s.sentRecords, linkDirections)
		}
		t.Logf("%d members: %d copies of one change", size, s.sentRecords)
	}
}

func TestDigestMismatchIsReconciled(t *testing.T) {
	members := fleetOf(8, 1)
	s := newSimulation(t, members)
	a, b := members[0].Incarnation, members[1].Incarnation
	// The change is not queued for any neighbour, as if the gossip with it had been lost.
	s.processes[a].view.SetState(member.Draining, epoch)

	later := epoch.Add(member.CompareInterval)
	for heartbeat := 1; heartbeat <= member.MismatchHeartbeats; heartbeat++ {
		digest := s.processes[a].view.Digest()
		gossip := s.processes[b].gossiper.HandleHeartbeat(a, digest, later)
		if got, want := !gossip.Empty(), heartbeat == member.MismatchHeartbeats; got != want {
			t.Errorf("comparison at heartbeat %d: got %t, want %t", heartbeat, got, want)
		}
		s.send(b, a, gossip)
	}
	s.deliverAll()
	s.assertConverged()
}

func TestGoneRecordsAreNotRevived(t *testing.T) {
	view := viewOf("a")
	gone := memberNamed("b")
	gone.State = member.Gone
	if got := view.Merge([]member.Member{gone}, epoch); len(got) != 0 {
		t.Errorf("unknown gone record: got %+v, want no updates", got)
	}
	view.Merge([]member.Member{memberNamed("b"), gone}, epoch)
	revived := memberNamed("b")
	revived.Sequence = 99
	view.Merge([]member.Member{revived}, epoch.Add(time.Hour))
	if got := stateOf(t, view, "b"); got != member.Gone {
		t.Errorf("state: got %s, want gone", got)
	}
}

func TestUpdatesAreNotSentBack(t *testing.T) {
	view := viewOf("a")
	gossiper := member.NewGossiper(view)
	gossiper.LinkUp("b", 0, epoch)
	gossiper.LinkUp("c", 0, epoch)
	gossiper.Receive("b", member.Gossip{Changed: []member.Member{memberNamed("x")}}, epoch)
	got := gossiper.TakeQueued()
	if len(got) != 1 || got[0].To != "c" || got[0].Gossip.Changed[0].Incarnation != "x" {
		t.Errorf("queued gossip: got %+v, want x to c alone", got)
	}
}

func TestUpdatesReceivedFromBothNeighboursAreNotSent(t *testing.T) {
	view := viewOf("a")
	gossiper := member.NewGossiper(view)
	gossiper.LinkUp("b", 0, epoch)
	gossiper.LinkUp("c", 0, epoch)
	updates := member.Gossip{Changed: []member.Member{memberNamed("x")}}
	gossiper.Receive("b", updates, epoch)
	gossiper.Receive("c", updates, epoch)
	if got := gossiper.TakeQueued(); len(got) != 0 {
		t.Errorf("queued gossip: got %+v, want none", got)
	}
}

func TestSmallerIncarnationSendsVersionsIfDigestsDiffer(t *testing.T) {
	view := viewOf("b")
	tests := []struct {
		name   string
		to     ident.Incarnation
		digest uint64
		want   bool
	}{
		{"same digest", "c", view.Digest(), false},
		{"neighbour with a larger incarnation", "c", view.Digest() + 1, true},
		{"neighbour with a smaller incarnation", "a", view.Digest() + 1, false},
	}
	for _, test := range tests {
		opening := member.NewGossiper(view).LinkUp(test.to, test.digest, epoch)
		if got := !opening.Empty(); got != test.want {
			t.Errorf("%s: first gossip: got %t, want %t", test.name, got, test.want)
		}
	}
}
