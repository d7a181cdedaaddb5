// Package locate decides to which routers a caller is sent, and issues idempotency keys
// that name the router.
//
// The quota of a budget should be spread over few processes. Therefore a team is sent to
// a small subset of the routers in its region, chosen by rendezvous hashing: a change of
// membership moves only the share of the member that changed. The subset grows with the
// demand of the team.
//
// # Usage
//
//	response := locate.SelectRouters(view.Members(), locate.Query{
//		Team:       team.Name,
//		Region:     region,
//		SubsetSize: locate.SubsetSize(demand),
//		Fallback:   config.TeamFallback(team),
//		Contact:    locate.Contact{Now: clock.Now(), Bound: bound},
//	})
package locate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/version/homes"
)

// Limits of a response.
const (
	// TTL is how long a caller uses a response. A draining router serves for at least as
	// long.
	TTL = 10 * time.Second
	// MinSubsetSize gives a caller a second router in case the first one fails.
	MinSubsetSize = 2
	// RequestsPerSecondPerRouter is the demand of a team for which its subset has one
	// router.
	RequestsPerSecondPerRouter = 20.0
	// FallbackAddresses is the maximum number of routers of other regions, which come
	// last in a response.
	FallbackAddresses = 2
)

// Address is one router that a caller may use.
type Address struct {
	// Address is the host and port for callers.
	Address          string            `json:"address"`
	VM               string            `json:"vm"`
	Region           string            `json:"region"`
	AvailabilityZone string            `json:"availability_zone"`
	Incarnation      ident.Incarnation `json:"incarnation"`
}

// Response lists routers in the order in which a caller tries them.
type Response struct {
	Addresses []Address     `json:"addresses"`
	TTL       time.Duration `json:"ttl_ns"`
}

// Query is the input of SelectRouters besides the members.
type Query struct {
	Team string
	// Region is the region of the caller.
	Region string
	// SubsetSize is the number of routers in the caller's region over which the team is
	// spread. A value below MinSubsetSize is raised to it.
	SubsetSize int
	// Fallback has the regions besides the caller's own to which it may be sent.
	Fallback homes.Fallback
	Contact  Contact
}

// SubsetSize returns the number of routers over which a team with that demand is spread in
// its region.
func SubsetSize(requestsPerSecond float64) int {
	if math.IsNaN(requestsPerSecond) || requestsPerSecond <= 0 {
		return MinSubsetSize
	}
	share := math.Ceil(requestsPerSecond / RequestsPerSecondPerRouter)
	return max(MinSubsetSize, int(min(share, math.MaxInt32)))
}

// SelectRouters returns the routers for a query: those of the caller's region first, then
// up to FallbackAddresses of the other regions to which the team may be sent. If some of its
// routes have homes, these are the homes that they have in common; other regions are used
// only if there is no router in these, nor in the caller's region, and only for a team that
// also has routes without homes.
//
// Draining and failed (gone) routers are left out, and so are those with which contact was
// lost for longer than the bound. Suspected routers of the caller's region are listed only
// if none there is live, and those of other regions only if none in any of these is live.
// They come last.
func SelectRouters(members []member.Member, query Query) Response {
	regional, others := split(members, query)
	chosen := selectUsable(regional, max(query.SubsetSize, MinSubsetSize))
	chosen = append(chosen, selectUsable(fallbackRouters(others, query.Fallback, len(regional) == 0), FallbackAddresses)...)
	if len(aliveOnly(regional)) == 0 {
		chosen = aliveFirst(chosen)
	}
	response := Response{Addresses: make([]Address, 0, len(chosen)), TTL: TTL}
	for _, router := range chosen {
		response.Addresses = append(response.Addresses, Address{
			Address:          router.CallerAddress,
			VM:               router.VM,
			Region:           router.Region,
			AvailabilityZone: router.AvailabilityZone,
			Incarnation:      router.Incarnation,
		})
	}
	return response
}

// split returns the usable routers of the caller's region and those of other regions,
// both in the team's order.
func split(members []member.Member, query Query) (regional, others []member.Member) {
	for _, router := range ranked(members, query.Team) {
		switch {
		case router.State != member.Live && router.State != member.Suspected || query.Contact.lost(router):
		case router.Region == query.Region:
			regional = append(regional, router)
		default:
			others = append(others, router)
		}
	}
	return regional, others
}

// fallbackRouters returns the routers of other regions to which a caller may be sent. It is
// isolated if its own region has no router.
func fallbackRouters(others []member.Member, fallback homes.Fallback, isolated bool) []member.Member {
	fallback.Exclusive = fallback.Exclusive || fallback.Bound && !isolated
	return inFallback(others, fallback)
}

// selectUsable returns the first count live routers, or the first count suspected
// ones if none is live.
func selectUsable(routers []member.Member, count int) []member.Member {
	candidates := aliveOnly(routers)
	if len(candidates) == 0 {
		candidates = routers
	}
	return slices.Clone(candidates[:min(count, len(candidates))])
}

func aliveOnly(routers []member.Member) []member.Member {
	return slices.DeleteFunc(slices.Clone(routers), func(m member.Member) bool {
		return m.State != member.Live
	})
}

// aliveFirst moves suspected routers to the end and otherwise keeps the order.
func aliveFirst(routers []member.Member) []member.Member {
	slices.SortStableFunc(routers, func(a, b member.Member) int {
		return cmp.Compare(suspectedRank(a), suspectedRank(b))
	})
	return routers
}

func suspectedRank(router member.Member) int {
	if router.State == member.Suspected {
		return 1
	}
	return 0
}

// ranked sorts the members by their rendezvous weight for the team, highest first.
func ranked(members []member.Member, team string) []member.Member {
	type entry struct {
		weight uint64
		member member.Member
	}
	entries := make([]entry, len(members))
	for index, router := range members {
		entries[index] = entry{weight: rendezvousWeight(team, router), member: router}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.member.Incarnation, b.member.Incarnation),
		)
	})
	sorted := make([]member.Member, len(entries))
	for index, each := range entries {
		sorted[index] = each.member
	}
	return sorted
}

// rendezvousWeight hashes the incarnation of the process and not its VM: a replaced
// VM has no quota, so its successor need not serve the same teams.
func rendezvousWeight(team string, router member.Member) uint64 {
	return xxhash.Sum64String(team + "\x00" + string(router.Incarnation))
}
