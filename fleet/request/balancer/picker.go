package balancer

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/process/vm"
)

// Config configures a Picker.
type Config struct {
	// Self is the locality of this process.
	Self vm.Locality
	// RegionPenalty is added to the load of an endpoint in another availability zone
	// of the region, in requests per slot.
	RegionPenalty float64
	// RemotePenalty is added to the load of an endpoint in another region, in requests
	// per slot.
	RemotePenalty float64
	// ReportMaxAge is the age above which the requests in a load report are ignored.
	ReportMaxAge time.Duration
	// DefaultSlots is the number of slots assumed for an endpoint without a load
	// report.
	DefaultSlots int
	// MaxPrefixes bounds the prefixes in the affinity cache.
	MaxPrefixes int
	// MaxPrefixCostRatio bounds the cost of the endpoint last picked for a prefix,
	// relative to that of the policy's pick. Above this ratio the policy's pick is used.
	MaxPrefixCostRatio float64
	// SlowStart is the time in which a new or readmitted endpoint reaches its full
	// share of requests.
	SlowStart time.Duration
	// Ejection configures the outlier ejection of failing endpoints.
	Ejection EjectionConfig
	// Engine configures the selection for requests with a known prompt size.
	Engine EngineConfig
}

// Defaults returns the configuration for a process of the locality.
func Defaults(self vm.Locality) Config {
	return Config{
		Self:               self,
		RegionPenalty:      0.1,
		RemotePenalty:      1,
		ReportMaxAge:       5 * time.Second,
		DefaultSlots:       8,
		MaxPrefixes:        4096,
		MaxPrefixCostRatio: 2,
		SlowStart:          10 * time.Second,
		Ejection:           EjectionDefaults(),
		Engine:             EngineDefaults(),
	}
}

// Request describes the attempt for which an endpoint is picked.
type Request struct {
	Now time.Time
	// Prefix is the hash of the prompt's prefix, or zero if there is none.
	Prefix uint64
	// PromptTokens is the size of the prompt, or zero if it is not known.
	PromptTokens int64
	// PrefixTokens is the size of the prefix.
	PrefixTokens int64
	// MaxInFlight bounds the requests of this process at one endpoint. Zero is no
	// bound.
	MaxInFlight int
	// Avoid lists the endpoints that are picked only as a last resort, such as those
	// of earlier attempts.
	Avoid []*endpoint.State
}

// Picker picks the endpoint of each attempt from the members of a pool. It is safe
// for concurrent use if its policy is.
type Picker struct {
	config   Config
	policy   Policy[*endpoint.State]
	affinity *AffinityCache[uint64, *endpoint.State]
	ejector  *ejector
	// source samples engines by their speed. Nil samples none.
	source random.Source
	// heldBack counts the picks that passed over a cold endpoint.
	heldBack atomic.Int64
}

// HeldBack returns the number of picks since the start that passed over a cold endpoint,
// because this process had sent its share of requests or has none.
func (p *Picker) HeldBack() int64 {
	return p.heldBack.Load()
}

// New returns a picker with the PowerOfTwo policy.
func New(config Config, source random.Source) *Picker {
	picker := NewWith(config, PowerOfTwo[*endpoint.State]{Source: source})
	picker.source = source
	return picker
}

// NewWith returns a picker with the policy. It samples no engines by their speed.
func NewWith(config Config, policy Policy[*endpoint.State]) *Picker {
	return &Picker{
		config:   config,
		policy:   policy,
		affinity: NewAffinityCache[uint64, *endpoint.State](config.MaxPrefixes),
		ejector:  &ejector{config: config.Ejection},
	}
}

// Pick returns an endpoint and counts the request as in flight there, or returns
// false if no member accepts it. Endpoints in request.Avoid and endpoints that
// missed too many load polls are a last resort. Each true result must be followed
// by one call of Done.
func (p *Picker) Pick(members []*endpoint.State, request Request) (*endpoint.State, bool) {
	preferred, lastResort := p.candidates(members, request)
	if state, ok := p.pickFrom(preferred, request); ok {
		return state, true
	}
	return p.pickFrom(lastResort, request)
}

// pickFrom tries the candidates, best first, until one accepts the request. It
// modifies the slice.
func (p *Picker) pickFrom(candidates []Candidate[*endpoint.State], request Request) (*endpoint.State, bool) {
	for len(candidates) > 0 {
		index := p.selectIndex(candidates, request)
		state := candidates[index].Target
		if p.acquire(state, request) {
			p.recordAffinity(request.Prefix, state)
			return state, true
		}
		candidates = slices.Delete(candidates, index, index+1)
	}
	return nil, false
}

// Done removes the request from those that Pick counted as in flight at the endpoint,
// and records the result of the attempt for outlier ejection.
func (p *Picker) Done(members []*endpoint.State, state *endpoint.State, result Result, now time.Time) {
	state.Release()
	p.ejector.recordResult(members, state, result, now)
}

