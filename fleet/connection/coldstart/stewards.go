package coldstart

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

// StewardsPerEndpoint is the number of processes that share the rate of a cold endpoint.
// With fewer processes a part of the rate stays unused: a process that knows only itself
// must not take all of it.
const StewardsPerEndpoint = 4

// SettleTime is how long after its start a process sends nothing to cold endpoints. Its
// list may lack processes that started at the same time.
const SettleTime = 5 * time.Second

// Stewards selects the processes that share the rate of each cold endpoint. It is
// immutable.
type Stewards struct {
	byRegion map[string][]string
	all      []string
}

// NewStewards selects from the VMs on which routers run. Only those count that callers
// are sent to, if the list contains the power of the VMs.
func NewStewards(routers []vm.VM) Stewards {
	byLocality := make(map[vm.Locality][]member.Member)
	for _, router := range routers {
		if router.State != vm.Leaving {
			byLocality[router.Locality] = append(byLocality[router.Locality], member.Member{
				Incarnation: ident.Incarnation(router.Name), VM: router.Name, Power: router.Power,
			})
		}
	}
	stewards := Stewards{byRegion: make(map[string][]string)}
	for locality, candidates := range byLocality {
		if slices.ContainsFunc(candidates, func(m member.Member) bool { return m.Power > 0 }) {
			candidates = member.PreferredRouters(candidates)
		}
		for _, candidate := range candidates {
			stewards.byRegion[locality.Region] = append(stewards.byRegion[locality.Region], candidate.VM)
			stewards.all = append(stewards.all, candidate.VM)
		}
	}
	return stewards
}

// Limit returns the part of the rate, in requests per second, that the process on the VM
// self has at the endpoint. Endpoints have stewards in their own region if it has routers,
// since a partition between regions then separates few stewards from their endpoints.
func (s Stewards) Limit(self string, endpoint vm.VM, rate float64) Limit {
	if !(rate > 0) {
		return Limit{}
	}
	limit := Limit{Interval: time.Second}
	total := int(rate)
	if total == 0 {
		total = 1
		limit.Interval = time.Duration(math.Ceil(float64(time.Second) / rate))
	}
	candidates := s.byRegion[endpoint.Region]
	if len(candidates) == 0 {
		candidates = s.all
	}
	rank := rankOf(candidates, self, endpoint.Name)
	parts := min(StewardsPerEndpoint, total)
	if rank < 0 || rank >= parts {
		return limit
	}
	limit.Requests = total / parts
	if rank < total%parts {
		limit.Requests++
	}
	return limit
}

// rankOf returns the number of candidates that rank before self for the endpoint, or -1
// if self is no candidate.
func rankOf(candidates []string, self, endpoint string) int {
	if !slices.Contains(candidates, self) {
		return -1
	}
	own := score(endpoint, self)
	rank := 0
	for _, candidate := range candidates {
		if cmp.Or(cmp.Compare(score(endpoint, candidate), own), cmp.Compare(candidate, self)) > 0 {
			rank++
		}
	}
	return rank
}

// score is the rendezvous hash of a process for an endpoint.
func score(endpoint, process string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(xxhash.Sum64String(endpoint))
	_, _ = digest.WriteString(process)
	return digest.Sum64()
}
