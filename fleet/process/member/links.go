package member

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// Shape of the links.
const (
	// FullMeshLimit is the largest fleet in which every process dials every other.
	FullMeshLimit = 12
	// DefaultFanout is how many processes of its own availability zone a process
	// dials.
	DefaultFanout = 3
	// gatewaysPerZone is how many processes of an availability zone dial other ones.
	gatewaysPerZone = 3
	// zoneFanout is how many availability zones a relay dials.
	zoneFanout = 2
)

// DialTargets returns the members that the process dials. In a large fleet each
// availability zone is a ring by hashed incarnation with chords, and a few
// relays join it to the next zones on a ring of all zones.
//
// Suspected members are dialled on, so that a healed partition is found. They
// never stand in for live ones: the links of the live fleet are added.
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

// ringEntry is a member's place on the ring of its availability zone.
type ringEntry struct {
	hash   uint64
	member *Member
}

// zone is one availability zone: its members on a ring.
type zone struct {
	locality vm.Locality
	ring     []ringEntry
}

type topology struct {
	members []*Member
	zones   []zone
}

func newTopology(members []Member, keep func(Member) bool) topology {
	rings := make(map[vm.Locality][]ringEntry)
	var built topology
	for index := range members {
		held := &members[index]
		if keep(*held) {
			built.members = append(built.members, held)
			entry := ringEntry{hash: xxhash.Sum64String(string(held.Incarnation)), member: held}
			rings[held.Locality] = append(rings[held.Locality], entry)
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

func (f topology) targets(self ident.Incarnation, fanout int) []Member {
	if len(f.members) <= FullMeshLimit {
		return f.fullMesh(self)
	}
	for index, own := range f.zones {
		position := slices.IndexFunc(own.ring, func(s ringEntry) bool { return s.member.Incarnation == self })
		if position >= 0 {
			return append(own.ringTargets(position, fanout), f.crossZoneTargets(index, position)...)
		}
	}
	return nil
}

func (f topology) fullMesh(self ident.Incarnation) []Member {
	var targets []Member
	for _, held := range f.members {
		if held.Incarnation != self {
			targets = append(targets, *held)
		}
	}
	return targets
}

// ringTargets returns the next two on the ring, then chords of growing length.
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

// crossZoneTargets returns the relays of the next zones that stand opposite this member.
func (f topology) crossZoneTargets(index, position int) []Member {
	var targets []Member
	for gateway := range gatewaysPerZone {
		if gateway%len(f.zones[index].ring) != position {
			continue
		}
		for step := 1; step <= zoneFanout && step < len(f.zones); step++ {
			next := f.zones[(index+step)%len(f.zones)].ring
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
