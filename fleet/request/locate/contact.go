package locate

import (
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/member"
)

// DetectionTime is the longest time between the last contact with a router and the suspicion:
// the silence that its links tolerate, and the delay of the suspicion once the last of them
// is lost.
const DetectionTime = peer.SilenceLimit + member.SuspectAfter

// Contact bounds the time since the last contact with a router for which callers are still
// sent to it.
type Contact struct {
	Now time.Time
	// Bound is the longest such time. Zero is no bound. Below DetectionTime no suspected
	// router is returned.
	Bound time.Duration
}

// lost reports whether the router is suspected and the last contact with it may be longer
// ago than the bound.
func (c Contact) lost(router member.Member) bool {
	if c.Bound == 0 || router.State != member.Suspected {
		return false
	}
	return c.Now.Sub(router.StateSince)+DetectionTime > c.Bound
}
