package balancer

import (
	"container/list"
	"sync"
)

// Affinity remembers the last target of each key, up to a bound, and forgets
// the least recently used first. It is safe for concurrent use.
type Affinity[K comparable, V any] struct {
	bound int

	mu     sync.Mutex
	recent *list.List
	byKey  map[K]*list.Element
}

type pair[K comparable, V any] struct {
	key   K
	value V
}

// NewAffinity returns an empty memory for at most bound keys.
func NewAffinity[K comparable, V any](bound int) *Affinity[K, V] {
	return &Affinity[K, V]{bound: bound, recent: list.New(), byKey: make(map[K]*list.Element)}
}

// Get returns the target of the key.
func (a *Affinity[K, V]) Get(key K) (V, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	element, ok := a.byKey[key]
	if !ok {
		var none V
		return none, false
	}
	a.recent.MoveToFront(element)
	return element.Value.(*pair[K, V]).value, true
}

// Put sets the target of the key.
func (a *Affinity[K, V]) Put(key K, value V) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if element, ok := a.byKey[key]; ok {
		element.Value.(*pair[K, V]).value = value
		a.recent.MoveToFront(element)
		return
	}
	a.byKey[key] = a.recent.PushFront(&pair[K, V]{key, value})
	if a.recent.Len() > a.bound {
		oldest := a.recent.Back()
		delete(a.byKey, a.recent.Remove(oldest).(*pair[K, V]).key)
	}
}

// Len returns the number of keys remembered.
func (a *Affinity[K, V]) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recent.Len()
}
