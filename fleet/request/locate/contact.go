package locate

import (
	"time"

	"jacinthpaddle.example/fleet/process/member"
)

// Contact bounds the time since contact with a router was lost for which callers are still
// sent to it.
type Contact struct {
	Now time.Time
	// Bound is the longest such time. Zero is no bound.
	Bound time.Duration
}

// lost reports whether the router is suspected and contact with it was lost longer ago than
// the bound. A suspicion begins member.SuspectAfter after the loss of the last link.
func (c Contact) lost(router member.Member) bool {
	if c.Bound == 0 || router.State != member.Suspected {
		return false
	}
	return c.Now.Sub(router.StateSince)+member.SuspectAfter > c.Bound
}
