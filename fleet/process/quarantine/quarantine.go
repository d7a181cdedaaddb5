// Package quarantine finds parts of prompts under which endpoints crash, so that
// requests with such a part can be refused.
//
// A request whose connection breaks before its response has begun is a suspect, and so
// is each part of its prompt that other requests share. A part under which any response
// begins is cleared: an endpoint that crashes because of a part does so before it has
// written anything. A part that is a suspect of enough requests and crashes is
// quarantined.
//
// Requests with one part arrive at any process, so that processes exchange failures and
// cleared parts. A Tracker belongs to the control thread; traffic reads its View.
//
// # Usage
//
//	if tracker.Add(failure, now) || tracker.Clear(part) {
//		publish(tracker.View())
//		forwardToPeers(failure, part)
//	}
//	tracker.Expire(now)
//
//	if part, ok := view.Quarantined(parts); ok {
//		return refusal(part)
//	}
package quarantine

import (
	"maps"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// Part is the id of a part of a prompt.
type Part string

// Failure reports that the connection to an endpoint broke before the response to a
// request had begun.
type Failure struct {
	Request  ident.Request `cbor:"request"`
	Endpoint string        `cbor:"endpoint"`
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part `cbor:"parts"`
	// Age is the time since the failure.
	Age time.Duration `cbor:"age"`
}

// Config sets the thresholds of a Tracker.
type Config struct {
	// MinRequests is the number of different requests that must have failed with a part.
	MinRequests int
	// MinCrashes is the number of crashes in which they must have failed.
	MinCrashes int
	// MinEndpoints is the number of endpoints that must have crashed. One faulty endpoint
	// alone does not make a part a cause.
	MinEndpoints int
	// CrashInterval separates two crashes of an endpoint that starts again under its
	// name.
	CrashInterval time.Duration
	// Memory is how long a failure counts.
	Memory time.Duration
	// MaxParts bounds the number of suspects.
	MaxParts int
	// MaxFailures bounds the failures that are kept for one part.
	MaxFailures int
	// MaxKnown bounds the attempts in Tracker.Known. Further failures are ignored until
	// older ones are forgotten.
	MaxKnown int
}

// DefaultMemory is how long a failure counts by default.
const DefaultMemory = 2 * time.Minute

// Defaults returns the thresholds for endpoints that are back some seconds after a
// crash.
func Defaults() Config {
	return Config{
		MinRequests:   3,
		MinCrashes:    3,
		MinEndpoints:  2,
		CrashInterval: time.Second,
		Memory:        DefaultMemory,
		MaxParts:      1024,
		MaxFailures:   16,
		MaxKnown:      16_384,
	}
}

// Attempt identifies a failed attempt.
type Attempt struct {
	Request  ident.Request `json:"request"`
	Endpoint string        `json:"endpoint"`
}

// Suspicion is a failure as it counts against one part.
type Suspicion struct {
	Attempt
	At time.Time `json:"at"`
}

// Tracker holds the suspects. It is not safe for concurrent use.
type Tracker struct {
	Config Config
	// Suspects has the failures of each part, in the order of their time.
	Suspects map[Part][]Suspicion
	// Known has the time of each failure that counted, also against parts that were
	// cleared since: peers pass a failure on in several ways, and its last copy can arrive
	// after the parts were cleared.
	Known map[Attempt]time.Time
}

// New returns a tracker without suspects.
func New(config Config) *Tracker {
	return &Tracker{Config: config, Suspects: make(map[Part][]Suspicion), Known: make(map[Attempt]time.Time)}
}

// Add counts a failure against the parts of its request and reports whether it was not
// known yet.
func (t *Tracker) Add(failure Failure, now time.Time) bool {
	attempt := Attempt{Request: failure.Request, Endpoint: failure.Endpoint}
	_, known := t.Known[attempt]
	if known || failure.Age < 0 || failure.Age >= t.Config.Memory || len(t.Known) >= t.Config.MaxKnown {
		return false
	}
	suspicion := Suspicion{Attempt: attempt, At: now.Add(-failure.Age)}
	t.Known[attempt] = suspicion.At
	for _, part := range failure.Parts {
		t.addSuspicion(part, suspicion)
	}
	return true
}

func (t *Tracker) addSuspicion(part Part, suspicion Suspicion) {
	failures := t.Suspects[part]
	if len(failures) >= t.Config.MaxFailures {
		return
	}
	if len(failures) == 0 && len(t.Suspects) >= t.Config.MaxParts {
		t.dropOldest()
	}
	failures = append(failures, suspicion)
	slices.SortStableFunc(failures, func(a, b Suspicion) int { return a.At.Compare(b.At) })
	t.Suspects[part] = failures
}

// dropOldest drops the part whose last failure is the oldest. Quarantined parts are
// dropped only if there are no others.
func (t *Tracker) dropOldest() {
	var oldest Part
	var oldestFailures []Suspicion
	for part, failures := range t.Suspects {
		if oldestFailures == nil || t.dropsBefore(failures, oldestFailures) {
			oldest, oldestFailures = part, failures
		}
	}
	delete(t.Suspects, oldest)
}

// dropsBefore reports whether a part with the failures is dropped before another one.
func (t *Tracker) dropsBefore(failures, others []Suspicion) bool {
	if quarantined := t.isQuarantined(failures); quarantined != t.isQuarantined(others) {
		return !quarantined
	}
	return failures[len(failures)-1].At.Before(others[len(others)-1].At)
}

// Clear drops a part under which a response has begun, and reports whether it was a
// suspect.
func (t *Tracker) Clear(part Part) bool {
	_, known := t.Suspects[part]
	delete(t.Suspects, part)
	return known
}

// Expire drops the failures that are older than Config.Memory and reports whether there
// were any.
func (t *Tracker) Expire(now time.Time) bool {
	maps.DeleteFunc(t.Known, func(_ Attempt, at time.Time) bool { return now.Sub(at) >= t.Config.Memory })
	expired := false
	for part, known := range t.Suspects {
		switch first := slices.IndexFunc(known, func(s Suspicion) bool { return now.Sub(s.At) < t.Config.Memory }); first {
		case 0:
			continue
		case -1:
			delete(t.Suspects, part)
		default:
			t.Suspects[part] = known[first:]
		}
		expired = true
	}
	return expired
}

// Failures returns all failures that count, for a process that knows none of them.
func (t *Tracker) Failures(now time.Time) []Failure {
	byAttempt := make(map[Attempt]Failure)
	for _, part := range slices.Sorted(maps.Keys(t.Suspects)) {
		for _, suspicion := range t.Suspects[part] {
			failure := byAttempt[suspicion.Attempt]
			failure.Request, failure.Endpoint = suspicion.Request, suspicion.Endpoint
			failure.Parts = append(failure.Parts, part)
			failure.Age = now.Sub(suspicion.At)
			byAttempt[suspicion.Attempt] = failure
		}
	}
	return slices.Collect(maps.Values(byAttempt))
}

// isQuarantined reports whether the failures suffice to quarantine their part.
func (t *Tracker) isQuarantined(known []Suspicion) bool {
	if len(known) < t.Config.MinRequests {
		return false
	}
	requests := make(map[ident.Request]bool)
	lastCrash := make(map[string]time.Time)
	crashes := 0
	for _, suspicion := range known {
		requests[suspicion.Request] = true
		last, crashed := lastCrash[suspicion.Endpoint]
		if !crashed || suspicion.At.Sub(last) >= t.Config.CrashInterval {
			crashes++
			lastCrash[suspicion.Endpoint] = suspicion.At
		}
	}
	return len(requests) >= t.Config.MinRequests && crashes >= t.Config.MinCrashes && len(lastCrash) >= t.Config.MinEndpoints
}
