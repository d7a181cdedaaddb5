package balancer

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/process/vm"
)

// Config sets the weights and bounds of a Picker.
type Config struct {
	// Self is where this process stands.
	Self vm.Locality
	// RegionPenalty is the load that the way within the region is worth.
	RegionPenalty float64
	// RemotePenalty is the load that the way to another region is worth.
	RemotePenalty float64
	// ReportMaxAge is how long a load report counts.
	ReportMaxAge time.Duration
	// DefaultSlots is the number of slots of an endpoint without a report.
	DefaultSlots int
	// MaxPrefixes bounds the prefixes that are remembered.
	MaxPrefixes int
	// MaxPrefixCostRatio is how far above the choice's load, as a factor, an endpoint
	// may be loaded to be preferred for its prefix cache.
	MaxPrefixCostRatio float64
	// SlowStart is how long a new endpoint takes to reach its full share.
	SlowStart time.Duration
	// Ejection bounds the ejection of failing endpoints.
	Ejection EjectionConfig
	// Engine sets how requests with a known prompt are placed.
	Engine EngineConfig
}

// Defaults returns the settings for a process at the place.
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

// RecordRequest describes the attempt to place. Prefix is zero if there is none. Tokens
// is the size of the prompt if it is known, and Shared that of its prefix.
type Request struct {
	Now          time.Time
	Prefix       uint64
	PromptTokens int64
	PrefixTokens int64
	MaxInFlight  int
	Avoid        []*endpoint.State
}

// Picker picks endpoints of one pool. It is safe for concurrent use if its
// source is.
type Picker struct {
	config   Config
	policy   Policy[*endpoint.State]
	affinity *Affinity[uint64, *endpoint.State]
	ejector  *ejector
}

// New returns a picker by power of two choices.
func New(config Config, source random.Source) *Picker {
	return NewWith(config, PowerOfTwo[*endpoint.State]{Source: source})
}

// NewWith returns a picker by the policy.
func NewWith(config Config, policy Policy[*endpoint.State]) *Picker {
	return &Picker{
		config:   config,
		policy:   policy,
		affinity: NewAffinity[uint64, *endpoint.State](config.MaxPrefixes),
		ejector:  &ejector{config: config.Ejection},
	}
}

// Pick returns an endpoint and counts the request there, or false if none may
// take it. Endpoints to avoid, and those that miss polls, come last. Each
// success must be followed by one Done.
func (p *Picker) Pick(members []*endpoint.State, request Request) (*endpoint.State, bool) {
	preferred, others := p.candidates(members, request)
	if state, ok := p.pickFrom(preferred, request); ok {
		return state, true
	}
	return p.pickFrom(others, request)
}

func (p *Picker) pickFrom(candidates []Candidate[*endpoint.State], request Request) (*endpoint.State, bool) {
	for len(candidates) > 0 {
		index := p.prefer(candidates, request)
		state := candidates[index].Target
		if p.acquire(state, request) {
			p.remember(request.Prefix, state)
			return state, true
		}
		candidates = slices.Delete(candidates, index, index+1)
	}
	return nil, false
}

// Release ends what Pick began.
func (p *Picker) Done(members []*endpoint.State, state *endpoint.State, result Result, now time.Time) {
	state.Release()
	p.ejector.record(members, state, result, now)
}

func (p *Picker) acquire(state *endpoint.State, request Request) bool {
	if !p.ejector.admit(state, request.Now) {
		return false
	}
	if state.Acquire(state.Limit(request.MaxInFlight)) {
		return true
	}
	p.ejector.withdraw(state)
	return false
}

// candidates lists the usable members by price, those of last resort apart.
func (p *Picker) candidates(members []*endpoint.State, request Request) (preferred, others []Candidate[*endpoint.State]) {
	preferred = make([]Candidate[*endpoint.State], 0, len(members))
	for _, state := range members {
		if !state.Usable() || !p.ejector.open(state, request.Now) {
			continue
		}
		candidate := p.candidate(state, request)
		if p.ejector.silent(state) || slices.Contains(request.Avoid, state) {
			others = append(others, candidate)
			continue
		}
		preferred = append(preferred, candidate)
	}
	sortByPrice(preferred)
	sortByPrice(others)
	return preferred, others
}

func sortByPrice(candidates []Candidate[*endpoint.State]) {
	slices.SortStableFunc(candidates, func(a, b Candidate[*endpoint.State]) int {
		return cmp.Compare(a.Penalty, b.Penalty)
	})
}

func (p *Picker) candidate(state *endpoint.State, request Request) Candidate[*endpoint.State] {
	if request.PromptTokens > 0 {
		return p.engine(state, request)
	}
	now := request.Now
	return Candidate[*endpoint.State]{
		Target:  state,
		Load:    p.load(state, now) / p.share(state, now),
		Penalty: p.price(p.config.Self.Distance(state.VM.Locality)),
	}
}

// load returns the expected open requests for each slot, one more included. Of
// a report only what other processes have open there counts, because the own
// count is exact.
func (p *Picker) load(state *endpoint.State, now time.Time) float64 {
	open := state.InFlight.Load() + 1
	slots := p.config.DefaultSlots
	report := state.Report.Load()
	if report != nil && report.Slots > 0 {
		slots = report.Slots
	}
	if report != nil && now.Sub(report.ReceivedAt) <= p.config.ReportMaxAge {
		open += max(0, int64(report.InFlight+report.Waiting)-report.OwnInFlight)
	}
	return float64(open) / float64(slots)
}

// share returns the part of its full share that a new endpoint may take.
func (p *Picker) share(state *endpoint.State, now time.Time) float64 {
	since := state.SlowStartSince.Load()
	passed := now.Sub(since)
	if since.IsZero() || passed >= p.config.SlowStart {
		return 1
	}
	return max(0.1, passed.Seconds()/p.config.SlowStart.Seconds())
}

func (p *Picker) price(distance vm.Distance) float64 {
	switch distance {
	case vm.SameAvailabilityZone:
		return 0
	case vm.SameRegion:
		return p.config.RegionPenalty
	default:
		return p.config.RemotePenalty
	}
}

// prefer returns the index of the endpoint whose cache holds the prefix, unless
// it is loaded too far above the choice that would be made without.
func (p *Picker) prefer(candidates []Candidate[*endpoint.State], request Request) int {
	if request.PromptTokens > 0 {
		return p.quickest(candidates, request)
	}
	index := LowestCost(p.policy, candidates)
	held := -1
	if request.Prefix != 0 {
		held = p.last(candidates, request.Prefix)
	}
	if held < 0 || candidates[held].Cost() > p.config.MaxPrefixCostRatio*candidates[index].Cost() {
		return index
	}
	return held
}

func (p *Picker) remember(prefix uint64, state *endpoint.State) {
	if prefix != 0 {
		p.affinity.Put(prefix, state)
	}
}
