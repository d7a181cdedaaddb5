package event

import (
	"sync"
	"time"
)

// Sampler lets so many lines through in each second. It is safe for concurrent
// use.
type Sampler struct {
	perSecond int

	mu    sync.Mutex
	since time.Time
	count int
}

// NewSampler returns a sampler.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond}
}

// Allow reports whether one more line may be written now.
func (s *Sampler) Allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.since) >= time.Second {
		s.since = now
		s.count = 0
	}
	s.count++
	return s.count <= s.perSecond
}
