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
	// Entries is the maximum number of finished entries.
	Entries int
	// Bytes is the maximum total size of finished entries.
	Bytes int64
	// Age is the time after which a finished entry is evicted.
	Age time.Duration
}

// CacheStats counts the entries of a Cache. Bytes is the size of the finished ones.
type CacheStats struct {
	Running  int   `json:"running"`
	Finished int   `json:"finished"`
	Bytes    int64 `json:"bytes"`
}

// Cache holds values by key, each in progress or finished. Only finished ones are evicted.
// Its methods are safe for concurrent use.
type Cache[K comparable, V any] struct {
	clock  clock.Clock
	limits CacheLimits

	mu      sync.Mutex
	entries map[K]*entry[K, V]
	// finished lists the finished entries, oldest first.
	finished *list.List
	// bytes is the total size of the finished entries.
	bytes int64
}

// entry is a value with its key and, once it has finished, its size and time of the end.
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
func (c *Cache[K, V]) GetOrCreate(key K, create func() V) (V, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict()
	if held, ok := c.entries[key]; ok {
		return held.value, false
	}
	added := &entry[K, V]{key: key, value: create()}
	c.entries[key] = added
	return added.value, true
}

// Finish marks the entry as finished, so that it may be evicted. bytes is the size of its
// value, which must not change any more.
func (c *Cache[K, V]) Finish(key K, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.entries[key]
	if !ok || held.element != nil {
		return
	}
	held.bytes = bytes
	held.ended = c.clock.Now()
	held.element = c.finished.PushBack(held)
	c.bytes += bytes
	c.evict()
}

// Remove removes the entry of the key, also one in progress.
func (c *Cache[K, V]) Remove(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.entries[key]; ok {
		c.removeEntry(held)
	}
}

// Stats returns the current counts.
func (c *Cache[K, V]) Stats() CacheStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	finished := c.finished.Len()
	return CacheStats{Running: len(c.entries) - finished, Finished: finished, Bytes: c.bytes}
}

// evict removes finished entries, oldest first, until the limits are met.
func (c *Cache[K, V]) evict() {
	now := c.clock.Now()
	for oldest := c.finished.Front(); oldest != nil; oldest = c.finished.Front() {
		held := oldest.Value.(*entry[K, V])
		expired := now.Sub(held.ended) >= c.limits.Age
		if !expired && c.finished.Len() <= c.limits.Entries && c.bytes <= c.limits.Bytes {
			return
		}
		c.removeEntry(held)
	}
}

func (c *Cache[K, V]) removeEntry(held *entry[K, V]) {
	delete(c.entries, held.key)
	if held.element == nil {
		return
	}
	c.finished.Remove(held.element)
	c.bytes -= held.bytes
}
