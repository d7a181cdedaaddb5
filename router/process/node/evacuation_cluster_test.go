package node_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/router/process/node"
)

// evacuationCluster is a few processes whose links break and lose the messages in their
// queues, and a store that only some of them can read at a time.
type evacuationCluster struct {
	random  *rand.Rand
	states  map[ident.Incarnation]*node.State
	outputs map[ident.Incarnation]*discardIO
	names   []ident.Incarnation
	stored  evacuation.Reading
	// queues has the messages of each link in one direction, in order.
	queues map[[2]ident.Incarnation][]peer.Message
}

func newEvacuationCluster(seed uint64, size int) *evacuationCluster {
	made := &evacuationCluster{
		random:  rand.New(rand.NewPCG(seed, 1)),
		states:  make(map[ident.Incarnation]*node.State),
		outputs: make(map[ident.Incarnation]*discardIO),
		queues:  make(map[[2]ident.Incarnation][]peer.Message),
	}
	settings := node.DefaultSettings()
	settings.Platform.EvacuationBound = evacuationBound
	fake := clock.NewFake()
	for index := range size {
		name := ident.Incarnation(fmt.Sprint("p", index))
		made.names = append(made.names, name)
		made.outputs[name] = &discardIO{}
		made.states[name] = node.NewState(made.member(name), settings, nil, fake, event.NewLog(io.Discard, logrus.ErrorLevel), made.outputs[name])
	}
	return made
}

func (*evacuationCluster) member(name ident.Incarnation) member.Member {
	return member.Member{Incarnation: name, VM: "vm-" + string(name), State: member.Live, Sequence: 1}
}

// link links two processes anew. What was in the queues of an earlier link is lost.
func (c *evacuationCluster) link(one, other ident.Incarnation) {
	c.cut(one, other)
	for _, ends := range [][2]ident.Incarnation{{one, other}, {other, one}} {
		node.LinkUp{Remote: ends[1], Hello: peer.Hello{Member: c.member(ends[1])}}.Apply(c.states[ends[0]])
		c.collect(ends[0])
	}
}

func (c *evacuationCluster) cut(one, other ident.Incarnation) {
	for _, ends := range [][2]ident.Incarnation{{one, other}, {other, one}} {
		node.LinkDown{Remote: ends[1], Reason: peer.Broken}.Apply(c.states[ends[0]])
		delete(c.queues, ends)
	}
}

// collect queues the messages about evacuations that a process has sent.
func (c *evacuationCluster) collect(from ident.Incarnation) {
	for _, message := range c.outputs[from].sent {
		if message.Evacuations != nil {
			ends := [2]ident.Incarnation{from, message.To}
			c.queues[ends] = append(c.queues[ends], message)
		}
	}
	c.outputs[from].sent = nil
}

// deliver delivers the next message of a random link.
func (c *evacuationCluster) deliver() {
	for _, from := range c.names {
		for _, to := range c.names {
			ends := [2]ident.Incarnation{from, to}
			queue := c.queues[ends]
			if len(queue) == 0 || c.random.IntN(3) == 0 {
				continue
			}
			c.queues[ends] = queue[1:]
			message := queue[0]
			message.From = from
			node.PeerMessage{Message: message}.Apply(c.states[to])
			c.collect(to)
			return
		}
	}
}

// pending returns the number of messages in all queues.
func (c *evacuationCluster) pending() int {
	total := 0
	for _, queue := range c.queues {
		total += len(queue)
	}
	return total
}

// write evacuates a zone, or withdraws its evacuation.
func (c *evacuationCluster) write() {
	zone := []string{"depot", "hall"}[c.random.IntN(2)]
	zones := slices.Clone(c.stored.Zones)
	index, evacuated := slices.BinarySearch(zones, zone)
	if evacuated {
		zones = slices.Delete(zones, index, index+1)
	} else {
		zones = slices.Insert(zones, index, zone)
	}
	c.stored = evacuation.Reading{Version: c.stored.Version + 1, Zones: zones}
}

// read has one process read the store.
func (c *evacuationCluster) read(name ident.Incarnation) {
	node.EvacuationsRead{Reading: c.stored}.Apply(c.states[name])
	c.collect(name)
}

func (c *evacuationCluster) pick() ident.Incarnation {
	return c.names[c.random.IntN(len(c.names))]
}

// TestAllProcessesLearnTheNewestEvacuations has links that break, messages that are late or
// lost, and readings at any moment. Once all links are up and one process has read the
// store, all hold its reading, without any other reading of the store.
func TestAllProcessesLearnTheNewestEvacuations(t *testing.T) {
	const seeds, steps, size = 200, 60, 6
	for seed := range uint64(seeds) {
		made := newEvacuationCluster(seed, size)
		versions := make(map[ident.Incarnation]store.Version)
		for range steps {
			one, other := made.pick(), made.pick()
			switch made.random.IntN(6) {
			case 0:
				made.write()
			case 1:
				made.read(one)
			case 2:
				if one != other {
					made.link(one, other)
				}
			case 3:
				if one != other {
					made.cut(one, other)
				}
			default:
				made.deliver()
			}
			for _, name := range made.names {
				held, _ := made.states[name].Evacuations.Load()
				if held.Version < versions[name] {
					t.Fatalf("seed %d: %s went from version %d back to %d", seed, name, versions[name], held.Version)
				}
				versions[name] = held.Version
			}
		}
		for index, name := range made.names {
			made.link(name, made.names[(index+1)%size])
		}
		made.read(made.pick())
		for made.pending() > 0 {
			made.deliver()
		}
		for _, name := range made.names {
			held, known := made.states[name].Evacuations.Load()
			if !known || !held.SameZones(made.stored) {
				t.Errorf("seed %d: %s holds %+v, want %+v", seed, name, held, made.stored)
			}
		}
	}
}
