package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
)

// usedTickets is the set of tickets with which a request was run. It stores 64-bit
// digests. If two tickets have the same digest, the second one counts as used and its
// response is reported as lost; no collision makes a ticket run twice.
type usedTickets struct {
	mu      sync.Mutex
	digests map[uint64]struct{}
	limit   int
}

func newUsedTickets(limit int) *usedTickets {
	return &usedTickets{digests: make(map[uint64]struct{}), limit: limit}
}

func (t *usedTickets) state(key string) TicketState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.digests[digestOf(key)]; ok {
		return TicketUsed
	}
	if len(t.digests) >= t.limit {
		return TicketTableFull
	}
	return TicketUnused
}

func (t *usedTickets) add(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.digests[digestOf(key)] = struct{}{}
}

func (t *usedTickets) remove(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.digests, digestOf(key))
}

func (t *usedTickets) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.digests)
}

func digestOf(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:8])
}
