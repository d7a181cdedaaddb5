package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/vm"
)

// EngineConfig sets how requests are placed at model engines, by the expected
// time to their first token.
type EngineConfig struct {
	// PrefillTokensPerSecond is how fast an engine reads prompts.
	PrefillTokensPerSecond float64
	// BatchDelay is what a full batch adds to the time to the first token.
	BatchDelay time.Duration
	// RegionDelay and RemoteDelay are what the way within the region and to another
	// one is worth, its price included.
	RegionDelay time.Duration
	RemoteDelay time.Duration
	// CacheHitWeight is how much more a token that need not be read counts than one
	// that must be: each also holds up the requests behind it.
	CacheHitWeight float64
	// ReportMaxAge is the age at which a report of waiting requests counts no more.
	ReportMaxAge time.Duration
	// DefaultPromptTokens is the number of tokens assumed of a prompt of another router.
	DefaultPromptTokens float64
}

// EngineDefaults returns the settings for engines that read some 50,000 tokens a
// second.
func EngineDefaults() EngineConfig {
	return EngineConfig{
		PrefillTokensPerSecond: 50_000,
		BatchDelay:             400 * time.Millisecond,
		RegionDelay:            2 * time.Millisecond,
		RemoteDelay:            30 * time.Millisecond,
		CacheHitWeight:         3,
		ReportMaxAge:           1500 * time.Millisecond,
		DefaultPromptTokens:    5_000,
	}
}

// quickest returns the index of the engine that is expected to begin to answer
// first. That one is preferred that holds the shared part of the prompt.
func (p *Picker) quickest(candidates []Candidate[*endpoint.State], request Request) int {
	first, last := -1, -1
	if request.Prefix != 0 {
		first, last = agreed(candidates, request.Prefix), p.last(candidates, request.Prefix)
	}
	best := 0
	var least float64
	for index, candidate := range candidates {
		cost := candidate.Cost()
		if index == first || index == last {
			cost -= p.config.Engine.CacheHitWeight * float64(request.PrefixTokens) / p.config.Engine.PrefillTokensPerSecond
		}
		if index == 0 || cost < least {
			best, least = index, cost
		}
	}
	return best
}

// agreed returns the index of the first holder of a prefix by rendezvous, on which
// all routers agree.
func agreed(candidates []Candidate[*endpoint.State], prefix uint64) int {
	first := 0
	var rank uint64
	for index, candidate := range candidates {
		if score := rendezvous(prefix, candidate.Target.VM.Name); index == 0 || score > rank {
			first, rank = index, score
		}
	}
	return first
}

// last returns the index of the endpoint that this router chose last for a prefix,
// or -1.
func (p *Picker) last(candidates []Candidate[*endpoint.State], prefix uint64) int {
	chosen, known := p.affinity.Get(prefix)
	if !known {
		return -1
	}
	return slices.IndexFunc(candidates, func(c Candidate[*endpoint.State]) bool { return c.Target == chosen })
}

// rendezvous ranks an endpoint for a prefix, in the same way in every process.
func rendezvous(prefix uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(prefix)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// engine returns an engine as a candidate, with its load and price in seconds.
func (p *Picker) engine(state *endpoint.State, request Request) Candidate[*endpoint.State] {
	config := p.config.Engine
	unread := float64(state.PendingPromptTokens.Load() + request.PromptTokens)
	report := state.Report.Load()
	batch := float64(state.InFlight.Load())
	slots := p.config.DefaultSlots
	if report != nil {
		age := request.Now.Sub(report.ReceivedAt)
		fresh := max(0, 1-age.Seconds()/config.ReportMaxAge.Seconds())
		others := max(0, int64(report.Waiting)-report.OwnAwaitingResponse)
		unread += fresh * float64(others) * config.DefaultPromptTokens
		batch = max(batch, fresh*float64(report.InFlight+report.Waiting))
		slots = max(1, report.Slots)
	}
	load := unread/config.PrefillTokensPerSecond + config.BatchDelay.Seconds()*batch/float64(slots)
	return Candidate[*endpoint.State]{
		Target:  state,
		Load:    load / p.share(state, request.Now),
		Penalty: p.delay(p.config.Self.Distance(state.VM.Locality)).Seconds(),
	}
}

func (p *Picker) delay(distance vm.Distance) time.Duration {
	switch distance {
	case vm.SameAvailabilityZone:
		return 0
	case vm.SameRegion:
		return p.config.Engine.RegionDelay
	default:
		return p.config.Engine.RemoteDelay
	}
}
