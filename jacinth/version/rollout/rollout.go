// Package rollout publishes a folder of declarations as a new generation and waits until
// the routers have loaded it.
//
// # Usage
//
//	plan, err := rollout.Prepare(ctx, objects, os.DirFS("declarations"))
//	pointer, err := plan.Publish(ctx, objects)
//	confirmations := rollout.Confirm(ctx, poller, machines, pointer.Number)
//	err = rollout.CheckConfirmed(confirmations, pointer.Number)
package rollout

import (
	"context"
	"fmt"
	"io/fs"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
)

// Plan is a validated set that is to replace the active generation.
type Plan struct {
	// Base and Predecessor are the pointer and the set of the active generation, against
	// which Set was validated.
	Base        generation.Pointer
	Predecessor declaration.Set
	Set         declaration.Set
}

// BaseMismatchError is returned if the active generation is not the one on which the
// operator based the declarations.
type BaseMismatchError struct {
	// Want is the number of the generation that the operator expects.
	Want int64
	// Active is the number of the active generation.
	Active int64
	// Differences are the changes that the plan would make to the active generation.
	Differences []declaration.Difference
}

// Error implements error.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("generation %d is active, not %d, and the folder would change it in %d places",
		e.Active, e.Want, len(e.Differences))
}

// Prepare loads the declarations of the folder and validates them against the active
// generation. It returns a *declaration.FaultsError if they have faults.
func Prepare(ctx context.Context, objects store.Store, folder fs.FS) (Plan, error) {
	set, err := declaration.Load(folder)
	if err != nil {
		return Plan{}, errors.Trace(err)
	}
	base, err := generation.FetchPointer(ctx, objects)
	if err != nil {
		return Plan{}, errors.Trace(err)
	}
	active, err := generation.FetchAt(ctx, objects, base)
	if err != nil {
		return Plan{}, errors.Trace(err)
	}
	if faults := declaration.Check(set, &active.Set); len(faults) > 0 {
		return Plan{}, &declaration.FaultsError{Faults: faults}
	}
	plan := Plan{
		Base:        base,
		Predecessor: active.Set,
		Set:         declaration.WithRetiredBudgets(set, active.Set),
	}
	return plan, nil
}

// CheckRegions returns a *declaration.FaultsError if the set names a home region that has
// none of the machines and is not named in the active generation. A region can lose all its
// machines while the generation that names it is active.
func (p Plan) CheckRegions(machines []vm.VM) error {
	known := declaration.NamedRegions(p.Predecessor)
	for _, machine := range machines {
		known = append(known, machine.Region)
	}
	if faults := declaration.CheckRegions(p.Set, known); len(faults) > 0 {
		return &declaration.FaultsError{Faults: faults}
	}
	return nil
}

// Publish makes the set the active generation. It returns a *generation.ConflictError if
// another generation was published since Prepare.
func (p Plan) Publish(ctx context.Context, objects store.Store) (generation.Pointer, error) {
	pointer, err := generation.Publish(ctx, objects, p.Set, p.Base)
	return pointer, errors.Trace(err)
}

// CheckBase returns a *BaseMismatchError if the plan changes anything and its base is not
// the generation with the number. It prevents an operator whose folder is out of date from
// reverting what others have published since.
func (p Plan) CheckBase(number int64) error {
	changes := p.Differences()
	if p.Base.Number == number || len(changes) == 0 {
		return nil
	}
	return &BaseMismatchError{Want: number, Active: p.Base.Number, Differences: changes}
}

// Differences returns the changes that the plan makes to its base.
func (p Plan) Differences() []declaration.Difference {
	return declaration.Diff(p.Predecessor, p.Set)
}
