// Package coldstart bounds the rate of requests that all processes together send to an
// endpoint while it is cold.
//
// An endpoint is cold for some time after its start, or whenever it reports so. Until
// then the rate that its pool declares is shared by a few processes, its stewards, which
// Stewards selects by rendezvous hashing over a list that all processes read from the same
// source. No message is exchanged for a request, and a partition does not change the
// stewards. Each process has a Limiter for each endpoint, with its own part of the rate.
//
// # Usage
//
//	stewards := coldstart.NewStewards(routers)
//	limiter.Configure(stewards.Limit(self, endpoint, rate))
//	limiter.Begin(now.Add(left), coldstart.ByList)
//	if limiter.Take(now) {
//		// send one request
//	}
package coldstart

import (
	"sync"
	"sync/atomic"
	"time"
)

// Source is what reported an endpoint as cold.
type Source string

// Sources that report an endpoint as cold.
const (
	ByList     Source = "list"
	ByResponse Source = "answer"
	// ByReturn is the presumption that an endpoint is cold after it got no requests for a
	// while, because it failed or was excluded, so that news of it may be missing.
	ByReturn Source = "return"
)

// Period is a time in which an endpoint is cold.
type Period struct {
	Until  time.Time `json:"until"`
	Source Source    `json:"sign"`
}

// Limit bounds the requests of this process to an endpoint while it is cold. The zero
// value is no bound.
type Limit struct {
	// Requests may be sent in each Interval. Zero is none.
	Requests int
	// Interval is zero if the pool declares no rate.
	Interval time.Duration
	// NotBefore is until when the process sends none, whatever its part: it may not know
	// all processes yet.
	NotBefore time.Time
	// Duration is how long an endpoint is presumed cold after it returned.
	Duration time.Duration
}

// Limiter bounds the requests of this process to one endpoint. Its zero value sets no
// bound. It is safe for concurrent use.
type Limiter struct {
	// period is nil while the endpoint is not cold or its pool declares no rate.
	period atomic.Pointer[Period]

	mu    sync.Mutex
	limit Limit
	// sent is a ring of the times of the last requests, the earliest at next.
	sent []time.Time
	next int
}

// Configure sets the limit. The requests already sent count against it. Without an
// interval the endpoint is no longer cold.
func (l *Limiter) Configure(limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit.Interval == 0 {
		l.period.Store(nil)
	}
	if limit.Requests != len(l.sent) {
		l.resize(limit.Requests)
	}
	l.limit = limit
}

// resize keeps the latest times in a ring of another size.
func (l *Limiter) resize(size int) {
	resized := make([]time.Time, size)
	kept := min(size, len(l.sent))
	for index := range kept {
		resized[size-kept+index] = l.sent[(l.next+len(l.sent)-kept+index)%len(l.sent)]
	}
	l.sent, l.next = resized, 0
}

// Begin sets until when the endpoint is cold. It replaces an earlier report.
func (l *Limiter) Begin(until time.Time, source Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit.Interval > 0 {
		l.period.Store(&Period{Until: until, Source: source})
	}
}

// Presume considers the endpoint cold for Limit.Duration, unless it is cold already.
func (l *Limiter) Presume(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit.Interval > 0 && l.limit.Duration > 0 {
		l.period.CompareAndSwap(nil, &Period{Until: now.Add(l.limit.Duration), Source: ByReturn})
	}
}

// End considers the endpoint warm.
func (l *Limiter) End() {
	l.period.Store(nil)
}

// Cold returns the period in which the endpoint is cold now, or nil.
func (l *Limiter) Cold(now time.Time) *Period {
	period := l.period.Load()
	if period == nil || now.Before(period.Until) {
		return period
	}
	l.period.CompareAndSwap(period, nil)
	return nil
}

// Allows reports whether Take would succeed.
func (l *Limiter) Allows(now time.Time) bool {
	if l.Cold(now) == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mayTake(now)
}

// Take reports whether a request may be sent to the endpoint now, and counts it.
func (l *Limiter) Take(now time.Time) bool {
	if l.Cold(now) == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mayTake(now) {
		return false
	}
	l.sent[l.next] = now
	l.next = (l.next + 1) % len(l.sent)
	return true
}

// mayTake reports whether fewer than Limit.Requests were sent in the last interval.
func (l *Limiter) mayTake(now time.Time) bool {
	if len(l.sent) == 0 || now.Before(l.limit.NotBefore) {
		return false
	}
	earliest := l.sent[l.next]
	return earliest.IsZero() || now.Sub(earliest) >= l.limit.Interval
}
