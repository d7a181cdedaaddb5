package event

import (
	"sync"
	"time"
)

// Sampler bounds the number of log lines per second. It allows the first lines of
// each window of one second. It is safe for concurrent use.
type Sampler struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// NewSampler returns a sampler that allows perSecond lines in each window.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond}
}

// Allow reports whether another line may be written now.
func (s *Sampler) Allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		s.count = 0
	}
	s.count++
	return s.count <= s.perSecond
}
