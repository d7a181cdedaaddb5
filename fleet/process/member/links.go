package member

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// Sizes of the link topology.
const (
	// FullMeshLimit is the largest number of members at which every process dials every
	// other.
	FullMeshLimit = 12
	// DefaultFanout is the number of processes of its own availability zone that a
	// process dials.
	DefaultFanout = 3
	// gatewaysPerZone is the number of gateways of an availability zone, the processes
	// that dial other zones. In a zone with fewer processes, one process has the links
	// of several gateways.
	gatewaysPerZone = 3
	// zoneFanout is the number of other availability zones that a gateway dials.
	zoneFanout = 2
)

// DialTargets returns the members that the process self dials. Up to FullMeshLimit
// members form a full mesh. In a larger fleet each availability zone is a ring, ordered
// by the hash of the incarnation and with chords, and its gateways dial the next zones
// on a ring of all zones. The fanout is the number of members of its own zone that a
// process dials in a larger fleet.
//
// Suspected members stay targets, so that links come up again when a network partition
// heals. Because some of them may have failed, the targets of the topology without
// suspected members are added, which keeps the live members connected.
func DialTargets(members []Member, self ident.Incarnation, fanout int) []Member {
	targets := newTopology(members, func(m Member) bool { return m.State != Gone }).targets(self, fanout)
	if !slices.ContainsFunc(members, func(m Member) bool { return m.State == Suspected }) {
		return targets
	}
	live := newTopology(members, func(m Member) bool {
		return m.State != Gone && (m.State != Suspected || m.Incarnation == self)
	})
	targets = append(targets, live.targets(self, fanout)...)
	slices.SortFunc(targets, func(a, b Member) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return slices.CompactFunc(targets, func(a, b Member) bool {
		return a.Incarnation == b.Incarnation
	})
}

// ringEntry is a member on the ring of its availability zone.
type ringEntry struct {
	hash   uint64
	member *Member
}

// zone is one availability zone with its members in ring order.
type zone struct {
	locality vm.Locality
	ring     []ringEntry
}

// topology is the members of a fleet, divided into availability zones.
type topology struct {
	members []*Member
	zones   []zone
}

// newTopology returns the topology of the members for which keep returns true.
func newTopology(members []Member, keep func(Member) bool) topology {
	rings := make(map[vm.Locality][]ringEntry)
	var built topology
	for index := range members {
		m := &members[index]
		if keep(*m) {
			built.members = append(built.members, m)
			entry := ringEntry{hash: xxhash.Sum64String(string(m.Incarnation)), member: m}
			rings[m.Locality] = append(rings[m.Locality], entry)
		}
	}
	for locality, ring := range rings {
		slices.SortFunc(ring, compareRingEntries)
		built.zones = append(built.zones, zone{locality: locality, ring: ring})
	}
	slices.SortFunc(built.zones, func(a, b zone) int {
		return compareLocalities(a.locality, b.locality)
	})
	return built
}

// targets returns the members that self dials in this topology, none if it is not part
// of it.
func (t topology) targets(self ident.Incarnation, fanout int) []Member {
	if len(t.members) <= FullMeshLimit {
		return t.fullMesh(self)
	}
	for index, own := range t.zones {
		position := slices.IndexFunc(own.ring, func(s ringEntry) bool { return s.member.Incarnation == self })
		if position >= 0 {
			return append(own.ringTargets(position, fanout), t.crossZoneTargets(index, position)...)
		}
	}
	return nil
}

func (t topology) fullMesh(self ident.Incarnation) []Member {
	var targets []Member
	for _, m := range t.members {
		if m.Incarnation != self {
			targets = append(targets, *m)
		}
	}
	return targets
}

// ringTargets returns at most fanout members of the ring: the next two, then the ends of
// chords, whose lengths grow in steps of the square root of the ring's size.
func (z zone) ringTargets(position, fanout int) []Member {
	size := len(z.ring)
	stride := max(1, int(math.Sqrt(float64(size))))
	var targets []Member
	for step := 1; step <= fanout; step++ {
		length := step
		if step > 2 {
			length = 2 + (step-2)*stride
		}
		if length < size {
			targets = append(targets, *z.ring[(position+length)%size].member)
		}
	}
	return targets
}

// crossZoneTargets returns the members of the next zones that the member at the position
// dials as a gateway. A member that is no gateway has none.
func (t topology) crossZoneTargets(index, position int) []Member {
	var targets []Member
	for gateway := range gatewaysPerZone {
		if gateway%len(t.zones[index].ring) != position {
			continue
		}
		for step := 1; step <= zoneFanout && step < len(t.zones); step++ {
			next := t.zones[(index+step)%len(t.zones)].ring
			targets = append(targets, *next[gateway%len(next)].member)
		}
	}
	return targets
}

func compareRingEntries(a, b ringEntry) int {
	return cmp.Or(
		cmp.Compare(a.hash, b.hash),
		compareIncarnations(a.member.Incarnation, b.member.Incarnation),
	)
}

func compareIncarnations(a, b ident.Incarnation) int {
	return cmp.Compare(a, b)
}

func compareLocalities(a, b vm.Locality) int {
	return cmp.Or(
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.AvailabilityZone, b.AvailabilityZone),
	)
}
