package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
)

// tickets remembers the issued keys that have run. Two keys with the same
// digest would make the second one lost, never run twice.
type tickets struct {
	mu    sync.Mutex
	spent map[uint64]struct{}
	limit int
}

func newTickets(limit int) *tickets {
	return &tickets{spent: make(map[uint64]struct{}), limit: limit}
}

func (t *tickets) state(key string) TicketState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.spent[digestOf(key)]; ok {
		return TicketUsed
	}
	if len(t.spent) >= t.limit {
		return TicketTableFull
	}
	return TicketUnused
}

func (t *tickets) add(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spent[digestOf(key)] = struct{}{}
}

func (t *tickets) remove(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.spent, digestOf(key))
}

func (t *tickets) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.spent)
}

func digestOf(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:8])
}
