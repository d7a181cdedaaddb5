package account

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
)

// LayoutName is the name of the object with the Layout of a fleet.
const LayoutName = "layout/accounts"

// WritesPerPage is the rate of writes, in calls a second, that the platform allows a fleet
// for each page. Updates of one page exclude each other, so that a page takes about 40
// updates a second, most of which conflict once. On one page the updates of 195 routers
// took longer than requests wait for credits.
const WritesPerPage = 800

// Layout is how the accounts of a fleet are distributed over pages. The first process
// stores it, since accounts would be granted twice if it changed.
type Layout struct {
	Pages int `json:"pages"`
}

// LayoutFor returns the layout of a new fleet to which the platform allows the rate of
// writes, in calls a second.
func LayoutFor(writesPerSecond float64) Layout {
	return Layout{Pages: int(min(max(1, writesPerSecond/WritesPerPage), PageCount))}
}

// LayoutError reports a stored layout that cannot be used.
type LayoutError struct {
	Pages int
}

// Error implements error.
func (e *LayoutError) Error() string {
	return fmt.Sprintf("%s: pages: must be from 1 to %d, not %d", LayoutName, PageCount, e.Pages)
}

// ReadLayout returns the stored layout. If there is none, it stores and returns the one
// that is proposed, or a layout with one page if there are accounts already, which a fleet
// without a layout keeps on one page.
func ReadLayout(ctx context.Context, objects store.Store, proposed Layout) (Layout, error) {
	object, err := objects.Get(ctx, LayoutName)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return createLayout(ctx, objects, proposed)
	}
	if err != nil {
		return Layout{}, err
	}
	return decodeLayout(object.Value)
}

func createLayout(ctx context.Context, objects store.Store, proposed Layout) (Layout, error) {
	_, err := objects.Get(ctx, PageName("", 1))
	var missing *store.NotFoundError
	switch {
	case err == nil:
		proposed = Layout{Pages: 1}
	case !errors.As(err, &missing):
		return Layout{}, err
	}
	value, err := json.Marshal(proposed)
	if err != nil {
		return Layout{}, errors.Annotate(err, LayoutName)
	}
	_, err = objects.Create(ctx, LayoutName, value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && conflict.Value != nil {
		return decodeLayout(conflict.Value)
	}
	return proposed, err
}

func decodeLayout(value []byte) (Layout, error) {
	var layout Layout
	if err := json.Unmarshal(value, &layout); err != nil {
		return Layout{}, errors.Annotate(err, LayoutName)
	}
	if layout.Pages < 1 || layout.Pages > PageCount {
		return Layout{}, &LayoutError{Pages: layout.Pages}
	}
	return layout, nil
}
