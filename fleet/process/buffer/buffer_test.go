package buffer_test

import (
	"sync"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/buffer"
)

const capacity = 8 << 20

// grow resizes the lease in steps until the pool has no room for it, and returns its size.
func grow(t *testing.T, lease *buffer.Lease) int64 {
	t.Helper()
	var size int64
	for {
		err := lease.Resize(size + buffer.FreeBytes)
		var full *buffer.FullError
		if errors.As(err, &full) {
			return size
		}
		if err != nil || size > 2*capacity {
			t.Fatalf("resize to %d: got %v, want a FullError", size, err)
		}
		size += buffer.FreeBytes
	}
}

func TestLeasesLeaveRoomForOthers(t *testing.T) {
	pool := &buffer.Pool{Capacity: capacity}
	first := pool.Lease()
	if got := grow(t, first); got < capacity/2-buffer.FreeBytes || got > capacity/2+buffer.FreeBytes {
		t.Errorf("one response: got %d bytes, want half of the pool", got)
	}
	var others []*buffer.Lease
	for range 20 {
		lease := pool.Lease()
		grow(t, lease)
		others = append(others, lease)
	}
	if got := pool.Used(); got > capacity {
		t.Errorf("used: got %d, want at most %d", got, capacity)
	}
	small := pool.Lease()
	if err := small.Resize(buffer.FreeBytes); err != nil {
		t.Errorf("small response beside large ones: got %v, want room", err)
	}
	for _, lease := range append(others, first, small) {
		lease.Release()
	}
	if got := pool.Used(); got != 0 {
		t.Errorf("used in the end: got %d, want 0", got)
	}
}

func TestPoolIsSafeForConcurrentUse(t *testing.T) {
	pool := &buffer.Pool{Capacity: capacity}
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			lease := pool.Lease()
			defer lease.Release()
			for size := int64(0); lease.Resize(size) == nil; size += 10_000 {
				if got := pool.Used(); got > capacity {
					t.Errorf("used: got %d, want at most %d", got, capacity)
				}
			}
		})
	}
	group.Wait()
	if got := pool.Used(); got != 0 {
		t.Errorf("used in the end: got %d, want 0", got)
	}
}
