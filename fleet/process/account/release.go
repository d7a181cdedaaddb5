package account

import "time"

// Release is how much of its grant a holder allows itself to use, as a schedule over the
// uptime of its VM. A successor of the same boot learns from it how much the holder can
// have used when it ended, and returns the rest.
type Release struct {
	// Number is higher for each schedule that the holder proposes.
	Number int64 `json:"number"`
	// Boot is the id of the boot of the VM.
	Boot string `json:"boot"`
	// Uptime is the uptime of the VM, in milliseconds, at which the schedule begins.
	Uptime int64 `json:"uptime_ms"`
	// Base is the part of the granted total that the holder may use at Uptime.
	Base int64 `json:"base"`
	// Rate is by how many credits a second that part grows.
	Rate int64 `json:"rate"`
}

// Permitted returns the part of the granted total that the holder may use at the time
// since the schedule began.
func (r Release) Permitted(elapsed time.Duration) int64 {
	return r.Base + int64(float64(r.Rate)*max(0, elapsed.Seconds()))
}

// Start is the start of a process in a boot of its VM. The zero value is an unknown boot.
type Start struct {
	Boot string
	// Uptime is the uptime of the VM in milliseconds.
	Uptime int64
}

// usedBefore returns the most that the holder can have used of its grant if it had ended
// by the start of a successor on its VM. That is all of it unless both ran in the same
// boot.
func (h Holder) usedBefore(successor Start) int64 {
	most := h.Granted - h.Returned
	if h.Release == nil || h.Release.Boot == "" || h.Release.Boot != successor.Boot || successor.Uptime < h.Release.Uptime {
		return most
	}
	// Both uptimes are truncated to milliseconds.
	elapsed := time.Duration(successor.Uptime-h.Release.Uptime+2) * time.Millisecond
	return min(most, h.Release.Permitted(elapsed)+1)
}
