package response

import (
	"container/list"
	"sync"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// CacheLimits bound what has finished. An entry of more than Bytes is not kept.
type CacheLimits struct {
	Entries int
	Bytes   int64
	Age     time.Duration
}

// CacheStats is how much a memory holds.
type CacheStats struct {
	Running  int   `json:"running"`
	Finished int   `json:"finished"`
	Bytes    int64 `json:"bytes"`
}

// Cache holds values by key. Its methods are safe for concurrent use.
type Cache[K comparable, V any] struct {
	clock  clock.Clock
	limits CacheLimits

	mu       sync.Mutex
	entries  map[K]*entry[K, V]
	finished *list.List
	bytes    int64
}

// entry is one value. Place is its element in the list of finished entries, or
// nil while it is in progress.
type entry[K comparable, V any] struct {
	key     K
	value   V
	bytes   int64
	ended   time.Time
	element *list.Element
}

// NewCache returns an empty memory.
func NewCache[K comparable, V any](clk clock.Clock, limits CacheLimits) *Cache[K, V] {
	return &Cache[K, V]{
		clock:    clk,
		limits:   limits,
		entries:  make(map[K]*entry[K, V]),
		finished: list.New(),
	}
}

// GetOrCreate returns the value of the key. If there is none it keeps a new one, in
// progress, and returns true: the caller then ends it by Finish or Forget.
func (m *Cache[K, V]) GetOrCreate(key K, create func() V) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evict()
	if held, ok := m.entries[key]; ok {
		return held.value, false
	}
	added := &entry[K, V]{key: key, value: create()}
	m.entries[key] = added
	return added.value, true
}

// Finish makes the entry one that may be evicted. Its value must not grow any
// more.
func (m *Cache[K, V]) Finish(key K, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.entries[key]
	if !ok || held.element != nil {
		return
	}
	held.bytes = bytes
	held.ended = m.clock.Now()
	held.element = m.finished.PushBack(held)
	m.bytes += bytes
	m.evict()
}

// Remove removes the entry.
func (m *Cache[K, V]) Remove(key K) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.entries[key]; ok {
		m.removeEntry(held)
	}
}

// CacheStats returns how much is held.
func (m *Cache[K, V]) Stats() CacheStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	finished := m.finished.Len()
	return CacheStats{Running: len(m.entries) - finished, Finished: finished, Bytes: m.bytes}
}

// evict removes finished entries, oldest first, until the limits hold.
func (m *Cache[K, V]) evict() {
	now := m.clock.Now()
	for oldest := m.finished.Front(); oldest != nil; oldest = m.finished.Front() {
		held := oldest.Value.(*entry[K, V])
		expired := now.Sub(held.ended) >= m.limits.Age
		if !expired && m.finished.Len() <= m.limits.Entries && m.bytes <= m.limits.Bytes {
			return
		}
		m.removeEntry(held)
	}
}

func (m *Cache[K, V]) removeEntry(held *entry[K, V]) {
	delete(m.entries, held.key)
	if held.element == nil {
		return
	}
	m.finished.Remove(held.element)
	m.bytes -= held.bytes
}
