package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/quota"
)

// newReleasing returns a holder of 9,600 credits in a known boot, with the schedule that the
// account has recorded.
func newReleasing(t *testing.T, now time.Time) (*quota.Manager[quota.DemandSpread], account.Release) {
	t.Helper()
	manager := quota.New("a", quota.DemandSpread{Horizon: 20 * time.Second, Share: 0.6, Holders: 1, Refill: 0.75}, &quota.Balances{})
	manager.Started, manager.StartedAt = account.Start{Boot: "b1", Uptime: 5_000}, now
	manager.SetPurchased(budget, 100_000)
	manager.SetSupply(quota.Supply{DirectHolders: 1})
	manager.HandleAccount(budget, account.View{Remaining: 50_000}, now)
	actions := manager.Tick(now)
	if len(actions.GrantRequests) != 1 || actions.GrantRequests[0].Release == nil {
		t.Fatalf("grant requests: got %+v, want one with a schedule", actions.GrantRequests)
	}
	release := *actions.GrantRequests[0].Release
	record := account.Holder{Granted: 9_600, Release: &release}
	manager.HandleAccount(budget, account.View{Found: true, Record: record, Remaining: 40_400}, now)
	return manager, release
}

// In a partition a holder goes on with what its schedule releases, and no more: a successor
// counts on it.
func TestHolderFollowsItsRecordedSchedule(t *testing.T) {
	now := time.Unix(0, 0)
	manager, release := newReleasing(t, now)
	if release.Uptime != 5_000 || release.Boot != "b1" {
		t.Errorf("schedule: got %+v, want one from uptime 5000 of b1", release)
	}
	balance := manager.Balances.Get(budget)
	for second := range 20 {
		now = now.Add(time.Second)
		manager.HandleStoreFailure(budget, now)
		manager.Request(budget, 100_000, now)
		manager.HandleStoreFailure(budget, now)
		got := balance.Level().Available
		if most := min(9_600, release.Permitted(now.Sub(time.Unix(0, 0)))); got > most {
			t.Errorf("available after %d s: got %d, want at most %d", second+1, got, most)
		}
		manager.Request(budget, 0, now)
	}
	if got := balance.Level().Available; got < 9_000 {
		t.Errorf("available after 20 s without the store: got %d of 9600, want nearly all", got)
	}
}

// A request that needs more than is released, but not more than is held, has the account
// record a schedule with it.
func TestRequestsReleaseWhatIsHeld(t *testing.T) {
	now := time.Unix(0, 0)
	manager, _ := newReleasing(t, now)
	balance := manager.Balances.Get(budget)
	if balance.Level().Available >= 5_000 {
		t.Fatalf("available at first: got %d, want less than the request", balance.Level().Available)
	}
	actions := manager.Request(budget, 5_000, now)
	if len(actions.GrantRequests) != 1 || actions.GrantRequests[0].Target != 9_600 {
		t.Fatalf("grant requests: got %+v, want one that grants no more", actions.GrantRequests)
	}
	record := account.Holder{Granted: 9_600, Release: actions.GrantRequests[0].Release}
	// An empty account records schedules too.
	manager.HandleAccount(budget, account.View{Found: true, Record: record}, now)
	if !balance.Reserve(5_000) {
		t.Errorf("available: got %d, want the 5000 of the request", balance.Level().Available)
	}
}

func TestSchedulesAreRenewed(t *testing.T) {
	now := time.Unix(0, 0)
	manager, _ := newReleasing(t, now)
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 0}, {quota.RenewalAge, 1}} {
		if got := len(manager.Tick(now.Add(step.after)).GrantRequests); got != step.want {
			t.Errorf("grant requests after %s: got %d, want %d", step.after, got, step.want)
		}
	}
}

func TestWithoutABootAllIsReady(t *testing.T) {
	now := time.Unix(0, 0)
	manager := quota.New("a", quota.DemandSpread{Horizon: 20 * time.Second, Share: 0.6, Holders: 1}, &quota.Balances{})
	manager.HandleAccount(budget, account.View{Found: true, Record: account.Holder{Granted: 900}, Remaining: 100}, now)
	if got := manager.Balances.Get(budget).Level().Available; got != 900 {
		t.Errorf("available: got %d, want 900", got)
	}
}

// spendAll reserves all credits that are available at a node.
func (m *machine) spendAll(t *rapid.T) {
	n := m.pick(t, running)
	if available := n.balance.Level().Available; n.balance.Reserve(available) {
		n.reserved = append(n.reserved, available)
	}
}

// TestSuccessorsReturnNothingThatWasUsed has holders spend whatever their schedules release,
// in any time between records that take effect, get lost or are late, until they are killed
// or lose power.
func TestSuccessorsReturnNothingThatWasUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := policies["released"]
		m := &machine{cluster: newCluster(2, 100_000, policy), policy: policy}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"request": m.request,
			"spend":   m.spendAll,
			"consume": m.spendAll,
			"finish":  m.finish,
			"receive": m.receive,
			"next":    m.receive,
			"update":  m.update,
			"delayed": m.applyLate,
			"pass":    m.advance,
			"wait":    m.advance,
			"crash":   m.crash,
			"calm":    m.quiesce,
		})
	})
}
