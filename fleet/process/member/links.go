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
	// relays is how many processes of an availability zone dial other ones.
	relays = 3
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
	linked := layout(members, func(m Member) bool { return m.State != Gone }).links(self, fanout)
	if !slices.ContainsFunc(members, func(m Member) bool { return m.State == Suspected }) {
		return linked
	}
	live := layout(members, func(m Member) bool {
		return m.State != Gone && (m.State != Suspected || m.Incarnation == self)
	})
	linked = append(linked, live.links(self, fanout)...)
	slices.SortFunc(linked, func(a, b Member) int {
		return compareIncarnations(a.Incarnation, b.Incarnation)
	})
	return slices.CompactFunc(linked, func(a, b Member) bool {
		return a.Incarnation == b.Incarnation
	})
}

// seat is a member's place on the ring of its availability zone.
type seat struct {
	hash   uint64
	member *Member
}

// zone is one availability zone: its members on a ring.
type zone struct {
	place vm.Locality
	ring  []seat
}

type fleet struct {
	members []*Member
	zones   []zone
}

func layout(members []Member, keep func(Member) bool) fleet {
	rings := make(map[vm.Locality][]seat)
	var laid fleet
	for index := range members {
		held := &members[index]
		if keep(*held) {
			laid.members = append(laid.members, held)
			taken := seat{hash: xxhash.Sum64String(string(held.Incarnation)), member: held}
			rings[held.Locality] = append(rings[held.Locality], taken)
		}
	}
	for place, ring := range rings {
		slices.SortFunc(ring, byHash)
		laid.zones = append(laid.zones, zone{place: place, ring: ring})
	}
	slices.SortFunc(laid.zones, func(a, b zone) int {
		return comparePlaces(a.place, b.place)
	})
	return laid
}

func (f fleet) links(self ident.Incarnation, fanout int) []Member {
	if len(f.members) <= FullMeshLimit {
		return f.mesh(self)
	}
	for index, own := range f.zones {
		position := slices.IndexFunc(own.ring, func(s seat) bool { return s.member.Incarnation == self })
		if position >= 0 {
			return append(own.successors(position, fanout), f.across(index, position)...)
		}
	}
	return nil
}

func (f fleet) mesh(self ident.Incarnation) []Member {
	var linked []Member
	for _, held := range f.members {
		if held.Incarnation != self {
			linked = append(linked, *held)
		}
	}
	return linked
}

// successors returns the next two on the ring, then chords of growing length.
func (z zone) successors(position, fanout int) []Member {
	size := len(z.ring)
	stride := max(1, int(math.Sqrt(float64(size))))
	var linked []Member
	for step := 1; step <= fanout; step++ {
		length := step
		if step > 2 {
			length = 2 + (step-2)*stride
		}
		if length < size {
			linked = append(linked, *z.ring[(position+length)%size].member)
		}
	}
	return linked
}

// across returns the relays of the next zones that stand opposite this member.
func (f fleet) across(index, position int) []Member {
	var linked []Member
	for relay := range relays {
		if relay%len(f.zones[index].ring) != position {
			continue
		}
		for step := 1; step <= zoneFanout && step < len(f.zones); step++ {
			next := f.zones[(index+step)%len(f.zones)].ring
			linked = append(linked, *next[relay%len(next)].member)
		}
	}
	return linked
}

func byHash(a, b seat) int {
	return cmp.Or(
		cmp.Compare(a.hash, b.hash),
		compareIncarnations(a.member.Incarnation, b.member.Incarnation),
	)
}

func compareIncarnations(a, b ident.Incarnation) int {
	return cmp.Compare(a, b)
}

func comparePlaces(a, b vm.Locality) int {
	return cmp.Or(
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.AvailabilityZone, b.AvailabilityZone),
	)
}
