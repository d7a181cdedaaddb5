package command

import (
	"context"
	"crypto/rand"
	"runtime/debug"
	"strings"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/version/snapshot"
	"jacinthpaddle.example/jacinth/request/audit"
	"jacinthpaddle.example/jacinth/request/ledger"
	"jacinthpaddle.example/jacinth/request/overview"
)

// DrainResult is the printed result of a drain: the VM whose router is draining.
type DrainResult struct {
	VM string `json:"vm"`
}

// GeneratedKey is an API key for callers and its digest, which is declared for a team.
type GeneratedKey struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// BuildInfo holds the versions of the program and of Go.
type BuildInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (c *Status) run(ctx context.Context, session *session) error {
	platform, err := session.platform()
	if err != nil {
		return err
	}
	read := ledger.Read
	if c.SkipBills {
		read = ledger.ReadWithoutBills
	}
	stored, err := read(ctx, platform)
	if err != nil {
		return errors.Trace(err)
	}
	evacuated, err := evacuation.Fetch(ctx, platform)
	if err != nil {
		return errors.Trace(err)
	}
	machines, err := session.routerVMs(ctx, platform)
	if err != nil {
		return errors.Trace(err)
	}
	session.print.overview(overview.Overview{
		Generation: stored.Generation.Number,
		Digest:     stored.Generation.Digest,
		Evacuated:  evacuated.Zones,
		Budgets:    stored.BudgetTotals(),
		Routers:    overview.QueryRouters(ctx, session.routers(), machines),
	})
	return nil
}

func (c *Dump) run(ctx context.Context, session *session) error {
	machine, err := session.routerVM(ctx, c.VM)
	if err != nil {
		return err
	}
	state, err := session.routers().Dump(ctx, machine)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = session.Stdout.Write(append(state, '\n'))
	return errors.Trace(err)
}

func (c *Drain) run(ctx context.Context, session *session) error {
	machine, err := session.routerVM(ctx, c.VM)
	if err != nil {
		return err
	}
	if err := session.routers().Drain(ctx, machine); err != nil {
		return errors.Trace(err)
	}
	session.print.drained(DrainResult{VM: c.VM})
	return nil
}

func (c *Audit) run(ctx context.Context, session *session) error {
	platform, err := session.platform()
	if err != nil {
		return err
	}
	stored, err := ledger.Read(ctx, platform)
	if err != nil {
		return errors.Trace(err)
	}
	result := audit.Check(stored)
	session.print.audit(result)
	if len(result.Mismatches) > 0 {
		return &audit.MismatchError{Mismatches: result.Mismatches}
	}
	return nil
}

func (c *Bills) run(ctx context.Context, session *session) error {
	platform, err := session.platform()
	if err != nil {
		return err
	}
	entries, err := ledger.Entries(ctx, platform)
	if err != nil {
		return errors.Trace(err)
	}
	session.print.bills(ledger.Bills(entries, c.Team))
	return nil
}

func (c *Key) run(_ context.Context, session *session) error {
	key := strings.ToLower(rand.Text())
	session.print.generatedKey(GeneratedKey{Key: key, Digest: snapshot.KeyDigest(key)})
	return nil
}

func (c *Version) run(_ context.Context, session *session) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program has no build information")
	}
	session.print.build(BuildInfo{Version: info.Main.Version, Go: info.GoVersion})
	return nil
}
