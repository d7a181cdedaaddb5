package response

import (
	"container/list"
	"sync"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// CacheLimits bound the finished entries of a Cache. An entry that alone exceeds Bytes
// is evicted at once.
type CacheLimits struct {
	Entries int
	Bytes   int64
	Age     time.Duration
}

// CacheStats counts the entries of a Cache. Bytes is the size of the finished ones.
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

// entry is one value.
type entry[K comparable, V any] struct {
	key   K
	value V
	bytes int64
	ended time.Time
	// element is the position in the list of finished entries, nil while in progress.
	element *list.Element
}

// NewCache returns an empty cache.
func NewCache[K comparable, V any](clk clock.Clock, limits CacheLimits) *Cache[K, V] {
	return &Cache[K, V]{
		clock:    clk,
		limits:   limits,
		entries:  make(map[K]*entry[K, V]),
		finished: list.New(),
	}
}

// GetOrCreate returns the value of the key. If there is none it adds a new value, in
// progress, and returns true; the caller must end it by Finish or Remove.
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

// Finish marks the entry as finished, with its size, so that it may be evicted. The
// value must not grow any more.
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

// Remove removes the entry of the key, also one in progress.
func (m *Cache[K, V]) Remove(key K) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.entries[key]; ok {
		m.removeEntry(held)
	}
}

// Stats returns the current counts.
func (m *Cache[K, V]) Stats() CacheStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	finished := m.finished.Len()
	return CacheStats{Running: len(m.entries) - finished, Finished: finished, Bytes: m.bytes}
}

// evict removes finished entries, oldest first, until the limits are met.
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
