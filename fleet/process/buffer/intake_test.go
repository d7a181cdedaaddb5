package buffer_test

import (
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/clock"
)

// largeCapacity is the part of the capacity that is not reserved for small intakes.
const largeCapacity = capacity * 3 / 4

func newReceiver() (*buffer.Receiver, *clock.Fake) {
	fake := clock.NewFake()
	pool := &buffer.Pool{Capacity: 2 * capacity}
	return &buffer.Receiver{Pool: pool, Capacity: capacity, Clock: fake}, fake
}

// open returns an intake and a counter of its revocations.
func open(t *testing.T, receiver *buffer.Receiver, owner string) (*buffer.Intake, *int) {
	t.Helper()
	revoked := new(int)
	return receiver.Open(owner, func() { *revoked++ }), revoked
}

// growIntake grows an intake until there is no room, and returns its size.
func growIntake(t *testing.T, intake *buffer.Intake) int64 {
	t.Helper()
	const step = 16 << 10
	for size := int64(0); ; size += step {
		err := intake.Grow(step)
		var full *buffer.FullError
		if errors.As(err, &full) {
			return size
		}
		if err != nil || size > 2*capacity {
			t.Fatalf("grow from %d: got %v, want a FullError", size, err)
		}
	}
}

func TestSingleIntakeGetsAllButTheReserve(t *testing.T) {
	receiver, _ := newReceiver()
	intake, _ := open(t, receiver, "a")
	if got := growIntake(t, intake); got != largeCapacity {
		t.Errorf("size: got %d, want %d", got, int64(largeCapacity))
	}
	small, _ := open(t, receiver, "a")
	if err := small.Grow(buffer.SmallIntake); err != nil {
		t.Errorf("small intake: got %v, want room", err)
	}
	intake.Close()
	small.Close()
	if got := receiver.Used() + receiver.Pool.Used(); got != 0 {
		t.Errorf("used in the end: got %d, want 0", got)
	}
}

// TestOwnersShareTheMemory has one address send many large bodies that all arrive, and
// another one that comes later.
func TestOwnersShareTheMemory(t *testing.T) {
	receiver, _ := newReceiver()
	var crowd int64
	for range 50 {
		intake, _ := open(t, receiver, "crowd")
		if err := intake.Grow(buffer.SmallIntake + 1); err != nil {
			break
		}
		crowd += buffer.SmallIntake + 1
	}
	if crowd > largeCapacity/2 {
		t.Errorf("one address: got %d, want at most half of %d", crowd, int64(largeCapacity))
	}
	other, _ := open(t, receiver, "ordinary")
	if got := growIntake(t, other); got < largeCapacity/8 {
		t.Errorf("other address: got %d, want at least %d", got, int64(largeCapacity/8))
	}
}

func TestStalledIntakeYields(t *testing.T) {
	receiver, fake := newReceiver()
	stalled, stalledRevoked := open(t, receiver, "a")
	growIntake(t, stalled)
	fake.Advance(buffer.StallGrace / 2)
	slow, slowRevoked := open(t, receiver, "b")
	if err := slow.Grow(1); err != nil {
		t.Fatal(err)
	}
	newest, _ := open(t, receiver, "c")
	var full *buffer.FullError
	if err := newest.Grow(buffer.SmallIntake + 1); !errors.As(err, &full) {
		t.Errorf("within the grace: got %v, want a FullError", err)
	}
	fake.Advance(buffer.StallGrace / 2)
	if err := newest.Grow(buffer.SmallIntake + 1); err != nil {
		t.Errorf("after the grace: got %v, want room", err)
	}
	if *stalledRevoked != 1 || *slowRevoked != 0 {
		t.Errorf("revoked: got %d and %d, want the one that stalled longest", *stalledRevoked, *slowRevoked)
	}
	var revoked *buffer.RevokedError
	if err := stalled.Grow(1); !errors.As(err, &revoked) {
		t.Errorf("grow of the revoked intake: got %v, want a RevokedError", err)
	}
	if err := stalled.Complete(); !errors.As(err, &revoked) {
		t.Errorf("complete of the revoked intake: got %v, want a RevokedError", err)
	}
	stalled.Shrink(1 << 20)
	for _, intake := range []*buffer.Intake{stalled, slow, newest} {
		intake.Close()
	}
	if got := receiver.Used() + receiver.Pool.Used(); got != 0 {
		t.Errorf("used in the end: got %d, want 0", got)
	}
}

// TestCompleteIntakeKeepsItsMemory has a request in service for a long time while others
// have no room.
func TestCompleteIntakeKeepsItsMemory(t *testing.T) {
	receiver, fake := newReceiver()
	served, revoked := open(t, receiver, "a")
	growIntake(t, served)
	if err := served.Complete(); err != nil {
		t.Fatal(err)
	}
	fake.Advance(time.Hour)
	newest, _ := open(t, receiver, "b")
	var full *buffer.FullError
	if err := newest.Grow(buffer.SmallIntake + 1); !errors.As(err, &full) || *revoked != 0 {
		t.Errorf("got %v and %d revoked, want a FullError and none", err, *revoked)
	}
	if served.Evict() {
		t.Error("evict of a request in service: got true, want false")
	}
	served.Reset()
	if !served.Evict() {
		t.Error("evict of an idle connection: got false, want true")
	}
}

func TestRequestsAndResponsesShareThePool(t *testing.T) {
	receiver, _ := newReceiver()
	response := receiver.Pool.Lease()
	defer response.Release()
	grow(t, response)
	other := receiver.Pool.Lease()
	defer other.Release()
	grow(t, other)
	intake, _ := open(t, receiver, "a")
	growIntake(t, intake)
	if got := receiver.Pool.Used(); got > 2*capacity {
		t.Errorf("used: got %d, want at most %d", got, int64(2*capacity))
	}
}

func TestReceiverIsSafeForConcurrentUse(t *testing.T) {
	receiver, _ := newReceiver()
	var group sync.WaitGroup
	for number := range 16 {
		group.Go(func() {
			intake := receiver.Open(string(rune('a'+number%4)), func() {})
			defer intake.Close()
			for intake.Grow(100_000) == nil {
				if got := receiver.Used(); got > capacity {
					t.Errorf("used: got %d, want at most %d", got, int64(capacity))
				}
			}
			intake.Reset()
		})
	}
	group.Wait()
	if got := receiver.Used() + receiver.Pool.Used(); got != 0 {
		t.Errorf("used in the end: got %d, want 0", got)
	}
}
