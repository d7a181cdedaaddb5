package member_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

// maxDegree is the largest allowed number of links of one process.
const maxDegree = 24

// fleetOf returns members spread over 11 availability zones in 3 regions.
func fleetOf(size int, salt uint64) []member.Member {
	members := make([]member.Member, size)
	for index := range members {
		zone := index % 11
		members[index] = memberNamed(ident.Incarnation(fmt.Sprintf("%d-%03d", salt, index)))
		members[index].Locality = vm.Locality{
			Region:           fmt.Sprintf("region-%d", zone%3),
			AvailabilityZone: fmt.Sprintf("az-%02d", zone),
		}
	}
	return members
}

// linkGraph returns the neighbours of each member by the targets of all members.
func linkGraph(members []member.Member) map[ident.Incarnation][]ident.Incarnation {
	edges := make(map[ident.Incarnation][]ident.Incarnation)
	for _, from := range members {
		for _, to := range member.DialTargets(members, from.Incarnation, member.DefaultFanout) {
			edges[from.Incarnation] = append(edges[from.Incarnation], to.Incarnation)
			edges[to.Incarnation] = append(edges[to.Incarnation], from.Incarnation)
		}
	}
	return edges
}

// connected reports whether the members that are not lost can reach each other over the
// given links, which are those from before the loss.
func connected(members []member.Member, edges map[ident.Incarnation][]ident.Incarnation, lost func(member.Member) bool) bool {
	remaining := make(map[ident.Incarnation]bool)
	for _, each := range members {
		if !lost(each) {
			remaining[each.Incarnation] = true
		}
	}
	var queue []ident.Incarnation
	for first := range remaining {
		queue = []ident.Incarnation{first}
		break
	}
	reached := make(map[ident.Incarnation]bool)
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		if remaining[next] && !reached[next] {
			reached[next] = true
			queue = append(queue, edges[next]...)
		}
	}
	return len(reached) == len(remaining)
}

func nobodyLost(member.Member) bool { return false }

func TestFleetStaysConnectedWithoutOneMemberOrZone(t *testing.T) {
	for _, size := range []int{1, 2, 8, 12, 13, 14, 23, 40, 100, 380} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			members := fleetOf(size, 1)
			edges := linkGraph(members)
			if !connected(members, edges, nobodyLost) {
				t.Error("whole fleet: got disconnected, want connected")
			}
			for _, gone := range members {
				if !connected(members, edges, func(m member.Member) bool { return m.Incarnation == gone.Incarnation }) {
					t.Errorf("without %s: got disconnected, want connected", gone.Incarnation)
				}
				if !connected(members, edges, func(m member.Member) bool { return m.Locality == gone.Locality }) {
					t.Errorf("without %s: got disconnected, want connected", gone.AvailabilityZone)
				}
				if size > 3 && degree(edges[gone.Incarnation]) < 2 {
					t.Errorf("links of %s: got 1, want 2 or more", gone.Incarnation)
				}
			}
		})
	}
}

// TestFleetStaysConnectedWithoutTwoZones removes each pair of availability zones from a
// fleet of 11.
func TestFleetStaysConnectedWithoutTwoZones(t *testing.T) {
	members := fleetOf(100, 1)
	edges := linkGraph(members)
	for _, a := range members[:11] {
		for _, b := range members[:11] {
			lost := func(m member.Member) bool { return m.Locality == a.Locality || m.Locality == b.Locality }
			if !connected(members, edges, lost) {
				t.Errorf("without %s and %s: got disconnected, want connected", a.AvailabilityZone, b.AvailabilityZone)
			}
		}
	}
}

func degree(linked []ident.Incarnation) int {
	linked = slices.Clone(linked)
	slices.Sort(linked)
	return len(slices.Compact(linked))
}

