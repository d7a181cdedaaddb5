// Package memory implements store.Store in memory, with failures that can be set while
// it runs.
//
// A call takes effect when it arrives, and a delay applies only to the reply. A write
// is therefore applied even if its caller stops waiting for the reply.
//
// # Usage
//
//	objects := memory.New(clock.New())
//	objects.SetFaults(memory.Faults{LoseReplies: 1})
//	_, err := objects.Create(ctx, "account/7", value)
package memory

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/store"
)

// Faults are the failures that the store simulates.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is how long each reply is held back.
	Delay time.Duration
	// LoseReplies is how many further writes get no reply although they take effect.
	LoseReplies int
}

// Counts holds the number of calls that have arrived, including failed ones.
type Counts struct {
	Reads   int64 `json:"reads"`
	Lists   int64 `json:"lists"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Waiting is the number of watches that are waiting now.
	Waiting int64 `json:"waiting"`
}

// Causes of an UnavailableError.
const (
	errDown      = errors.ConstError("store is down")
	errReplyLost = errors.ConstError("reply was lost")
)

// Store implements store.Store. Its methods are safe for concurrent use.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	objects map[string]store.Object
	history history
	waiters map[*waiter]struct{}
	faults  Faults
	counts  Counts
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(clk clock.Clock) *Store {
	return &Store{
		clock:   clk,
		objects: make(map[string]store.Object),
		waiters: make(map[*waiter]struct{}),
	}
}

// SetFaults replaces the simulated failures. Waiting watches fail if the store goes
// down.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Down {
		s.wakeAll()
	}
}

// Faults returns the simulated failures.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, name string) (store.Object, error) {
	s.mu.Lock()
	s.counts.Reads++
	object, found := s.objects[name]
	object.Value = bytes.Clone(object.Value)
	faults := s.faults
	s.mu.Unlock()

	if err := s.awaitReply(ctx, faults, call{operation: "get", name: name}); err != nil {
		return store.Object{}, err
	}
	if !found {
		return store.Object{}, &store.NotFoundError{Name: name}
	}
	return object, nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Change, error) {
	s.mu.Lock()
	s.counts.Lists++
	list := s.list(prefix)
	faults := s.faults
	s.mu.Unlock()

	if err := s.awaitReply(ctx, faults, call{operation: "list", name: prefix}); err != nil {
		return nil, err
	}
	return list, nil
}

// list returns the objects under the prefix, sorted by name. The caller holds the
// mutex.
func (s *Store) list(prefix string) []store.Change {
	list := []store.Change{}
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, store.Change{Name: name, Version: object.Version})
		}
	}
	slices.SortFunc(list, func(a, b store.Change) int {
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, name string, value []byte) (store.Version, error) {
	return s.writeObject(ctx, call{operation: "create", name: name, write: true}, 0, value)
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, name string, version store.Version, value []byte) (store.Version, error) {
	return s.writeObject(ctx, call{operation: "update", name: name, write: true}, version, value)
}

func (s *Store) writeObject(ctx context.Context, request call, expected store.Version, value []byte) (store.Version, error) {
	if err := store.CheckSize(request.name, value); err != nil {
		return 0, err
	}
	var written store.Version
	err := s.write(ctx, request, expected, func() {
		written = s.history.nextVersion()
		object := store.Object{Name: request.name, Version: written, Value: bytes.Clone(value)}
		s.objects[request.name] = object
		s.recordChange(store.Change{Name: request.name, Version: written})
	})
	if err != nil {
		return 0, err
	}
	return written, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, name string, version store.Version) error {
	request := call{operation: "delete", name: name, write: true}
	return s.write(ctx, request, version, func() {
		if _, found := s.objects[name]; !found {
			return
		}
		delete(s.objects, name)
		s.recordChange(store.Change{Name: name, Version: s.history.nextVersion(), Deleted: true})
	})
}

// write applies the change if the object has the expected version, then replies.
func (s *Store) write(ctx context.Context, request call, expected store.Version, apply func()) error {
	s.mu.Lock()
	s.counts.Writes++
	faults := s.faults
	current := s.objects[request.name].Version
	if !faults.Down {
		s.faults.LoseReplies = max(0, faults.LoseReplies-1)
		if current == expected {
			apply()
		}
	}
	s.mu.Unlock()

	if err := s.awaitReply(ctx, faults, request); err != nil {
		return err
	}
	if current != expected {
		return &store.ConflictError{Name: request.name, Expected: expected, Current: current}
	}
	return nil
}

// recordChange adds the change to the history and wakes the watches of its name. The
// caller holds the mutex.
func (s *Store) recordChange(change store.Change) {
	s.history.add(change)
	for waiting := range s.waiters {
		if strings.HasPrefix(change.Name, waiting.prefix) {
			s.wake(waiting)
		}
	}
}
