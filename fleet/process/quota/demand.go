package quota

import (
	"math"
	"time"
)

// DemandWindow is the default time constant of the demand estimate.
const DemandWindow = 2 * time.Minute

// RecentWindow is the time constant of Demand.Recent.
const RecentWindow = 1500 * time.Millisecond

// Demand estimates the rate at which a budget is used at this holder. The estimate is
// an exponential moving average over the Window, or over the time since StartedAt
// while that is shorter. It determines how much quota is held; the limits on spending
// do not depend on it.
type Demand struct {
	// Window is the time constant of the average.
	Window time.Duration `json:"window"`
	// Rate is the estimate in credits a second.
	Rate float64 `json:"rate"`
	// Recent is an estimate over RecentWindow, so that it follows an increase at once.
	Recent float64 `json:"recent"`
	// LastTotal is the total passed to the last call of Observe.
	LastTotal int64 `json:"seen"`
	// StartedAt is the time of the first call of Observe.
	StartedAt time.Time `json:"begun"`
	// UpdatedAt is the time of the last call of Observe that was taken into account.
	UpdatedAt time.Time `json:"since"`
}

// Observe updates the estimate from the monotone total of the credits used so far.
func (d *Demand) Observe(total int64, now time.Time) {
	if d.UpdatedAt.IsZero() {
		d.StartedAt = now
		d.UpdatedAt = now
		d.LastTotal = total
		return
	}
	elapsed := now.Sub(d.UpdatedAt)
	if elapsed <= 0 {
		return
	}
	weight := averageWeight(elapsed, d.Window) / averageWeight(now.Sub(d.StartedAt), d.Window)
	recent := max(0, float64(total-d.LastTotal)/elapsed.Seconds())
	d.Rate += weight * (recent - d.Rate)
	d.Recent += averageWeight(elapsed, RecentWindow) * (recent - d.Recent)
	d.LastTotal = total
	d.UpdatedAt = now
}

// averageWeight returns the weight that an average over the window gives to the last
// elapsed time: 1 - exp(-elapsed/window).
func averageWeight(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}
