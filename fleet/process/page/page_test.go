package page_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/page"
	"jacinthpaddle.example/fleet/process/store"
)

// contendedStore is a store in which another writer changes the page before each of the
// first updates, so that these conflict.
type contendedStore struct {
	store.Store
	conflicts int
	updates   chan int
	done      int
}

func (s *contendedStore) Update(_ context.Context, name string, version store.Version, _ []byte) (store.Version, error) {
	s.done++
	s.updates <- s.done
	if s.done <= s.conflicts {
		return 0, &store.ConflictError{Name: name, Expected: version, Current: version + 1, Value: []byte(`{"accounts":{}}`)}
	}
	return version + 1, nil
}

// TestModifyBacksOffUnderContention has other writers change the page before each of
// four updates. Routers whose refills fell into the same moment repeated their updates at
// once and conflicted again: 1,515 of 2,149 updates of a fleet of 62 routers.
func TestModifyBacksOffUnderContention(t *testing.T) {
	fake := clock.NewFake()
	objects := &contendedStore{conflicts: 4, updates: make(chan int)}
	writer := page.Writer{Objects: objects, Clock: fake, Random: rand.New(rand.NewPCG(1, 2))}
	finished := make(chan error, 1)
	go func() {
		held := store.Object{Name: "account/0", Version: 1, Value: []byte(`{"accounts":{}}`)}
		_, _, err := writer.Modify(t.Context(), held, func(p account.Page) bool {
			return p.Grant(account.GrantRequest{Budget: "hall", Holder: "a", Target: 10}, 100)
		})
		finished <- err
	}()
	// The first conflict shows only that the held copy was outdated.
	for want := 1; want <= 2; want++ {
		if got := <-objects.updates; got != want {
			t.Fatalf("update without a wait: got %d, want %d", got, want)
		}
	}
	for want := 3; want <= 5; want++ {
		if err := fake.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-objects.updates:
			t.Fatalf("update %d came without a wait", got)
		default:
		}
		fake.Advance(page.MaxConflictBackoff)
		if got := <-objects.updates; got != want {
			t.Fatalf("update after a wait: got %d, want %d", got, want)
		}
	}
	if err := <-finished; err != nil {
		t.Errorf("modify: got %v, want no error", err)
	}
}

// TestModifyStopsWaitingWithItsContext cancels a change during the wait.
func TestModifyStopsWaitingWithItsContext(t *testing.T) {
	fake := clock.NewFake()
	objects := &contendedStore{conflicts: page.MaxAttempts, updates: make(chan int, page.MaxAttempts)}
	writer := page.Writer{Objects: objects, Clock: fake, Random: rand.New(rand.NewPCG(1, 2))}
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	cancel()
	held := store.Object{Name: "account/0", Version: 1, Value: []byte(`{"accounts":{}}`)}
	_, _, err := writer.Modify(ctx, held, func(p account.Page) bool {
		return p.Grant(account.GrantRequest{Budget: "hall", Holder: "a", Target: 10}, 100)
	})
	if err == nil {
		t.Error("modify with an ended context: got no error, want one")
	}
}
