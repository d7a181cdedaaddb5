package member_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

// gossiper is one process of a fleet whose messages the test carries.
type gossiper struct {
	view     *member.View
	spreader *member.Gossiper
}

type carried struct {
	from, to ident.Incarnation
	gossip   member.Gossip
}

type carrier struct {
	t         *testing.T
	processes map[ident.Incarnation]*gossiper
	edges     map[ident.Incarnation][]ident.Incarnation
	queue     []carried
	records   int
}

// newCarrier returns processes that each know themselves only, linked as the
// whole fleet would be.
func newCarrier(t *testing.T, members []member.Member) *carrier {
	t.Helper()
	c := &carrier{t: t, processes: make(map[ident.Incarnation]*gossiper), edges: network(members)}
	for _, self := range members {
		view := member.NewView(self, epoch)
		c.processes[self.Incarnation] = &gossiper{view: view, spreader: member.NewGossiper(view)}
	}
	for _, self := range members {
		for _, to := range c.edges[self.Incarnation] {
			digest := c.processes[to].view.Digest()
			opening := c.processes[self.Incarnation].spreader.LinkUp(to, digest, epoch)
			c.send(self.Incarnation, to, opening)
		}
	}
	c.settle()
	return c
}

func (c *carrier) send(from, to ident.Incarnation, gossip member.Gossip) {
	if !gossip.Empty() {
		c.records += len(gossip.Changed)
		c.queue = append(c.queue, carried{from: from, to: to, gossip: gossip})
	}
}

// settle carries messages until nobody has any left.
func (c *carrier) settle() {
	c.t.Helper()
	const limit = 1_000_000
	c.flush()
	for count := 0; len(c.queue) > 0; count++ {
		if count > limit {
			c.t.Fatalf("messages: got more than %d, want fewer", limit)
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		reply := c.processes[next.to].spreader.Receive(next.from, next.gossip, epoch)
		c.send(next.to, next.from, reply)
		if len(c.queue) == 0 {
			c.flush()
		}
	}
}

func (c *carrier) flush() {
	for from, process := range c.processes {
		for _, out := range process.spreader.TakeQueued() {
			c.send(from, out.To, out.Gossip)
		}
	}
}

func (c *carrier) agree() {
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

func TestGossipReachesAll(t *testing.T) {
	for _, size := range []int{8, 60} {
		members := fleetOf(size, 1)
		c := newCarrier(t, members)
		c.agree()

		c.records = 0
		drained := c.processes[members[0].Incarnation]
		self := drained.view.SetState(member.Draining, epoch)
		drained.spreader.Enqueue([]member.Member{self}, "")
		c.settle()
		c.agree()
		links := 0
		for _, linked := range c.edges {
			links += degree(linked)
		}
		if c.records > links {
			t.Errorf("copies of one change: got %d, want at most %d, one a direction of a link", c.records, links)
		}
		t.Logf("%d members: %d copies of one change", size, c.records)
	}
}

func TestLastingDifferenceIsSettled(t *testing.T) {
	members := fleetOf(8, 1)
	c := newCarrier(t, members)
	a, b := members[0].Incarnation, members[1].Incarnation
	// The change is lost: it is queued nowhere.
	c.processes[a].view.SetState(member.Draining, epoch)

	later := epoch.Add(member.CompareInterval)
	for beat := 1; beat <= member.MismatchHeartbeats; beat++ {
		digest := c.processes[a].view.Digest()
		gossip := c.processes[b].spreader.Heartbeat(a, digest, later)
		if got, want := !gossip.Empty(), beat == member.MismatchHeartbeats; got != want {
			t.Errorf("comparison at beat %d: got %t, want %t", beat, got, want)
		}
		c.send(b, a, gossip)
	}
	c.settle()
	c.agree()
}

func TestGoneRecordsAreNotRevived(t *testing.T) {
	view := viewOf("a")
	gone := named("b")
	gone.State = member.Gone
	if got := view.Merge([]member.Member{gone}, epoch); len(got) != 0 {
		t.Errorf("unknown gone record: got %+v, want no news", got)
	}
	view.Merge([]member.Member{named("b"), gone}, epoch)
	risen := named("b")
	risen.Sequence = 99
	view.Merge([]member.Member{risen}, epoch.Add(time.Hour))
	if got := stateOf(t, view, "b"); got != member.Gone {
		t.Errorf("state: got %s, want gone", got)
	}
}

func TestNewsAreNotEchoed(t *testing.T) {
	view := viewOf("a")
	spreader := member.NewGossiper(view)
	spreader.LinkUp("b", 0, epoch)
	spreader.LinkUp("c", 0, epoch)
	spreader.Receive("b", member.Gossip{Changed: []member.Member{named("x")}}, epoch)
	got := spreader.TakeQueued()
	if len(got) != 1 || got[0].To != "c" || got[0].Gossip.Changed[0].Incarnation != "x" {
		t.Errorf("outgoing: got %+v, want x to c alone", got)
	}
}

func TestNewsThatCrossedAreNotRepeated(t *testing.T) {
	view := viewOf("a")
	spreader := member.NewGossiper(view)
	spreader.LinkUp("b", 0, epoch)
	spreader.LinkUp("c", 0, epoch)
	news := member.Gossip{Changed: []member.Member{named("x")}}
	spreader.Receive("b", news, epoch)
	spreader.Receive("c", news, epoch)
	if got := spreader.TakeQueued(); len(got) != 0 {
		t.Errorf("outgoing: got %+v, want nothing", got)
	}
}

func TestOneEndOpensAndOnlyOverADifference(t *testing.T) {
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
