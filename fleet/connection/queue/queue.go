// Package queue provides the bounded send queue of a connection, which has many
// senders and one writer.
//
// # Usage
//
//	pending := queue.New(1024, droppable)
//	err := pending.Push(message)
//
//	for {
//		select {
//		case <-pending.Ready():
//			for message, ok := pending.Pop(); ok; message, ok = pending.Pop() {
//				write(message)
//			}
//		case <-ctx.Done():
//			return
//		}
//	}
package queue

import (
	"fmt"
	"sync"
)

// FullError reports that a queue is full of items that may not be dropped.
type FullError struct {
	// Limit is the size of the queue in items.
	Limit int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue is full at %d items", e.Limit)
}

// Bounded is a FIFO queue of at most a fixed number of items. When it is full, a push
// drops the oldest droppable item. All methods are safe for concurrent use and never
// block.
type Bounded[T any] struct {
	limit     int
	droppable func(T) bool
	// ready holds at most one signal, so that Push does not block on it.
	ready chan struct{}

	mu    sync.Mutex
	items []T
}

// New returns an empty queue of at most limit items. The droppable function returns
// whether an item may be dropped. It must not call methods of the queue.
func New[T any](limit int, droppable func(T) bool) *Bounded[T] {
	return &Bounded[T]{
		limit:     limit,
		droppable: droppable,
		ready:     make(chan struct{}, 1),
	}
}

// Push appends the item and returns the items that were dropped. If the queue is full
// of items that are not droppable, a droppable item is dropped itself, and any other
// is refused with a *FullError.
func (q *Bounded[T]) Push(item T) ([]T, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var dropped []T
	if len(q.items) >= q.limit {
		index := q.oldestDroppable()
		if index < 0 && q.droppable(item) {
			return []T{item}, nil
		}
		if index < 0 {
			return nil, &FullError{Limit: q.limit}
		}
		dropped = append(dropped, q.items[index])
		q.items = append(q.items[:index], q.items[index+1:]...)
	}
	q.items = append(q.items, item)
	q.signal()
	return dropped, nil
}

// oldestDroppable returns the index of the oldest droppable item, or -1.
func (q *Bounded[T]) oldestDroppable() int {
	for index, item := range q.items {
		if q.droppable(item) {
			return index
		}
	}
	return -1
}

func (q *Bounded[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// Pop removes and returns the oldest item, if there is one.
func (q *Bounded[T]) Pop() (T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var item T
	if len(q.items) == 0 {
		return item, false
	}
	item, q.items[0] = q.items[0], item
	q.items = q.items[1:]
	return item, true
}

// Len returns the number of items.
func (q *Bounded[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Ready returns a channel that gets a signal after a Push. Several pushes can result in
// one signal, so a receiver must pop until the queue is empty.
func (q *Bounded[T]) Ready() <-chan struct{} {
	return q.ready
}
