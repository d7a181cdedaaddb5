// Package buffer bounds the memory that all requests and responses of a process occupy. A
// bound for each of them alone is not enough: endpoints in trouble may send many bodies
// without end at one time, and callers many requests that never end.
//
// Responses hold leases, requests hold intakes of a Receiver, which is a part of the pool.
// A lease may grow to as much as stays free beside it. One large response gets half of the
// pool, many get less each, and small ones always find room.
//
// # Usage
//
//	pool := &buffer.Pool{Capacity: 64 << 20}
//	lease := pool.Lease()
//	defer lease.Release()
//	if err := lease.Resize(int64(len(body))); err != nil {
//		return err // *buffer.FullError
//	}
//
//	receiver := &buffer.Receiver{Pool: pool, Capacity: 20 << 20, Clock: clock.New()}
//	intake := receiver.Open(remoteIP, func() { _ = conn.SetReadDeadline(time.Unix(0, 1)) })
//	defer intake.Close()
//	if err := intake.Grow(int64(len(received))); err != nil {
//		return err // *buffer.FullError or *buffer.RevokedError
//	}
package buffer

import (
	"fmt"
	"sync/atomic"
)

// FreeBytes is the size up to which a lease does not count. Ordinary events and bodies stay
// below it.
const FreeBytes = 64 << 10

// Pool is the memory for all leases and intakes. It is safe for concurrent use.
type Pool struct {
	// Capacity is the size of the pool in bytes.
	Capacity int64

	used atomic.Int64
}

// Lease is the part of a pool that one response occupies. It belongs to one goroutine. A nil
// lease is without a bound.
type Lease struct {
	pool *Pool
	held int64
}

// FullError means that a lease cannot grow to the size.
type FullError struct {
	Size int64
	Free int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for a response of %d bytes: %d free", e.Size, e.Free)
}

// Used returns the bytes that all leases and intakes hold.
func (p *Pool) Used() int64 {
	return p.used.Load()
}

// Lease returns an empty lease, which must be released. A nil pool returns a nil lease.
func (p *Pool) Lease() *Lease {
	if p == nil {
		return nil
	}
	return &Lease{pool: p}
}

// Resize changes the size of the lease. If there is no room, it returns a FullError and the
// lease stays as it is.
func (l *Lease) Resize(size int64) error {
	if l == nil {
		return nil
	}
	counted := max(0, size-FreeBytes)
	delta := counted - l.held
	for {
		used := l.pool.used.Load()
		if free := l.pool.Capacity - used; delta > 0 && counted > free-delta {
			return &FullError{Size: size, Free: free}
		}
		if l.pool.used.CompareAndSwap(used, used+delta) {
			l.held = counted
			return nil
		}
	}
}

// Release returns the whole lease.
func (l *Lease) Release() {
	// Shrinking always succeeds.
	_ = l.Resize(0)
}
