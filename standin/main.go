// Command standin simulates the platform or one endpoint in tests.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:9100 --vms vms.json
//	standin endpoint --listen 127.0.0.21:8000 --name runner-1
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/standin/process/endpoint"
	"jacinthpaddle.example/standin/process/httpserver"
	"jacinthpaddle.example/standin/process/vmlist"
	"jacinthpaddle.example/standin/request/endpointapi"
	"jacinthpaddle.example/standin/request/platformapi"
)

// eventServeFailed is the event number of the log entry before the program exits
// with an error.
const eventServeFailed = 9004

// exitFailed is the exit code after an error.
const exitFailed = 1

// command holds the arguments of the command line.
type command struct {
	Platform    *platformCommand `arg:"subcommand:platform" help:"serve the object API and the list of VMs"`
	Endpoint    *endpointCommand `arg:"subcommand:endpoint" help:"serve as one endpoint"`
	GracePeriod time.Duration    `arg:"--grace" default:"1m" help:"longest wait for requests in progress on SIGTERM"`
}

type platformCommand struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:9100"`
	VMs     string        `arg:"--vms,required" help:"JSON file with the list of VMs"`
	ListLag time.Duration `arg:"--list-lag" default:"1s" help:"age of the list of VMs that is shown"`
}

type endpointCommand struct {
	Listen              string        `arg:"--listen" default:"127.0.0.21:8000"`
	Name                string        `arg:"--name" help:"name in answers [default: the address]"`
	TokenDelay          time.Duration `arg:"--token-delay" default:"2ms"`
	FirstTokenDelay     time.Duration `arg:"--first-token-delay" default:"10ms"`
	Slots               int           `arg:"--slots" default:"8" help:"requests that run at a time"`
	Queue               int           `arg:"--queue" default:"16" help:"requests that may wait for a slot"`
	DefaultOutputTokens int           `arg:"--answer-tokens" default:"64" help:"length of an answer that no limit cuts"`
	LoadLag             time.Duration `arg:"--load-lag" default:"500ms" help:"age of the load report that is shown"`
}

func main() {
	var args command
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.Fail("missing subcommand")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, args); err != nil {
		logrus.WithError(err).WithField("event", eventServeFailed).Error("cannot serve")
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, args command) error {
	if args.Platform != nil {
		return runPlatform(ctx, *args.Platform, args.GracePeriod)
	}
	return runEndpoint(ctx, *args.Endpoint, args.GracePeriod)
}

func runPlatform(ctx context.Context, args platformCommand, gracePeriod time.Duration) error {
	clk := clock.New()
	list, err := vmlist.Load(clk, args.ListLag, args.VMs)
	if err != nil {
		return err
	}
	objects := memory.New(clk)
	// The store ends pending watch requests, which would otherwise delay the shutdown.
	defer context.AfterFunc(ctx, func() { objects.SetFaults(memory.Faults{Down: true}) })()
	config := httpserver.Config{Listen: args.Listen, GracePeriod: gracePeriod}
	return httpserver.ListenAndServe(ctx, config, platformapi.New(objects, list))
}

func runEndpoint(ctx context.Context, args endpointCommand, gracePeriod time.Duration) error {
	if args.Name == "" {
		args.Name = args.Listen
	}
	ep := endpoint.New(clock.New(), endpoint.Config{
		Name:                args.Name,
		Slots:               args.Slots,
		QueueLimit:          args.Queue,
		DefaultOutputTokens: args.DefaultOutputTokens,
		TokenDelay:          args.TokenDelay,
		FirstTokenDelay:     args.FirstTokenDelay,
		LoadLag:             args.LoadLag,
	})
	defer context.AfterFunc(ctx, func() { ep.SetState(endpoint.Leaving) })()
	config := httpserver.Config{Listen: args.Listen, GracePeriod: gracePeriod}
	return httpserver.ListenAndServe(ctx, config, endpointapi.New(ep))
}
