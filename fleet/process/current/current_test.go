package current_test

import (
	"sync"
	"testing"

	"jacinthpaddle.example/fleet/process/current"
)

func higher(current, candidate int) bool { return candidate > current }

func TestStoreOnlyMovesForward(t *testing.T) {
	value := current.New(higher)
	if _, ok := value.Load(); ok {
		t.Error("empty value: got one, want none")
	}
	for _, step := range []struct {
		candidate int
		accepted  bool
		want      int
	}{{2, true, 2}, {1, false, 2}, {2, false, 2}, {3, true, 3}} {
		if got := value.Store(step.candidate); got != step.accepted {
			t.Errorf("store %d: got %t, want %t", step.candidate, got, step.accepted)
		}
		if got, _ := value.Load(); got != step.want {
			t.Errorf("after %d: got %d, want %d", step.candidate, got, step.want)
		}
	}
}

func TestConcurrentStoresKeepTheHighest(t *testing.T) {
	const candidates = 1000
	value := current.New(higher)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for candidate := worker; candidate < candidates; candidate += 8 {
				value.Store(candidate)
			}
		})
	}
	group.Wait()
	if got, _ := value.Load(); got != candidates-1 {
		t.Errorf("value: got %d, want %d", got, candidates-1)
	}
}
