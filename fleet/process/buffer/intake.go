package buffer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
)

// SmallIntake is the size up to which an intake may use the part of the memory that is
// reserved for small ones.
const SmallIntake = 64 << 10

// StallGrace is how long an intake without progress keeps its memory when another one
// needs it.
const StallGrace = time.Second

// reservedFraction is the fraction of the memory that is reserved for small intakes.
const reservedFraction = 4

// Receiver is the part of a Pool that requests occupy while they are received and
// served. It is safe for concurrent use.
//
// The requests of one owner, which is the address of a caller, together get as much as
// stays free beside them, a single large request all of it, and small requests have a
// reserve. If there is no room,
// requests that are received without progress give up their memory, the one that
// stalled first before the others.
type Receiver struct {
	// Pool is shared with the responses.
	Pool *Pool
	// Capacity is the number of bytes that all intakes together hold at most.
	Capacity int64
	Clock    clock.Clock

	mu sync.Mutex
	// used and large are the bytes of all intakes, and of those beyond SmallIntake.
	used  int64
	large int64
	// largeByOwner is large for each owner.
	largeByOwner map[string]int64
	intakes      map[*Intake]struct{}
}

// Intake is the memory of one request, or of the requests that a connection carries one
// after another.
type Intake struct {
	receiver *Receiver
	owner    string
	// revoke ends the reading of the request. It is called without locks.
	revoke func()

	// The fields below are guarded by the mutex of the receiver.
	size       int64
	progressed time.Time
	state      intakeState
	// revoked is set once the intake gave up its memory. It gets none again.
	revoked bool
}

// intakeState is what an intake waits for.
type intakeState string

const (
	// idle means that the next request has not begun.
	idle intakeState = "idle"
	// receiving means that a request has begun and is not complete.
	receiving intakeState = "receiving"
	// complete means that a request was received and is served.
	complete intakeState = "complete"
)

// RevokedError means that a request gave up its memory because it made no progress.
type RevokedError struct {
	Size int64
}

// Error implements error.
func (e *RevokedError) Error() string {
	return fmt.Sprintf("a request of %d bytes made no progress while memory was short", e.Size)
}

// Open returns an empty intake, which must be closed. The function revoke must end the
// reading of the request without waiting for it.
func (r *Receiver) Open(owner string, revoke func()) *Intake {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.intakes == nil {
		r.intakes = make(map[*Intake]struct{})
		r.largeByOwner = make(map[string]int64)
	}
	intake := &Intake{receiver: r, owner: owner, revoke: revoke, state: receiving, progressed: r.Clock.Now()}
	r.intakes[intake] = struct{}{}
	return intake
}

// Used returns the bytes that all intakes hold.
func (r *Receiver) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Grow adds bytes that were received or are about to be. Its error is a *FullError or a
// *RevokedError, after which the intake has its former size.
func (i *Intake) Grow(bytes int64) error {
	revoked, err := i.receiver.grow(i, bytes)
	for _, other := range revoked {
		other.revoke()
	}
	return err
}

// grow returns the intakes that gave up their memory.
func (r *Receiver) grow(intake *Intake, bytes int64) ([]*Intake, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	intake.progressed = now
	if intake.state == idle && bytes > 0 {
		intake.state = receiving
	}
	size := intake.size + bytes
	var revoked []*Intake
	for !intake.revoked {
		if r.fits(intake, size) && r.Pool.reserve(size-intake.size) {
			r.resize(intake, size)
			return revoked, nil
		}
		victim := r.stalled(intake, size, now)
		if victim == nil {
			return revoked, &FullError{Size: size, Free: r.Capacity - r.used}
		}
		r.release(victim, 0)
		victim.revoked = true
		revoked = append(revoked, victim)
	}
	return revoked, &RevokedError{Size: size}
}

// fits reports whether the intake may have the size.
func (r *Receiver) fits(intake *Intake, size int64) bool {
	if r.used+size-intake.size > r.Capacity {
		return false
	}
	if size <= SmallIntake {
		return true
	}
	delta := size - intake.large()
	free := r.Capacity - r.Capacity/reservedFraction - r.large - delta
	if alone := r.large == intake.large(); alone {
		return free >= 0
	}
	return r.largeByOwner[intake.owner]+delta <= free
}

