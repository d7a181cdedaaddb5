// Package command parses the command line of operators and runs the subcommand.
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
	// OK means that the command succeeded.
	OK ExitCode = 0
	// Faults means that the declarations have faults, or that the command failed for a reason
	// that has no exit code of its own.
	Faults ExitCode = 1
	// Usage means that the command line is invalid or that a file could not be accessed.
	Usage ExitCode = 2
	// Unconfirmed means that a router did not confirm in time or was unreachable.
	Unconfirmed ExitCode = 3
	// AuditMismatch means that bills, accounts and purchases are inconsistent.
	AuditMismatch ExitCode = 4
	// PlatformUnavailable means that a call to the platform got no usable response.
	PlatformUnavailable ExitCode = 5
)

// Environment holds the parts of the process that the commands use.
type Environment struct {
	Arguments []string
	Stdout    io.Writer
	Stderr    io.Writer
	Clock     clock.Clock
}

// UsageError reports an invalid command line.
type UsageError struct {
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Reason
}

// runnable is implemented by each subcommand.
type runnable interface {
	run(ctx context.Context, session *session) error
}

// session is one execution of the command line.
type session struct {
	Environment
	arguments Arguments
	print     printer
}

// Run parses the arguments, runs the subcommand, prints its error and returns the exit code.
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
	session.reportError(err)
	return exitCodeOf(err)
}

// parse returns the subcommand. If there is none to run, it prints the help or the error and
// returns nil and the exit code.
func (s *session) parse() (runnable, ExitCode) {
	parser, err := arg.NewParser(arg.Config{Program: "jacinth"}, &s.arguments)
	if err != nil {
		return nil, s.reportUsage(err)
	}
	err = parser.Parse(s.Arguments)
	if errors.Is(err, arg.ErrHelp) {
		return nil, s.printHelp(parser)
	}
	if err != nil {
		return nil, s.reportUsage(err)
	}
	subcommand, ok := parser.Subcommand().(runnable)
	if !ok {
		parser.WriteHelp(s.Stderr)
		return nil, Usage
	}
	return subcommand, OK
}

func (s *session) printHelp(parser *arg.Parser) ExitCode {
	if err := parser.WriteHelpForSubcommand(s.Stdout, parser.SubcommandNames()...); err != nil {
		return s.reportUsage(err)
	}
	return OK
}

func (s *session) reportUsage(err error) ExitCode {
	s.printError(err)
	return Usage
}

func (s *session) printError(err error) {
	fmt.Fprintf(s.Stderr, "jacinth: %v\n", err)
}

// reportError prints the error, preceded by the faults or differences that it lists.
func (s *session) reportError(err error) {
	var faults *declaration.FaultsError
	if errors.As(err, &faults) {
		s.print.faults(faults.Faults)
		s.printError(errors.Errorf("%d faults", len(faults.Faults)))
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
	s.printError(err)
}

func exitCodeOf(err error) ExitCode {
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

// matches reports whether the error or one that it wraps is of type E.
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

// routerVMs returns the VMs of the entry pool, which run routers.
func (s *session) routerVMs(ctx context.Context, lister vm.Lister) ([]vm.VM, error) {
	list, err := lister.VMs(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return vm.InPool(list.VMs, s.arguments.EntryPool), nil
}

// routerVM returns the VM of the entry pool with the name, or a *UsageError if there is none.
func (s *session) routerVM(ctx context.Context, name string) (vm.VM, error) {
	platform, err := s.platform()
	if err != nil {
		return vm.VM{}, err
	}
	machines, err := s.routerVMs(ctx, platform)
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
