// Package page changes account pages in the object store.
//
// A change sets absolute values, so it is idempotent: a page whose update had an
// unknown result is read back and changed again, which alters nothing if the update
// had taken effect.
//
// # Usage
//
//	writer := page.Writer{Objects: objects, Clock: clock.New(), Random: random.New()}
//	held, current, err := writer.Modify(ctx, held, func(p account.Page) bool {
//		return p.Grant(request, purchased)
//	})
package page

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/process/store"
)

// MaxAttempts bounds the attempts of one change, each with at most one read and one
// update.
const MaxAttempts = 16

// Bounds of the random wait after a conflict. The first conflict of a change is followed
// by no wait: it shows only that the held copy was outdated. The second one shows that
// others write at the same time, and its wait is at most MinConflictBackoff. The bound
// doubles with each further conflict, up to MaxConflictBackoff.
const (
	MinConflictBackoff = 20 * time.Millisecond
	MaxConflictBackoff = 160 * time.Millisecond
)

// Writer changes account pages. It is safe for concurrent use if its Random is.
type Writer struct {
	Objects store.Store
	Clock   clock.Clock
	Random  random.Source
}

// ContendedError reports that a change used all of its attempts, as a rule because of
// conflicts with other writers.
type ContendedError struct {
	Name     string
	Attempts int
}

// Error implements error.
func (e *ContendedError) Error() string {
	return fmt.Sprintf("page %s: gave up after %d attempts that conflicted with other writers", e.Name, e.Attempts)
}

// Modify calls apply with the page and stores the page if apply returns true, which means
// that it altered the page. apply must be idempotent and may be called several times. held
// is the object as last read or written, with version zero if it was never read. Modify
// returns the object and the page as they are in the store.
func (w Writer) Modify(ctx context.Context, held store.Object, apply func(account.Page) bool) (store.Object, account.Page, error) {
	var err error
	useHeld := held.Version != 0
	conflicts := 0
	for range MaxAttempts {
		if !useHeld {
			held, err = read(ctx, w.Objects, held.Name)
			if err != nil {
				return held, account.Page{}, err
			}
		}
		current, err := account.Decode(held.Value)
		if err != nil {
			return held, account.Page{}, err
		}
		if !apply(current) {
			if useHeld {
				// The held copy may be outdated: apply the change to the page in the store.
				useHeld = false
				continue
			}
			return held, current, nil
		}
		current.Compact()
		written, err := write(ctx, w.Objects, held, current)
		if err == nil {
			return written, current, nil
		}
		if !resolvableByRead(err) {
			return held, account.Page{}, err
		}
		held, useHeld = conflicting(held, err)
		conflicts++
		w.backOff(ctx, conflicts)
	}
	return held, account.Page{}, &ContendedError{Name: held.Name, Attempts: MaxAttempts}
}

// backOff waits after the conflict of the given number. Writers whose changes collide
// would otherwise repeat them together and collide again.
func (w Writer) backOff(ctx context.Context, conflicts int) {
	if conflicts < 2 {
		return
	}
	bound := min(MaxConflictBackoff, MinConflictBackoff<<(conflicts-2))
	timer := w.Clock.NewTimer(time.Duration(w.Random.Float64() * float64(bound)))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// conflicting returns the stored object that a write conflicted with, and true if the
// error contains the value of that object.
func conflicting(held store.Object, err error) (store.Object, bool) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || conflict.Value == nil {
		return held, false
	}
	return store.Object{Name: held.Name, Version: conflict.Current, Value: conflict.Value}, true
}

// resolvableByRead reports whether reading the page back shows if a failed update must be
// repeated. That is so after a conflict, and if the update may have taken effect.
func resolvableByRead(err error) bool {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}

// read returns the stored object, or one with version zero if there is none.
func read(ctx context.Context, objects store.Store, name string) (store.Object, error) {
	object, err := objects.Get(ctx, name)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return store.Object{Name: name}, nil
	}
	return object, err
}

// write creates the object if held has version zero, else updates that version.
func write(ctx context.Context, objects store.Store, held store.Object, current account.Page) (store.Object, error) {
	value, err := current.Encode()
	if err != nil {
		return held, err
	}
	var version store.Version
	if held.Version == 0 {
		version, err = objects.Create(ctx, held.Name, value)
	} else {
		version, err = objects.Update(ctx, held.Name, held.Version, value)
	}
	return store.Object{Name: held.Name, Version: version, Value: value}, err
}
