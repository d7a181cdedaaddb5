package member

import (
	"slices"
	"sync"

	"jacinthpaddle.example/fleet/process/ident"
)

// Graph is the network of links that the members of a view should have between them.
// It is computed, not observed: links can be missing. All its methods are safe for
// concurrent use.
type Graph struct {
	edges map[ident.Incarnation][]ident.Incarnation

	mu sync.Mutex
	// distances caches, per target, the number of links to it from each member.
	distances map[ident.Incarnation]map[ident.Incarnation]int
}

// NewGraph returns the graph of all members that are live or draining.
func NewGraph(members []Member, fanout int) *Graph {
	live := newTopology(members, func(m Member) bool {
		return m.State == Live || m.State == Draining
	})
	graph := &Graph{
		edges:     make(map[ident.Incarnation][]ident.Incarnation, len(live.members)),
		distances: make(map[ident.Incarnation]map[ident.Incarnation]int),
	}
	for _, from := range live.members {
		for _, to := range live.targets(from.Incarnation, fanout) {
			graph.addEdge(from.Incarnation, to.Incarnation)
		}
	}
	return graph
}

func (g *Graph) addEdge(a, b ident.Incarnation) {
	g.edges[a] = append(g.edges[a], b)
	g.edges[b] = append(g.edges[b], a)
}

// Degree returns the number of links of the member, dialled or accepted.
func (g *Graph) Degree(incarnation ident.Incarnation) int {
	linked := slices.Clone(g.edges[incarnation])
	slices.Sort(linked)
	return len(slices.Compact(linked))
}

// NextHop returns the neighbour with the fewest links between it and the target, and
// false if the target is reachable through none. Among neighbours at the same distance it
// returns the smallest incarnation.
func (g *Graph) NextHop(neighbours []ident.Incarnation, target ident.Incarnation) (ident.Incarnation, bool) {
	distances := g.distancesFrom(target)
	best := ident.Incarnation("")
	found := false
	for _, next := range neighbours {
		distance, reachable := distances[next]
		if !reachable {
			continue
		}
		if !found || distance < distances[best] || distance == distances[best] && next < best {
			best, found = next, true
		}
	}
	return best, found
}

// ReachableCount returns the number of members that the member from can reach along links,
// itself included.
func (g *Graph) ReachableCount(from ident.Incarnation) int {
	return len(g.distancesFrom(from))
}

// distancesFrom returns the number of links between the target and each member that is
// connected to it, by breadth-first search.
func (g *Graph) distancesFrom(target ident.Incarnation) map[ident.Incarnation]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if distances, ok := g.distances[target]; ok {
		return distances
	}
	distances := map[ident.Incarnation]int{target: 0}
	queue := []ident.Incarnation{target}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, linked := range g.edges[next] {
			if _, seen := distances[linked]; !seen {
				distances[linked] = distances[next] + 1
				queue = append(queue, linked)
			}
		}
	}
	g.distances[target] = distances
	return distances
}
