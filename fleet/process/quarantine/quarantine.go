// Package quarantine finds parts of prompts under which endpoints crash, so that
// requests with such a part can be refused.
//
// A request whose connection breaks before its response has ended is a suspect, and so is
// each part of its prompt that other requests share. An endpoint may crash at any point of
// a response, so that only a whole response shows that its parts are sound. A part that is
// a suspect of enough requests and crashes since then is quarantined.
//
// A part that is common to requests at one endpoint is told from a faulty endpoint by
// sending the next request with it to another one (View.FailedAt): it crashes that one too,
// or its response ends whole.
//
// A crash cuts off sound requests as well. Their parts are suspects too, until another
// response with them ends, but the crashes are explained by the part that failed in all of
// them and in more.
//
// Requests with one part arrive at any process, so that processes exchange failures and
// cleared parts. They may do so in any order: a process that knows a part as sound ignores
// failures with it and tells its peers. A Tracker belongs to the control thread; traffic
// reads its View.
//
// # Usage
//
//	if added, sound := tracker.Add(failure, now); added {
//		publish(tracker.View())
//		forwardToPeers(failure, sound)
//	}
//	if tracker.Clear(whole, now) {
//		publish(tracker.View())
//		forwardToPeers(whole)
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
// request had ended.
type Failure struct {
	Request  ident.Request `cbor:"request"`
	Endpoint string        `cbor:"endpoint"`
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part `cbor:"parts"`
	// Age is the time since the failure.
	Age time.Duration `cbor:"age"`
}

// Whole reports that a response to a request with the part ended whole.
type Whole struct {
	Part Part `cbor:"part"`
	// Age is the time since the end of the response.
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
	// MinCrashesAlone is the number of crashes that suffice at fewer endpoints. Requests with
	// a suspect part avoid the endpoints that failed with it, so that there was no other.
	MinCrashesAlone int
	// CrashInterval separates two crashes of an endpoint that starts again under its
	// name.
	CrashInterval time.Duration
	// SoundFor is how long after a whole response failures with its parts do not count, so
	// that a simultaneous crash of many endpoints makes no common part a suspect.
	SoundFor time.Duration
	// Memory is how long a failure counts.
	Memory time.Duration
	// RelapseGrowth multiplies Memory with each of the first MaxReleases releases of a part,
	// for the time in which it is quarantined after a relapse.
	RelapseGrowth int
	MaxReleases   int
	// MaxParts bounds the number of suspects.
	MaxParts int
	// MaxFailures bounds the failures that are kept for one part.
	MaxFailures int
	// MaxKnown bounds the attempts in Tracker.Known. Further failures are ignored until
	// older ones are forgotten.
	MaxKnown int
	// MaxSound bounds the parts in Tracker.Sound.
	MaxSound int
}

// DefaultMemory is how long a failure counts by default.
const DefaultMemory = 2 * time.Minute

