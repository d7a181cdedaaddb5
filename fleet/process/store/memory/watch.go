package memory

import (
	"context"
	"time"

	"jacinthpaddle.example/fleet/process/store"
)

// waiter is a waiting watch.
type waiter struct {
	prefix string
	// wake is closed to end the wait.
	wake chan struct{}
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Version, wait time.Duration) (store.Changes, error) {
	request := call{operation: "watch", name: prefix}
	changes, waiter := s.startWatch(prefix, after)
	if waiter != nil {
		if err := s.awaitChange(ctx, waiter, wait); err != nil {
			return store.Changes{}, request.unavailableError(false, err)
		}
		changes = s.changesSince(prefix, after)
	}
	if err := s.awaitReply(ctx, s.Faults(), request); err != nil {
		return store.Changes{}, err
	}
	return changes, nil
}

// startWatch returns the changes so far, and a registered waiter if there are none
// and the store is not down.
func (s *Store) startWatch(prefix string, after store.Version) (store.Changes, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	changes := s.history.changesSince(prefix, after)
	if s.faults.Down || len(changes.Changed) > 0 {
		return changes, nil
	}
	waiting := &waiter{prefix: prefix, wake: make(chan struct{})}
	s.waiters[waiting] = struct{}{}
	s.counts.Waiting++
	return changes, waiting
}

// awaitChange blocks until the waiter is woken, the wait has passed, or the context
// ends. Only the last is an error.
func (s *Store) awaitChange(ctx context.Context, waiting *waiter, wait time.Duration) error {
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	defer s.removeWaiter(waiting)
	select {
	case <-waiting.wake:
		return nil
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) changesSince(prefix string, after store.Version) store.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.changesSince(prefix, after)
}

// removeWaiter removes a waiter, which may have been woken already.
func (s *Store) removeWaiter(waiting *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting--
	delete(s.waiters, waiting)
}

// wake ends the wait of one watch. The caller holds the mutex.
func (s *Store) wake(waiting *waiter) {
	delete(s.waiters, waiting)
	close(waiting.wake)
}

// wakeAll ends the wait of all watches. The caller holds the mutex.
func (s *Store) wakeAll() {
	for waiting := range s.waiters {
		s.wake(waiting)
	}
}
