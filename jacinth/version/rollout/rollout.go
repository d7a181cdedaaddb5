// Package rollout publishes a folder of declarations and waits for the routers
// to confirm it.
//
// # Usage
//
//	plan, err := rollout.Prepare(ctx, objects, os.DirFS("declarations"))
//	pointer, err := plan.Publish(ctx, objects)
//	confirmations := rollout.Confirm(ctx, wait, machines, pointer.Number)
package rollout

import (
	"context"
	"fmt"
	"io/fs"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
)

// Plan is a checked set and the generation that it was checked against.
type Plan struct {
	Base        generation.Pointer
	Predecessor declaration.Set
	Set         declaration.Set
}

// BaseMismatchError says that another generation is in force than the one that the
// folder was edited from. Differences is what the folder would change.
type BaseMismatchError struct {
	Want        int64
	Active      int64
	Differences []declaration.Difference
}

// Error implements error.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("generation %d is in force, not %d, and the folder would change it in %d places",
		e.Active, e.Want, len(e.Differences))
}

// Prepare loads the declarations and checks them against the generation in
// force. It returns a declaration.FaultsError if anything is wrong with them.
func Prepare(ctx context.Context, objects store.Store, folder fs.FS) (Plan, error) {
	set, err := declaration.Load(folder)
	if err != nil {
		return Plan{}, errors.Trace(err)
	}
	base, err := generation.FetchPointer(ctx, objects)
	if err != nil {
		return Plan{}, errors.Trace(err)
	}
	inForce, err := generation.FetchAt(ctx, objects, base)
	if err != nil {
		return Plan{}, errors.Trace(err)
	}
	if faults := declaration.Check(set, &inForce.Set); len(faults) > 0 {
		return Plan{}, &declaration.FaultsError{Faults: faults}
	}
	plan := Plan{
		Base:        base,
		Predecessor: inForce.Set,
		Set:         declaration.WithRetiredBudgets(set, inForce.Set),
	}
	return plan, nil
}

// Publish puts the set in force, or returns a generation.ConflictError.
func (p Plan) Publish(ctx context.Context, objects store.Store) (generation.Pointer, error) {
	pointer, err := generation.Publish(ctx, objects, p.Set, p.Base)
	return pointer, errors.Trace(err)
}

// CheckBase returns a BaseError if the plan changes another generation than the
// one of that number. It lets an operator with an old folder not undo what
// others have published since.
func (p Plan) CheckBase(number int64) error {
	changes := p.Differences()
	if p.Base.Number == number || len(changes) == 0 {
		return nil
	}
	return &BaseMismatchError{Want: number, Active: p.Base.Number, Differences: changes}
}

// Differences returns what the plan changes.
func (p Plan) Differences() []declaration.Difference {
	return declaration.Diff(p.Predecessor, p.Set)
}
