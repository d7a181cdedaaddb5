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

// newSimulation links processes whose views have only themselves, as the topology of
// the whole fleet has it, and delivers gossip until all views are complete.
func newSimulation(t *testing.T, members []member.Member) *simulation {
	t.Helper()
	c := &simulation{t: t, processes: make(map[ident.Incarnation]*simulatedProcess), edges: linkGraph(members)}
	for _, self := range members {
		view := member.NewView(self, epoch)
		c.processes[self.Incarnation] = &simulatedProcess{view: view, gossiper: member.NewGossiper(view)}
	}
	for _, self := range members {
		for _, to := range c.edges[self.Incarnation] {
			digest := c.processes[to].view.Digest()
			opening := c.processes[self.Incarnation].gossiper.LinkUp(to, digest, epoch)
			c.send(self.Incarnation, to, opening)
		}
	}
	c.deliverAll()
	return c
}

func (c *simulation) send(from, to ident.Incarnation, gossip member.Gossip) {
	if !gossip.Empty() {
		c.sentRecords += len(gossip.Changed)
		c.queue = append(c.queue, delivery{from: from, to: to, gossip: gossip})
	}
}

// deliverAll delivers messages until no process has any left to send.
func (c *simulation) deliverAll() {
	c.t.Helper()
	const limit = 1_000_000
	c.flush()
	for count := 0; len(c.queue) > 0; count++ {
		if count > limit {
			c.t.Fatalf("messages: got more than %d, want fewer", limit)
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		reply := c.processes[next.to].gossiper.Receive(next.from, next.gossip, epoch)
		c.send(next.to, next.from, reply)
		if len(c.queue) == 0 {
			c.flush()
		}
	}
}

func (c *simulation) flush() {
	for from, process := range c.processes {
		for _, out := range process.gossiper.TakeQueued() {
			c.send(from, out.To, out.Gossip)
		}
	}
}

// assertConverged checks that all views have the same digest and all members.
func (c *simulation) assertConverged() {
	c.t.Helper()
	var want uint64
	for _, process := range c.processes {
		want = process.view.Digest()
		break
	}
	for name, process := range c.processes {
		if got := process.view.Digest(); got != want {
			c.t.Errorf("digest of %s: got %x, want %x", name, got, want)
		}
		if got := len(process.view.Members()); got != len(c.processes) {
			c.t.Errorf("members of %s: got %d, want %d", name, got, len(c.processes))
		}
	}
}

func TestGossipReachesAllMembers(t *testing.T) {
	for _, size := range []int{8, 60} {
		members := fleetOf(size, 1)
		c := newSimulation(t, members)
		c.assertConverged()

		c.sentRecords = 0
		drained := c.processes[members[0].Incarnation]
		self := drained.view.SetState(member.Draining, epoch)
		drained.gossiper.Enqueue([]member.Member{self}, "")
		c.deliverAll()
		c.assertConverged()
		links := 0
		for _, linked := range c.edges {
			links += degree(linked)
		}
		if c.sentRecords > links {
			t.Errorf("copies of one change: got %d, want at most %d, one per direction of a link", c.sentRecords, links)
		}
		t.Logf("%d members: %d copies of one change", size, c.sentRecords)
	}
}

func TestDigestMismatchIsReconciled(t *testing.T) {
	members := fleetOf(8, 1)
	c := newSimulation(t, members)
	a, b := members[0].Incarnation, members[1].Incarnation
	// The change is not queued for any neighbour, as if its message had been lost.
	c.processes[a].view.SetState(member.Draining, epoch)

	later := epoch.Add(member.CompareInterval)
	for heartbeat := 1; heartbeat <= member.MismatchHeartbeats; heartbeat++ {
		digest := c.processes[a].view.Digest()
		gossip := c.processes[b].gossiper.Heartbeat(a, digest, later)
		if got, want := !gossip.Empty(), heartbeat == member.MismatchHeartbeats; got != want {
			t.Errorf("comparison at heartbeat %d: got %t, want %t", heartbeat, got, want)
		}
		c.send(b, a, gossip)
	}
	c.deliverAll()
	c.assertConverged()
}

func TestGoneRecordsAreNotRevived(t *testing.T) {
	view := viewOf("a")
	gone := memberNamed("b")
	gone.State = member.Gone
	if got := view.Merge([]member.Member{gone}, epoch); len(got) != 0 {
		t.Errorf("unknown gone record: got %+v, want no news", got)
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
		t.Errorf("outgoing: got %+v, want x to c alone", got)
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
		t.Errorf("outgoing: got %+v, want nothing", got)
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
		{"smaller end", "c", view.Digest() + 1, true},
		{"larger end", "a", view.Digest() + 1, false},
	}
	for _, test := range tests {
		opening := member.NewGossiper(view).LinkUp(test.to, test.digest, epoch)
		if got := !opening.Empty(); got != test.want {
			t.Errorf("%s: opening: got %t, want %t", test.name, got, test.want)
		}
	}
}
