package quota

import (
	"math"
	"time"
)

// DemandWindow is the time constant of the demand estimate unless another is set.
const DemandWindow = 2 * time.Minute

// Demand estimates how fast a budget is used here, in credits a second, as a
// moving average over the Window and no longer than it has been observed. It
// sizes what is held and decides nothing on safety.
type Demand struct {
	Window    time.Duration `json:"window"`
	Rate      float64       `json:"rate"`
	LastTotal int64         `json:"seen"`
	StartedAt time.Time     `json:"begun"`
	UpdatedAt time.Time     `json:"since"`
}

// Observe takes the monotone total of what was spent and refused so far.
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
	weight := d.decay(elapsed) / d.decay(now.Sub(d.StartedAt))
	recent := float64(total-d.LastTotal) / elapsed.Seconds()
	d.Rate += weight * (recent - d.Rate)
	d.LastTotal = total
	d.UpdatedAt = now
}

// decay returns by how much an average over the window forgets in the time.
func (d *Demand) decay(elapsed time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/d.Window.Seconds())
}
