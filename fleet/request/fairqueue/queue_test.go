package fairqueue_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/fairqueue"
	"jacinthpaddle.example/fleet/request/outcome"
)

var singleSlot = fairqueue.Config{Limit: 1, MaxWaiting: 4, MaxWaitingPerKey: 2}

func acquire(t *testing.T, q *fairqueue.Queue[string], key string) *fairqueue.Slot[string] {
	t.Helper()
	slot, err := q.Acquire(t.Context(), fairqueue.Request[string]{Key: key})
	if err != nil {
		t.Fatalf("acquire %s: got %v, want a slot", key, err)
	}
	return slot
}

func wantRefusal(t *testing.T, err error, code outcome.Code) {
	t.Helper()
	var refused *outcome.Error
	if !errors.As(err, &refused) || refused.Code != code || refused.Run != journal.NotRun {
		t.Errorf("error: got %v, want %s and not run", err, code)
	}
}

func TestWaiterIsRefusedWhenDeadlineOrContextEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(cancel context.CancelFunc, clk *clock.Fake)
	}{
		{"deadline passes", func(_ context.CancelFunc, clk *clock.Fake) { clk.Advance(time.Second) }},
		{"context ends", func(cancel context.CancelFunc, _ *clock.Fake) { cancel() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clk := clock.NewFake()
			q := fairqueue.New[string](singleSlot, clk)
			slot := acquire(t, q, "a")
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan error, 1)
			go func() {
				_, err := q.Acquire(ctx, fairqueue.Request[string]{Key: "b", Deadline: clk.Now().Add(time.Second)})
				failed <- err
			}()
			if err := clk.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			test.end(cancel, clk)
			wantRefusal(t, <-failed, outcome.TimedOut)
			cancel()
			slot.Release()
			if got, want := q.Stats(), (fairqueue.Stats{Limit: 1}); got != want {
				t.Errorf("stats: got %+v, want %+v", got, want)
			}
		})
	}
}

func TestRefusedAtOnceWhenWaitExceedsDeadline(t *testing.T) {
	clk := clock.NewFake()
	q := fairqueue.New[string](singleSlot, clk)
	slot := acquire(t, q, "a")
	clk.Advance(time.Second)
	slot.Release()
	slot = acquire(t, q, "a")
	_, err := q.Acquire(t.Context(), fairqueue.Request[string]{Key: "b", Deadline: clk.Now().Add(1900 * time.Millisecond)})
	wantRefusal(t, err, outcome.Overloaded)
	slot.Release()
}

// TestConcurrentUseLeavesNoWaiters acquires and releases slots from many goroutines,
// some of which are canceled at a random moment. No waiter or slot may be left over,
// and the limit holds at all times.
func TestConcurrentUseLeavesNoWaiters(t *testing.T) {
	const limit, workers = 3, 64
	config := fairqueue.Config{Limit: limit, MaxWaiting: workers, MaxWaitingPerKey: workers}
	q := fairqueue.New[int](config, clock.NewFake())
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for turn := range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				if turn%3 == 0 {
					go cancel()
				}
				slot, err := q.Acquire(ctx, fairqueue.Request[int]{Key: worker % 5, Weight: 1 + worker%3})
				if err == nil {
					if got := q.Stats().InUse; got > limit {
						t.Errorf("slots in use: got %d, want at most %d", got, limit)
					}
					slot.Release()
				}
				cancel()
			}
		})
	}
	group.Wait()
	if got, want := q.Stats(), (fairqueue.Stats{Limit: limit}); got != want {
		t.Errorf("stats: got %+v, want %+v", got, want)
	}
}
