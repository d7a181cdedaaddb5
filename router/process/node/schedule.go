package node

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpaddle.example/fleet/process/ident"
)

// schedule decides when periodic work is due. In a large fleet its intervals begin at a
// moment that differs between processes: those that started together would otherwise all
// update the same account page at once, and most of the updates would conflict. In a small
// fleet the work is due when an interval has passed since it ran last.
type schedule struct {
	start time.Time
	// phase is the part of an interval, from 0 to 1, by which the intervals are shifted.
	phase float64
	// number is the number of the interval in which the work ran last.
	number int64
	// ranAt is the time at which the work ran last.
	ranAt time.Time
}

func newSchedule(self ident.Incarnation, start time.Time) schedule {
	return schedule{start: start, phase: float64(xxhash.Sum64String(string(self))) / math.MaxUint64}
}

// due reports whether the work is due, and counts it as run. It is due at the first call.
// With spread the intervals are shifted by the phase of the process.
func (s *schedule) due(now time.Time, interval time.Duration, spread bool) bool {
	shift := time.Duration(s.phase * float64(interval))
	number := int64((now.Sub(s.start) + shift) / interval)
	switch {
	case s.ranAt.IsZero():
	case spread && number == s.number, !spread && now.Sub(s.ranAt) < interval:
		return false
	}
	s.number, s.ranAt = number, now
	return true
}
