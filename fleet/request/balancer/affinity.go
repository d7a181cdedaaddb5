package balancer

import (
	"container/list"
	"sync"
)

// AffinityCache is an LRU cache of the target last picked for each key. It is safe
// for concurrent use.
type AffinityCache[K comparable, V any] struct {
	capacity int

	mu     sync.Mutex
	recent *list.List // most recently used first
	byKey  map[K]*list.Element
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// NewAffinityCache returns an empty cache of at most capacity keys.
func NewAffinityCache[K comparable, V any](capacity int) *AffinityCache[K, V] {
	return &AffinityCache[K, V]{capacity: capacity, recent: list.New(), byKey: make(map[K]*list.Element)}
}

// Get returns the target of the key, or false if the key is not cached, and marks
// the key as most recently used.
func (a *AffinityCache[K, V]) Get(key K) (V, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	element, ok := a.byKey[key]
	if !ok {
		var none V
		return none, false
	}
	a.recent.MoveToFront(element)
	return element.Value.(*entry[K, V]).value, true
}

// Put sets the target of the key and evicts the least recently used key if the
// cache is over its capacity.
func (a *AffinityCache[K, V]) Put(key K, value V) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if element, ok := a.byKey[key]; ok {
		element.Value.(*entry[K, V]).value = value
		a.recent.MoveToFront(element)
		return
	}
	a.byKey[key] = a.recent.PushFront(&entry[K, V]{key, value})
	if a.recent.Len() > a.capacity {
		oldest := a.recent.Back()
		delete(a.byKey, a.recent.Remove(oldest).(*entry[K, V]).key)
	}
}

// Len returns the number of cached keys.
func (a *AffinityCache[K, V]) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recent.Len()
}
