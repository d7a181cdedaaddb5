package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/vm"
)

// EngineConfig configures the selection of a model engine by the expected time to
// first token. It applies to requests with a known prompt size.
type EngineConfig struct {
	// PrefillTokensPerSecond is the rate at which an engine processes prompt tokens.
	PrefillTokensPerSecond float64
	// BatchDelay is the time that a full batch adds to the time to first token.
	BatchDelay time.Duration
	// RegionDelay is the penalty of an engine in another availability zone of the
	// region: the network delay plus the price of the traffic, expressed as a delay.
	RegionDelay time.Duration
	// RemoteDelay is the same for an engine in another region.
	RemoteDelay time.Duration
	// CacheHitWeight is the weight of a prompt token that a prefix cache hit saves,
	// relative to one that is processed. It is above 1 because each processed token
	// also delays the requests queued behind it.
	CacheHitWeight float64
	// ReportMaxAge is the age from which the requests in a load report are ignored.
	// Their weight falls linearly with the age of the report and is zero at this age.
	ReportMaxAge time.Duration
	// DefaultPromptTokens is the prompt size assumed for each request of another
	// router that waits at an engine.
	DefaultPromptTokens float64
	// SpeedSamples is the number of random engines whose speed is compared with that of the
	// engine that would be picked without it.
	SpeedSamples int
}

// EngineDefaults returns the configuration for engines that process about 50,000
// prompt tokens a second.
func EngineDefaults() EngineConfig {
	return EngineConfig{
		PrefillTokensPerSecond: 50_000,
		BatchDelay:             400 * time.Millisecond,
		RegionDelay:            2 * time.Millisecond,
		RemoteDelay:            30 * time.Millisecond,
		CacheHitWeight:         3,
		ReportMaxAge:           1500 * time.Millisecond,
		DefaultPromptTokens:    5_000,
		SpeedSamples:           3,
	}
}

// lowestDelay returns the index of the engine with the lowest expected time to first
// token plus distance delay. Two engines are expected to hold the prefix in their
// cache, the one by rendezvous hashing and the one last picked for it. Their cost is
// reduced by the prefill time that a cache hit saves, times CacheHitWeight.
func (p *Picker) lowestDelay(candidates []Candidate[*endpoint.State], request Request) int {
	cached := cachedEngines{-1, -1}
	if request.Prefix != 0 {
		cached = cachedEngines{rendezvousIndex(candidates, request.Prefix), p.lastPickedIndex(candidates, request.Prefix)}
	}
	hitGain := p.config.Engine.CacheHitWeight * float64(request.PrefixTokens) / p.config.Engine.PrefillTokensPerSecond
	best := 0
	var lowest float64
	for index, candidate := range candidates {
		cost := candidate.Cost()
		if slices.Contains(cached[:], index) {
			cost -= hitGain
		}
		if index == 0 || cost < lowest {
			best, lowest = index, cost
		}
	}
	return p.compareSpeeds(candidates, request.Now, best, cached, hitGain)
}

// cachedEngines has the indices of the engines that are expected to hold a prefix. An index
// is -1 if there is none.
type cachedEngines [2]int

// rendezvousIndex returns the index of the engine that ranks highest for the prefix by
// rendezvous hashing. All routers with the same candidates agree on it.
func rendezvousIndex(candidates []Candidate[*endpoint.State], prefix uint64) int {
	best := 0
	var highest uint64
	for index, candidate := range candidates {
		if score := rendezvousScore(prefix, candidate.Target.VM.Name); index == 0 || score > highest {
			best, highest = index, score
		}
	}
	return best
}

// lastPickedIndex returns the index of the endpoint that this process last picked for
// the prefix, or -1 if it is not among the candidates.
func (p *Picker) lastPickedIndex(candidates []Candidate[*endpoint.State], prefix uint64) int {
	picked, ok := p.affinity.Get(prefix)
	if !ok {
		return -1
	}
	return slices.IndexFunc(candidates, func(c Candidate[*endpoint.State]) bool { return c.Target == picked })
}

// rendezvousScore returns the rendezvous hash of an endpoint name for a prefix. It is
// the same in every process.
func rendezvousScore(prefix uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(prefix)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// engineCandidate returns the engine as a candidate. Its load is the expected time to
// first token, increased during a slow start, and its penalty the distance delay, both in
// seconds. The requests of
// this process that await a response are subtracted from those that wait by the load
// report, because PendingPromptTokens has their exact prompt sizes.
func (p *Picker) engineCandidate(state *endpoint.State, request Request) Candidate[*endpoint.State] {
	config := p.config.Engine
	pendingTokens := float64(state.PendingPromptTokens.Load() + request.PromptTokens)
	report := state.Report.Load()
	batchSize := float64(state.InFlight.Load())
	slots := p.config.DefaultSlots
	if report != nil {
		age := request.Now.Sub(report.ReceivedAt)
		freshness := max(0, 1-age.Seconds()/config.ReportMaxAge.Seconds())
		otherWaiting := max(0, int64(report.Waiting)-report.OwnAwaitingResponse)
		pendingTokens += freshness * float64(otherWaiting) * config.DefaultPromptTokens
		batchSize = max(batchSize, freshness*float64(report.InFlight+report.Waiting))
		slots = max(1, report.Slots)
	}
	load := pendingTokens/config.PrefillTokensPerSecond + config.BatchDelay.Seconds()*batchSize/float64(slots)
	return Candidate[*endpoint.State]{
		Target:  state,
		Load:    load / p.slowStartShare(state, request.Now),
		Penalty: p.distanceDelay(p.config.Self.Distance(state.VM.Locality)).Seconds(),
	}
}

// distanceDelay returns the penalty of an engine at the distance.
func (p *Picker) distanceDelay(distance vm.Distance) time.Duration {
	switch distance {
	case vm.SameAvailabilityZone:
		return 0
	case vm.SameRegion:
		return p.config.Engine.RegionDelay
	default:
		return p.config.Engine.RemoteDelay
	}
}
