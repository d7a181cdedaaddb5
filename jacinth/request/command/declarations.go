package command

import (
	"context"
	"io/fs"
	"os"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/jacinth/version/rollout"
	"jacinthpaddle.example/jacinth/version/topup"
)

// pollInterval is the pause between two requests for the status of a router.
const pollInterval = 200 * time.Millisecond

// ApplyResult is the printed result of an apply.
type ApplyResult struct {
	Generation    int64                    `json:"generation"`
	Digest        string                   `json:"digest"`
	Differences   []declaration.Difference `json:"differences"`
	Confirmations []rollout.Confirmation   `json:"confirmations"`
}

func (c *Check) run(_ context.Context, session *session) error {
	set, err := declaration.Load(os.DirFS(c.Dir))
	if err != nil {
		return errors.Trace(err)
	}
	session.print.counts(set)
	return nil
}

func (c *Apply) run(ctx context.Context, session *session) error {
	return c.apply(ctx, session, os.DirFS(c.Dir), func() error { return nil })
}

func (c *TopUp) run(ctx context.Context, session *session) error {
	edit, err := topup.Prepare(c.Dir, c.Budget, c.To)
	if err != nil {
		return errors.Trace(err)
	}
	return c.apply(ctx, session, edit, edit.Write)
}

// apply validates the folder, calls commit, publishes the folder and waits until the routers
// confirm it. commit writes pending changes of the folder to disk. It is called only if the
// validation succeeds, and nothing is published if it fails.
func (c *Apply) apply(ctx context.Context, session *session, folder fs.FS, commit func() error) error {
	platform, err := session.platform()
	if err != nil {
		return err
	}
	plan, err := rollout.Prepare(ctx, platform, folder)
	if err != nil {
		return err
	}
	if err := checkRegions(ctx, platform, plan); err != nil {
		return err
	}
	if c.Base != nil {
		if err := plan.CheckBase(*c.Base); err != nil {
			return err
		}
	}
	if err := commit(); err != nil {
		return err
	}
	pointer, err := plan.Publish(ctx, platform)
	if err != nil {
		return err
	}
	return session.confirm(ctx, platform, plan, pointer, c.Wait)
}

// checkRegions checks the home regions in the plan, if there are any, against the list of
// VMs.
func checkRegions(ctx context.Context, lister vm.Lister, plan rollout.Plan) error {
	if len(declaration.NamedRegions(plan.Set)) == 0 {
		return nil
	}
	list, err := lister.VMs(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	return plan.CheckRegions(list.VMs)
}

// confirm waits until the routers confirm the generation and prints the result.
func (s *session) confirm(ctx context.Context, lister vm.Lister, plan rollout.Plan, pointer generation.Pointer, limit time.Duration) error {
	machines, err := s.routerVMs(ctx, lister)
	if err != nil {
		return errors.Annotatef(err, "generation %d is published but not confirmed", pointer.Number)
	}
	poller := rollout.Poller{Clock: s.Clock, Routers: s.routers(), Timeout: limit, Interval: pollInterval}
	applied := ApplyResult{
		Generation:    pointer.Number,
		Digest:        pointer.Digest,
		Differences:   plan.Differences(),
		Confirmations: rollout.Confirm(ctx, poller, machines, pointer.Number),
	}
	s.print.applied(applied)
	return rollout.CheckConfirmed(applied.Confirmations, pointer.Number)
}
