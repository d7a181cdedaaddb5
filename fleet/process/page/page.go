// Package page changes account pages in the object store.
//
// Changes are absolute, so a page whose update had no clear result is read back
// and the same changes are applied again: they alter nothing if they took
// effect before.
//
// # Usage
//
//	held, page, err := page.Change(ctx, objects, held, func(p account.Page) bool {
//		return p.Draw(draw, purchased)
//	})
package page

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/store"
)

// MaxTries bounds the updates of one change that lost to other writers.
const MaxTries = 16

// ContendedError says that other writers won every try.
type ContendedError struct {
	Name  string
	Tries int
}

// Error implements error.
func (e *ContendedError) Error() string {
	return fmt.Sprintf("page %s: lost %d updates to other writers", e.Name, e.Tries)
}

// Change applies the change to the page and stores it if that altered it. Held
// is the object as last seen, with version zero if it was never read. It
// returns the object and the page as they are in the store.
func Change(ctx context.Context, objects store.Store, held store.Object, change func(account.Page) bool) (store.Object, account.Page, error) {
	var err error
	useHeld := held.Version != 0
	for range MaxTries {
		if !useHeld {
			held, err = read(ctx, objects, held.Name)
			if err != nil {
				return held, account.Page{}, err
			}
		}
		current, err := account.Decode(held.Value)
		if err != nil {
			return held, account.Page{}, err
		}
		if !change(current) {
			if useHeld {
				// What changes nothing on a held copy may do so on the present page.
				useHeld = false
				continue
			}
			return held, current, nil
		}
		current.Fold()
		written, err := write(ctx, objects, held, current)
		if err == nil {
			return written, current, nil
		}
		if !resolvableByRead(err) {
			return held, account.Page{}, err
		}
		held, useHeld = conflicting(held, err)
	}
	return held, account.Page{}, &ContendedError{Name: held.Name, Tries: MaxTries}
}

// conflicting returns the object that won over a write, and whether the store sent
// it along with the conflict.
func conflicting(held store.Object, err error) (store.Object, bool) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || conflict.Value == nil {
		return held, false
	}
	return store.Object{Name: held.Name, Version: conflict.Current, Value: conflict.Value}, true
}

// resolvableByRead reports whether reading back tells what to do next.
func resolvableByRead(err error) bool {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}

func read(ctx context.Context, objects store.Store, name string) (store.Object, error) {
	object, err := objects.Get(ctx, name)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return store.Object{Name: name}, nil
	}
	return object, err
}

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
