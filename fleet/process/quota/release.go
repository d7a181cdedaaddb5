package quota

import (
	"time"

	"jacinthpaddle.example/fleet/process/account"
)

// A holder without witnesses uses its grant by a release schedule that the account records,
// so that a successor of the same boot can return what the holder cannot have used. The
// schedule grows with time, and the holder can go on in a partition.
const (
	// ReadyHorizon is the time for which a new schedule releases credits for the recent
	// demand at once.
	ReadyHorizon = 4 * time.Second
	// ReadyFraction is the part of what is held that a new schedule releases at once.
	ReadyFraction = 0.25
	// ReleaseFactor is the growth of a schedule as a multiple of the recent demand.
	ReleaseFactor = 2
	// ReleaseTime is the time in which a schedule releases everything that is held.
	ReleaseTime = 6 * time.Second
	// RenewalAge is the age at which a schedule is replaced: the older it is, the more can
	// have been used when the holder ends. BatchedRenewalAge is that age while grants for
	// other budgets are requested, which causes no additional store call.
	RenewalAge        = 5 * time.Second
	BatchedRenewalAge = 2 * time.Second
)

// Release is a schedule that this holder has proposed.
type Release struct {
	account.Release
	// At is the time at which it begins.
	At time.Time `json:"at"`
}

// releases reports whether this holder uses its grants by schedules.
func (m *Manager[S]) releases() bool {
	return m.Started.Boot != "" && !m.Sizing.UsesWitnesses()
}

// needsRelease reports whether requests or peers wait for credits that are held and not
// released.
func (m *Manager[S]) needsRelease(allocation *Allocation) bool {
	waiting := allocation.Search.Need + allocation.pendingTransfers()
	return m.releases() && allocation.Unacknowledged() > 0 && waiting > allocation.Balance.Level().Available
}

// renewsRelease reports whether the latest schedule is to be replaced.
func (m *Manager[S]) renewsRelease(allocation *Allocation, now time.Time) bool {
	if !m.releases() || len(allocation.Releases) == 0 || allocation.Held() == 0 {
		return false
	}
	age := now.Sub(allocation.Releases[len(allocation.Releases)-1].At)
	return age >= RenewalAge || m.Batched && age >= BatchedRenewalAge
}

// proposeRelease returns a schedule that begins now, for what is held and the amount that is
// requested with it, or nil without schedules. It keeps ready what ReadyHorizon and the
// waiting requests need. Ready credits beyond that are taken back from the balance, so that
// the store need not count them as used.
func (m *Manager[S]) proposeRelease(allocation *Allocation, amount int64, now time.Time) *account.Release {
	if !m.releases() {
		return nil
	}
	held := allocation.Held() + amount
	ready := max(
		creditsFor(allocation.Demand.Rate, ReadyHorizon),
		int64(ReadyFraction*float64(held)),
		allocation.Search.Need+allocation.pendingTransfers(),
	)
	available := allocation.Balance.Level().Available
	allocation.Ceiling -= allocation.Balance.Take(available - ready)
	proposed := Release{
		At: now,
		Release: account.Release{
			Number: allocation.ReleaseNumber + 1,
			Boot:   m.Started.Boot,
			Uptime: m.Started.Uptime + now.Sub(m.StartedAt).Milliseconds(),
			Base:   allocation.Ceiling + max(0, ready-available),
			Rate:   int64(max(ReleaseFactor*allocation.Demand.Rate, float64(held)/ReleaseTime.Seconds())),
		},
	}
	allocation.Releases = append(allocation.Releases, proposed)
	allocation.ReleaseNumber = proposed.Number
	return &proposed.Release
}

// withdraw removes credits that are to be refunded. A holder with schedules refunds only
// what it has not released: the account then shows that they cannot have been used.
func (m *Manager[S]) withdraw(allocation *Allocation, amount int64) {
	if !m.releases() {
		allocation.Refunded += allocation.Balance.Take(amount)
		return
	}
	withheld := min(amount, max(0, allocation.Unacknowledged()))
	allocation.Withheld += withheld
	allocation.Refunded += withheld
}

// dropSupersededReleases deletes the schedules before the one in the store.
func (a *Allocation) dropSupersededReleases(record account.Holder) {
	if record.Release == nil {
		return
	}
	kept := a.Releases[:0]
	for _, release := range a.Releases {
		if release.Number >= record.Release.Number {
			kept = append(kept, release)
		}
	}
	a.Releases = kept
}
