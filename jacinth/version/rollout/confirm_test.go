package rollout_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/jacinth/version/rollout"
)

const (
	timeout  = 14 * time.Second
	interval = 200 * time.Millisecond
)

// slowRouter fails the first calls of Status. Each later call returns a generation that is
// higher by one.
type slowRouter struct {
	failures   int
	calls      int
	generation int64
}

func (r *slowRouter) Status(context.Context, vm.VM) (operatorapi.Status, error) {
	r.calls++
	if r.calls <= r.failures {
		return operatorapi.Status{}, errors.New("connection refused")
	}
	r.generation++
	return operatorapi.Status{Generation: r.generation}, nil
}

func TestConfirmPollsUntilTheGenerationIsActive(t *testing.T) {
	cases := map[string]struct {
		router      slowRouter
		state       vm.State
		want        rollout.Confirmation
		unconfirmed bool
	}{
		"at once":    {slowRouter{generation: 4}, vm.Live, rollout.Confirmation{Confirmed: true, Generation: 5}, false},
		"later one":  {slowRouter{generation: 8}, vm.Live, rollout.Confirmation{Confirmed: true, Generation: 9}, false},
		"after two":  {slowRouter{generation: 2}, vm.Live, rollout.Confirmation{Confirmed: true, Generation: 5, Took: 2 * interval}, false},
		"restarting": {slowRouter{failures: 3, generation: 4}, vm.Live, rollout.Confirmation{Confirmed: true, Generation: 5, Took: 3 * interval}, false},
		"silent":     {slowRouter{failures: 1000}, vm.Live, rollout.Confirmation{Took: timeout, Reason: "connection refused"}, true},
		"leaving":    {slowRouter{failures: 1000}, vm.Leaving, rollout.Confirmation{Took: timeout, Reason: "connection refused"}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			machine := vm.VM{Name: "entry-1", Address: "127.0.0.1", State: test.state}
			test.want.VM, test.want.Address, test.want.State = machine.Name, machine.Address, machine.State
			got := confirm(t, &test.router, machine)
			if got[0] != test.want {
				t.Errorf("confirmation: got %+v, want %+v", got[0], test.want)
			}
			var unconfirmed *rollout.UnconfirmedError
			if err := rollout.CheckConfirmed(got, 5); errors.As(err, &unconfirmed) != test.unconfirmed {
				t.Errorf("unconfirmed: got %v, want %t", err, test.unconfirmed)
			}
		})
	}
}

// confirm runs Confirm and advances the clock by the interval whenever Confirm waits for
// the next poll: then its two timers run, the timeout and the pause between polls.
func confirm(t *testing.T, routers rollout.StatusReader, machine vm.VM) []rollout.Confirmation {
	t.Helper()
	clk := clock.NewFake()
	ctx, cancel := context.WithCancel(context.Background())
	var got []rollout.Confirmation
	go func() {
		defer cancel()
		poller := rollout.Poller{Clock: clk, Routers: routers, Timeout: timeout, Interval: interval}
		got = rollout.Confirm(context.Background(), poller, []vm.VM{machine}, 5)
	}()
	for clk.BlockUntilContext(ctx, 2) == nil {
		clk.Advance(interval)
	}
	return got
}