// TestFleetStaysConnectedWithoutOneLink removes each link of a full mesh and of larger
// fleets.
func TestFleetStaysConnectedWithoutOneLink(t *testing.T) {
	for _, size := range []int{8, 14, 40} {
		members := fleetOf(size, 1)
		edges := linkGraph(members)
		for from, linked := range edges {
			for _, to := range linked {
				cut := withoutLink(edges, from, to)
				if !connected(members, cut, nobodyLost) {
					t.Errorf("size %d without link %s to %s: got disconnected, want connected", size, from, to)
				}
			}
		}
	}
}

func withoutLink(edges map[ident.Incarnation][]ident.Incarnation, a, b ident.Incarnation) map[ident.Incarnation][]ident.Incarnation {
	cut := make(map[ident.Incarnation][]ident.Incarnation, len(edges))
	for from, linked := range edges {
		cut[from] = slices.DeleteFunc(slices.Clone(linked), func(to ident.Incarnation) bool {
			return from == a && to == b || from == b && to == a
		})
	}
	return cut
}

func TestFleetStaysConnectedWithoutOneInTwenty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(20, 380).Draw(t, "size")
		members := fleetOf(size, rapid.Uint64Range(1, 1000).Draw(t, "salt"))
		order := rapid.Permutation(members).Draw(t, "order")
		lost := make(map[ident.Incarnation]bool)
		for _, each := range order[:size/20] {
			lost[each.Incarnation] = true
		}
		edges := linkGraph(members)
		if !connected(members, edges, func(m member.Member) bool { return lost[m.Incarnation] }) {
			t.Errorf("size %d without %d members: got disconnected, want connected", size, len(lost))
		}
	})
}

func TestDegreeIsBounded(t *testing.T) {
	members := fleetOf(380, 1)
	most, sum := 0, 0
	for _, linked := range linkGraph(members) {
		most = max(most, degree(linked))
		sum += degree(linked)
	}
	if most > maxDegree {
		t.Errorf("largest degree: got %d, want at most %d", most, maxDegree)
	}
	t.Logf("380 members: %d links at most, %.1f on average", most, float64(sum)/380)
}

func TestSuspectedMembersStayTargetsAndLiveMembersConnected(t *testing.T) {
	tests := []struct {
		name      string
		suspected func(index int, m member.Member) bool
	}{
		{"one region", func(_ int, m member.Member) bool { return m.Region == "region-1" }},
		{"four in five", func(index int, _ member.Member) bool { return index%5 != 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			members := fleetOf(380, 1)
			for index := range members {
				if test.suspected(index, members[index]) {
					members[index].State = member.Suspected
				}
			}
			lost := func(m member.Member) bool { return m.State == member.Suspected }
			edges := linkGraph(members)
			if !connected(members, edges, lost) {
				t.Error("live members: got disconnected, want connected")
			}
			if !connected(members, edges, nobodyLost) {
				t.Error("all members: got disconnected, want connected")
			}
		})
	}
}

func TestGoneMembersAreNotDialled(t *testing.T) {
	members := fleetOf(8, 1)
	members[3].State = member.Gone
	got := member.DialTargets(members, members[0].Incarnation, member.DefaultFanout)
	if len(got) != 6 {
		t.Errorf("links: got %d, want 6", len(got))
	}
}

func TestNextHopLeadsToEveryTarget(t *testing.T) {
	members := fleetOf(380, 1)
	graph := member.NewGraph(members, member.DefaultFanout)
	edges := linkGraph(members)
	longest := 0
	for _, target := range members {
		hops, at := 0, members[0].Incarnation
		for at != target.Incarnation && hops <= len(members) {
			next, ok := graph.NextHop(edges[at], target.Incarnation)
			if !ok {
				t.Fatalf("hop from %s to %s: got none, want one", at, target.Incarnation)
			}
			at = next
			hops++
		}
		longest = max(longest, hops)
	}
	if longest > 12 {
		t.Errorf("longest route: got %d hops, want at most 12", longest)
	}
	t.Logf("380 members: longest route from one of them: %d hops", longest)
}
