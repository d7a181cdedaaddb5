// Package speed estimates how long work takes at an endpoint now, relative to usual, from
// reports that are old by the time at which they are used.
//
// The estimate is the mean of the reports plus the part of the last one that is expected
// to remain after its age. How fast that part vanishes follows from the reports themselves:
// if one says nothing about the next, only the mean counts. Without further reports the
// estimate returns to usual, and it is always bounded, so that an endpoint can neither
// attract nor repel all requests by what it reports.
//
// # Usage
//
//	estimator.Observe(1.3, now) // the endpoint reports that work takes 1.3 times as long
//	seconds *= estimator.Factor(now)
package speed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the estimate, as the time that work takes relative to usual.
const (
	// MinFactor bounds what an endpoint gains by a false report to twice its usual share.
	MinFactor = 0.5
	// MaxFactor leaves a slow endpoint some requests, whose responses report its speed.
	MaxFactor = 4.0
)

const (
	// MemoryTime is the time constant with which the estimate returns to usual without a
	// report.
	MemoryTime = 10 * time.Second
	// minMeanWeight is the least weight of a report in the mean, and minCorrelationWeight
	// that in the means of squares, which need more reports.
	minMeanWeight        = 0.05
	minCorrelationWeight = 0.02
	// initialPersistence is the time constant of deviations from the mean until enough
	// reports have shown their own.
	initialPersistence = time.Second
	// minReports is the number of reports from which their correlation is used.
	minReports = 4
	// maxCorrelation bounds the correlation of two reports below 1.
	maxCorrelation = 0.99
)

// Estimator estimates the speed of one endpoint. Its zero value has no reports. It is safe
// for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	current atomic.Pointer[Estimate]
}

// Estimate is what is known from the reports up to the last one. It is immutable.
type Estimate struct {
	// Last is the last report, and Mean a moving mean of all, as the time that work takes
	// relative to usual.
	Last float64 `json:"last"`
	Mean float64 `json:"mean"`
	// Variance is the mean square of the deviations from the mean, and Change half of the
	// mean square of the differences between consecutive reports. They are equal if a
	// report says nothing about the next.
	Variance float64 `json:"variance"`
	Change   float64 `json:"change"`
	// Gap is the mean time between reports.
	Gap     time.Duration `json:"gap"`
	Reports int           `json:"reports"`
	At      time.Time     `json:"at"`
}

// Known reports whether the endpoint has reported its speed.
func (e *Estimator) Known() bool {
	return e.current.Load() != nil
}

// Observe records a report that work takes the given time relative to usual. A report that
// is not a positive number is ignored.
func (e *Estimator) Observe(factor float64, now time.Time) {
	if !(factor > 0) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	earlier := e.current.Load()
	if earlier == nil {
		// As if a usual report had preceded the first one.
		earlier = &Estimate{Last: 1, Mean: 1, At: now}
	}
	later := earlier.with(min(max(factor, MinFactor), MaxFactor), now)
	e.current.Store(&later)
}

// Factor returns the estimated time that work takes now relative to usual, or 1 without a
// report.
func (e *Estimator) Factor(now time.Time) float64 {
	estimate := e.current.Load()
	if estimate == nil {
		return 1
	}
	return estimate.Factor(now)
}

// Estimate returns the current estimate, or nil without a report.
func (e *Estimator) Estimate() *Estimate {
	return e.current.Load()
}

func (e Estimate) with(factor float64, now time.Time) Estimate {
	later := e
	later.Reports++
	later.Last, later.At = factor, now
	share := 1 / float64(later.Reports+1)
	deviation := factor - e.Mean
	later.Mean += max(share, minMeanWeight) * deviation
	if e.Reports == 0 {
		return later
	}
	difference := factor - e.Last
	weight := max(share, minCorrelationWeight)
	later.Variance += weight * (deviation*deviation - e.Variance)
	later.Change += weight * (difference*difference/2 - e.Change)
	later.Gap += time.Duration(weight * float64(max(0, now.Sub(e.At))-e.Gap))
	return later
}

// Factor returns the estimated time that work takes at the given time relative to usual.
func (e Estimate) Factor(now time.Time) float64 {
	age := max(0, now.Sub(e.At))
	lasting := (e.Mean - 1) * math.Exp(-age.Seconds()/MemoryTime.Seconds())
	passing := (e.Last - e.Mean) * e.persistence(age)
	return min(max(1+lasting+passing, MinFactor), MaxFactor)
}

// persistence returns the part of a deviation from the mean that is expected to remain
// after the age. A change between two reports that is as large as any shows that nothing
// remains after their gap.
func (e Estimate) persistence(age time.Duration) float64 {
	if e.Reports < minReports || e.Variance == 0 || e.Gap <= 0 {
		return math.Exp(-age.Seconds() / initialPersistence.Seconds())
	}
	correlation := min(max(1-e.Change/e.Variance, 0), maxCorrelation)
	return math.Pow(correlation, age.Seconds()/e.Gap.Seconds())
}