// ObserveFailure records for outlier ejection that an endpoint fails a request that goes on.
func (p *Picker) ObserveFailure(members []*endpoint.State, state *endpoint.State, now time.Time) {
	p.ejector.recordResult(members, state, Failure, now)
}

// acquire counts the request as in flight at the endpoint and returns true, unless the
// endpoint is ejected, at its limit, or cold without a share of this process left.
func (p *Picker) acquire(state *endpoint.State, request Request) bool {
	if !p.ejector.tryAdmit(state, request.Now) {
		return false
	}
	if state.Acquire(state.Limit(request.MaxInFlight)) {
		if state.Cold.Take(request.Now) {
			return true
		}
		state.Release()
	}
	p.ejector.cancelTrial(state)
	return false
}

// candidates returns the members that may be picked, sorted by penalty. Endpoints to
// avoid and unresponsive ones are returned apart, as a last resort.
func (p *Picker) candidates(members []*endpoint.State, request Request) (preferred, lastResort []Candidate[*endpoint.State]) {
	preferred = make([]Candidate[*endpoint.State], 0, len(members))
	heldBack := false
	for _, state := range members {
		if !state.Usable() || state.Paused(request.Now) || !p.ejector.selectable(state, request.Now) {
			continue
		}
		if !state.Cold.Allows(request.Now) {
			heldBack = true
			continue
		}
		candidate := p.candidate(state, request)
		if p.ejector.unresponsive(state) || slices.Contains(request.Avoid, state) {
			lastResort = append(lastResort, candidate)
			continue
		}
		preferred = append(preferred, candidate)
	}
	if heldBack {
		p.heldBack.Add(1)
	}
	sortByPenalty(preferred)
	sortByPenalty(lastResort)
	return preferred, lastResort
}

func sortByPenalty(candidates []Candidate[*endpoint.State]) {
	slices.SortStableFunc(candidates, func(a, b Candidate[*endpoint.State]) int {
		return cmp.Compare(a.Penalty, b.Penalty)
	})
}

// candidate returns the endpoint as a candidate for the request.
func (p *Picker) candidate(state *endpoint.State, request Request) Candidate[*endpoint.State] {
	if request.PromptTokens > 0 {
		return p.engineCandidate(state, request)
	}
	now := request.Now
	return Candidate[*endpoint.State]{
		Target:  state,
		Load:    p.expectedLoad(state, now) * state.Speed.Factor(now) / p.slowStartShare(state, now),
		Penalty: p.distancePenalty(p.config.Self.Distance(state.VM.Locality)),
	}
}

// expectedLoad returns the expected number of requests per slot of the endpoint, the
// one to be sent included. Of the requests in a load report only those of other
// processes are added, because this process counts its own exactly.
func (p *Picker) expectedLoad(state *endpoint.State, now time.Time) float64 {
	requests := state.InFlight.Load() + 1
	slots := p.config.DefaultSlots
	report := state.Report.Load()
	if report != nil && report.Slots > 0 {
		slots = report.Slots
	}
	if report != nil && now.Sub(report.ReceivedAt) <= p.config.ReportMaxAge {
		requests += max(0, int64(report.InFlight+report.Waiting)-report.OwnInFlight)
	}
	return float64(requests) / float64(slots)
}

// slowStartShare returns the fraction of its full share of requests that the
// endpoint gets. It rises from 0.1 to 1 during a slow start; loads are divided by it.
func (p *Picker) slowStartShare(state *endpoint.State, now time.Time) float64 {
	since := state.SlowStartSince.Load()
	elapsed := now.Sub(since)
	if since.IsZero() || elapsed >= p.config.SlowStart {
		return 1
	}
	return max(0.1, elapsed.Seconds()/p.config.SlowStart.Seconds())
}

// distancePenalty returns the penalty of an endpoint at the distance, in requests per
// slot.
func (p *Picker) distancePenalty(distance vm.Distance) float64 {
	switch distance {
	case vm.SameAvailabilityZone:
		return 0
	case vm.SameRegion:
		return p.config.RegionPenalty
	default:
		return p.config.RemotePenalty
	}
}

// selectIndex returns the index of the candidate to try. For a request with a known
// prompt size that is the one with the lowest expected delay. For any other request
// with a prefix it is the endpoint last picked for the prefix, unless its cost is more
// than MaxPrefixCostRatio times that of the policy's pick.
func (p *Picker) selectIndex(candidates []Candidate[*endpoint.State], request Request) int {
	if request.PromptTokens > 0 {
		return p.lowestDelay(candidates, request)
	}
	index := LowestCost(p.policy, candidates)
	lastPick := -1
	if request.Prefix != 0 {
		lastPick = p.lastPickedIndex(candidates, request.Prefix)
	}
	if lastPick < 0 || candidates[lastPick].Cost() > p.config.MaxPrefixCostRatio*candidates[index].Cost() {
		return index
	}
	return lastPick
}

// recordAffinity stores the endpoint as the one last picked for the prefix, if any.
func (p *Picker) recordAffinity(prefix uint64, state *endpoint.State) {
	if prefix != 0 {
		p.affinity.Put(prefix, state)
	}
}
