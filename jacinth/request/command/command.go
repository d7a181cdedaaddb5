// Package command runs the subcommands of the operators' CLI.
//
// # Usage
//
//	exit := command.Run(ctx, command.Environment{
//		Arguments: os.Args[1:],
//		Stdout:    os.Stdout,
//		Stderr:    os.Stderr,
//		Clock:     clock.New(),
//	})
//	os.Exit(int(exit))
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/platform"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/jacinth/process/platformclient"
	"jacinthpaddle.example/jacinth/process/routerclient"
	"jacinthpaddle.example/jacinth/request/audit"
	"jacinthpaddle.example/jacinth/version/rollout"
)

// callTimeout bounds one call to a router.
const callTimeout = 2 * time.Second

// ExitCode is the exit code of the process.
type ExitCode int

// Exit codes.
const (
	// OK means that the command did all it was asked to.
	OK ExitCode = 0
	// Faults means that declarations were refused, or that the command failed
	// in a way that no other code names.
	Faults ExitCode = 1
	// Usage means that the command line is wrong.
	Usage ExitCode = 2
	// Unconfirmed means that a router did not confirm in time or not answer.
	Unconfirmed ExitCode = 3
	// AuditMismatch means that bills, accounts and purchases do not agree.
	AuditMismatch ExitCode = 4
	// PlatformUnavailable means that the platform gave no usable answer.
	PlatformUnavailable ExitCode = 5
)

// Environment is what the commands get from the process.
type Environment struct {
	Arguments []string
	Stdout    io.Writer
	Stderr    io.Writer
	Clock     clock.Clock
}

// UsageError says what is wrong with the command line.
type UsageError struct {
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Reason
}

// runner is a subcommand.
type runner interface {
	run(ctx context.Context, session *session) error
}

// session is one run of the CLI.
type session struct {
	Environment
	arguments Arguments
	print     printer
}

// Run runs the subcommand that the arguments name and returns the exit code.
func Run(ctx context.Context, environment Environment) ExitCode {
	session := &session{Environment: environment}
	subcommand, exit := session.parse()
	if subcommand == nil {
		return exit
	}
	session.print = printer{out: environment.Stdout, json: session.arguments.JSON}
	err := subcommand.run(ctx, session)
	if err == nil {
		return OK
	}
	session.report(err)
	return exitOf(err)
}

// parse returns the subcommand, or none and the exit code if there is nothing
// to run.
func (s *session) parse() (runner, ExitCode) {
	parser, err := arg.NewParser(arg.Config{Program: "jacinth"}, &s.arguments)
	if err != nil {
		return nil, s.usage(err)
	}
	err = parser.Parse(s.Arguments)
	if errors.Is(err, arg.ErrHelp) {
		return nil, s.help(parser)
	}
	if err != nil {
		return nil, s.usage(err)
	}
	subcommand, ok := parser.Subcommand().(runner)
	if !ok {
		parser.WriteHelp(s.Stderr)
		return nil, Usage
	}
	return subcommand, OK
}

func (s *session) help(parser *arg.Parser) ExitCode {
	if err := parser.WriteHelpForSubcommand(s.Stdout, parser.SubcommandNames()...); err != nil {
		return s.usage(err)
	}
	return OK
}

func (s *session) usage(err error) ExitCode {
	s.complain(err)
	return Usage
}

func (s *session) complain(err error) {
	fmt.Fprintf(s.Stderr, "jacinth: %v\n", err)
}

// report prints what an error says, with its details.
func (s *session) report(err error) {
	var faults *declaration.FaultsError
	if errors.As(err, &faults) {
		s.print.faults(faults.Faults)
		s.complain(errors.Errorf("%d faults", len(faults.Faults)))
		return
	}
	var conflict *generation.ConflictError
	if errors.As(err, &conflict) {
		s.print.differences(conflict.Differences)
	}
	var base *rollout.BaseMismatchError
	if errors.As(err, &base) {
		s.print.differences(base.Differences)
	}
	s.complain(err)
}

func exitOf(err error) ExitCode {
	switch {
	case matches[*UsageError](err), matches[*platformclient.AddressError](err), matches[*os.PathError](err):
		return Usage
	case matches[*rollout.UnconfirmedError](err), matches[*routerclient.UnreachableError](err):
		return Unconfirmed
	case matches[*audit.MismatchError](err):
		return AuditMismatch
	case matches[*store.UnavailableError](err):
		return PlatformUnavailable
	default:
		return Faults
	}
}

func matches[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

func (s *session) platform() (*platform.Client, error) {
	client, err := platformclient.New(s.Clock, s.arguments.Platform)
	return client, errors.Trace(err)
}

func (s *session) routers() *routerclient.Client {
	return routerclient.New(routerclient.Config{Port: s.arguments.OperatorsPort, Timeout: callTimeout})
}

// entries lists the VMs that run routers.
func (s *session) entries(ctx context.Context, lister vm.Lister) ([]vm.VM, error) {
	list, err := lister.VMs(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return vm.InPool(list.VMs, s.arguments.EntryPool), nil
}

// entry returns the VM of that name that runs a router.
func (s *session) entry(ctx context.Context, name string) (vm.VM, error) {
	platform, err := s.platform()
	if err != nil {
		return vm.VM{}, err
	}
	machines, err := s.entries(ctx, platform)
	if err != nil {
		return vm.VM{}, err
	}
	for _, machine := range machines {
		if machine.Name == name {
			return machine, nil
		}
	}
	reason := fmt.Sprintf("pool %s has no VM %s", s.arguments.EntryPool, name)
	return vm.VM{}, &UsageError{Reason: reason}
}