// stalled returns the other intake that has made no progress for the longest time, and
// nil if there is none whose memory helps an intake of the size.
func (r *Receiver) stalled(intake *Intake, size int64, now time.Time) *Intake {
	var longest *Intake
	for other := range r.intakes {
		useful := other.size > 0 && (size <= SmallIntake || other.large() > 0)
		if other == intake || !useful || !other.spare(now) {
			continue
		}
		if longest == nil || other.progressed.Before(longest.progressed) {
			longest = other
		}
	}
	return longest
}

// large returns the size of an intake beyond SmallIntake, and zero for a small one.
func (i *Intake) large() int64 {
	if i.size <= SmallIntake {
		return 0
	}
	return i.size
}

// release shrinks an intake and returns the memory to the pool.
func (r *Receiver) release(intake *Intake, size int64) {
	r.Pool.used.Add(size - intake.size)
	r.resize(intake, size)
}

// resize changes the size of an intake in all sums but that of the pool.
func (r *Receiver) resize(intake *Intake, size int64) {
	r.used += size - intake.size
	before := intake.large()
	intake.size = size
	delta := intake.large() - before
	r.large += delta
	r.largeByOwner[intake.owner] += delta
	if r.largeByOwner[intake.owner] == 0 {
		delete(r.largeByOwner, intake.owner)
	}
}

// Shrink returns bytes that are no longer occupied.
func (i *Intake) Shrink(bytes int64) {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	if !i.revoked {
		i.receiver.release(i, max(0, i.size-bytes))
	}
}

// Progress records that something was received.
func (i *Intake) Progress() {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	i.progressed = i.receiver.Clock.Now()
}

// Begin notes that more of the request is to be received.
func (i *Intake) Begin() {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	i.state = receiving
	i.progressed = i.receiver.Clock.Now()
}

// Complete notes that the request is received. From then on its memory is not revoked. If
// it was before, Complete returns a *RevokedError.
func (i *Intake) Complete() error {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	if i.revoked {
		return &RevokedError{Size: i.size}
	}
	i.state = complete
	return nil
}

// Reset returns the memory and makes the intake idle until the next request of its
// connection.
func (i *Intake) Reset() {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	i.receiver.release(i, 0)
	i.state = idle
	i.progressed = i.receiver.Clock.Now()
}

// Spare reports whether the intake is idle, or its request is incomplete and has made no
// progress for StallGrace, and since when it is idle or without progress.
func (i *Intake) Spare() (since time.Time, spare bool) {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	return i.progressed, i.spare(i.receiver.Clock.Now())
}

func (i *Intake) spare(now time.Time) bool {
	return i.state == idle || i.state == receiving && now.Sub(i.progressed) >= StallGrace
}

// Evict revokes the intake if it is spare, and reports whether it did.
func (i *Intake) Evict() bool {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	if i.revoked || !i.spare(i.receiver.Clock.Now()) {
		return false
	}
	i.receiver.release(i, 0)
	i.revoked = true
	return true
}

// Close returns the memory. The intake must not be used again.
func (i *Intake) Close() {
	i.receiver.mu.Lock()
	defer i.receiver.mu.Unlock()
	i.receiver.release(i, 0)
	delete(i.receiver.intakes, i)
}

// reserve adds bytes that intakes hold, and reports whether there is room.
func (p *Pool) reserve(bytes int64) bool {
	for {
		used := p.used.Load()
		if bytes > 0 && used+bytes > p.Capacity {
			return false
		}
		if p.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// intakeKey is the context key of WithIntake.
type intakeKey struct{}

// WithIntake returns a context for the requests of a connection with the intake.
func WithIntake(ctx context.Context, intake *Intake) context.Context {
	return context.WithValue(ctx, intakeKey{}, intake)
}

// IntakeFrom returns the intake of the connection, or nil without one.
func IntakeFrom(ctx context.Context) *Intake {
	intake, _ := ctx.Value(intakeKey{}).(*Intake)
	return intake
}