// Defaults returns the thresholds for endpoints that are back some seconds after a
// crash.
func Defaults() Config {
	return Config{
		MinRequests:     3,
		MinCrashes:      3,
		MinEndpoints:    2,
		MinCrashesAlone: 5,
		CrashInterval:   time.Second,
		SoundFor:        5 * time.Second,
		Memory:          DefaultMemory,
		RelapseGrowth:   4,
		MaxReleases:     3,
		MaxParts:        1024,
		MaxFailures:     16,
		MaxKnown:        16_384,
		MaxSound:        4096,
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
	// Crash is the number of the crash in which the attempt failed.
	Crash int `json:"crash"`
}

// Crash is a crash of an endpoint, in which several attempts may have failed.
type Crash struct {
	Number int       `json:"number"`
	At     time.Time `json:"at"`
}

// Release is the end of a quarantine because its failures were too old to count. Endpoints
// may crash under the part still, so that the next failure is a relapse, which quarantines it
// at once and for longer.
type Release struct {
	// Count is the number of releases of the part so far, at most Config.MaxReleases.
	Count int       `json:"count"`
	At    time.Time `json:"at"`
	// Group has the parts that were refused only together.
	Group []Part `json:"group"`
	// HeldUntil is the end of the quarantine after a relapse, or zero if there was none.
	HeldUntil time.Time `json:"held_until"`
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
	// Sound has the time of the last whole response with each part.
	Sound map[Part]time.Time
	// Crashes has the crashes of each endpoint.
	Crashes map[string][]Crash
	// Released has the last release of each part that may relapse.
	Released map[Part]Release

	// crashes is the number of crashes so far.
	crashes int
}

// New returns a tracker without suspects.
func New(config Config) *Tracker {
	return &Tracker{
		Config:   config,
		Suspects: make(map[Part][]Suspicion),
		Known:    make(map[Attempt]time.Time),
		Sound:    make(map[Part]time.Time),
		Crashes:  make(map[string][]Crash),
		Released: make(map[Part]Release),
	}
}

// Add counts a failure against the parts of its request. It reports whether the failure was
// not known yet, and returns the whole responses because of which it does not count against
// some of the parts.
func (t *Tracker) Add(failure Failure, now time.Time) (added bool, sound []Whole) {
	attempt := Attempt{Request: failure.Request, Endpoint: failure.Endpoint}
	_, known := t.Known[attempt]
	if known || failure.Age < 0 || failure.Age >= t.Config.Memory || len(t.Known) >= t.Config.MaxKnown {
		return false, nil
	}
	at := now.Add(-failure.Age)
	t.Known[attempt] = at
	suspicion := Suspicion{Attempt: attempt, At: at, Crash: t.crashOf(failure.Endpoint, at)}
	for _, part := range failure.Parts {
		if wholeAt, ok := t.Sound[part]; ok && at.Sub(wholeAt) < t.Config.SoundFor {
			sound = append(sound, Whole{Part: part, Age: now.Sub(wholeAt)})
			continue
		}
		t.addSuspicion(part, suspicion)
		t.addRelapse(part, at)
	}
	return true, sound
}

// crashOf returns the number of the crash of the endpoint at the time, and records the
// crash if it is a new one.
func (t *Tracker) crashOf(endpoint string, at time.Time) int {
	for _, crash := range t.Crashes[endpoint] {
		if at.Sub(crash.At).Abs() < t.Config.CrashInterval {
			return crash.Number
		}
	}
	t.crashes++
	t.Crashes[endpoint] = append(t.Crashes[endpoint], Crash{Number: t.crashes, At: at})
	return t.crashes
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

// Clear records a whole response and drops the failures against its part that do not count
// because of it, and the release of the part. It reports whether there were any.
func (t *Tracker) Clear(whole Whole, now time.Time) bool {
	at := now.Add(-whole.Age)
	earlier, recorded := t.Sound[whole.Part]
	if whole.Age < 0 || whole.Age >= t.Config.Memory || recorded && !at.After(earlier) {
		return false
	}
	if recorded || len(t.Sound) < t.Config.MaxSound {
		t.Sound[whole.Part] = at
	}
	failures := t.Suspects[whole.Part]
	kept := slices.DeleteFunc(slices.Clone(failures), func(s Suspicion) bool { return s.At.Sub(at) < t.Config.SoundFor })
	if len(kept) == 0 {
		delete(t.Suspects, whole.Part)
	} else {
		t.Suspects[whole.Part] = kept
	}
	return t.clearRelease(whole.Part, at) || len(kept) < len(failures)
}

// Expire drops what is older than Config.Memory and reports whether there were any
// failures that counted.
func (t *Tracker) Expire(now time.Time) bool {
	isOld := func(at time.Time) bool { return now.Sub(at) >= t.Config.Memory }
	maps.DeleteFunc(t.Known, func(_ Attempt, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(t.Sound, func(_ Part, at time.Time) bool { return isOld(at) })
	for endpoint, crashes := range t.Crashes {
		t.Crashes[endpoint] = slices.DeleteFunc(crashes, func(crash Crash) bool { return isOld(crash.At) })
	}
	maps.DeleteFunc(t.Crashes, func(_ string, crashes []Crash) bool { return len(crashes) == 0 })
	expired := t.expireSuspects(now, isOld)
	return t.expireHolds(now) || expired
}

// expireSuspects drops the failures that are too old, and releases the parts that are no
// longer quarantined because of that. It reports whether there were any failures.
func (t *Tracker) expireSuspects(now time.Time, isOld func(at time.Time) bool) bool {
	hasOld := func(known []Suspicion) bool { return isOld(known[0].At) }
	if !slices.ContainsFunc(slices.Collect(maps.Values(t.Suspects)), hasOld) {
		return false
	}
	groups := t.View().Groups
	for part, known := range t.Suspects {
		if first := slices.IndexFunc(known, func(s Suspicion) bool { return !isOld(s.At) }); first >= 0 {
			t.Suspects[part] = known[first:]
		} else {
			delete(t.Suspects, part)
		}
	}
	t.releaseExpired(groups, now)
	return true
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
	requests, endpoints, crashes := make(map[ident.Request]bool), make(map[string]bool), make(map[int]bool)
	for _, suspicion := range known {
		requests[suspicion.Request] = true
		endpoints[suspicion.Endpoint] = true
		crashes[suspicion.Crash] = true
	}
	minCrashes := t.Config.MinCrashes
	if len(endpoints) < t.Config.MinEndpoints {
		minCrashes = t.Config.MinCrashesAlone
	}
	return len(requests) >= t.Config.MinRequests && len(crashes) >= minCrashes
}
