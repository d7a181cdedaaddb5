// Command measure runs fleets of router processes with stand-ins on loopback and prints
// their resource usage, traffic and goodput. The subcommand policies simulates quota
// policies instead and starts no processes. Build the programs first:
//
//	mkdir -p .bin/programs && go build -o .bin/programs ./router ./jacinth ./standin ./proof/measure
//
// # Usage
//
//	measure --programs .bin/programs fleet --sizes 2,4,8,16 --seconds 10 --rate 50
//	measure --programs .bin/programs budgets --budgets 15000 --teams 3000
//	measure --programs .bin/programs overload --routers 1 --seconds 10
//	measure policies --seed 20261204
//
// CPU usage is in percent of one core. All traffic stays on 127.0.5.x.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"jacinthpaddle.example/proof/process/policies"
)

// exitFailed is the exit code of a measurement that failed.
const exitFailed = 1

type arguments struct {
	Programs string           `arg:"--programs" placeholder:"DIR" help:"folder of the built programs"`
	Fleet    *fleetCommand    `arg:"subcommand:fleet" help:"cost of control by number of routers"`
	Budgets  *budgetsCommand  `arg:"subcommand:budgets" help:"cost of many budgets and teams"`
	Overload *overloadCommand `arg:"subcommand:overload" help:"goodput and refusals by offered load"`
	Policies *policiesCommand `arg:"subcommand:policies" help:"false refusals by policy, without processes"`
}

type policiesCommand struct {
	Seed uint64 `arg:"--seed" default:"20261204"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.Fail("missing subcommand")
	}
	if args.Programs == "" && args.Policies == nil {
		parser.Fail("--programs is required")
	}
	if err := run(args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(args arguments) error {
	switch {
	case args.Fleet != nil:
		return args.Fleet.run(args.Programs)
	case args.Budgets != nil:
		return args.Budgets.run(args.Programs)
	case args.Policies != nil:
		return policies.Print(os.Stdout, args.Policies.Seed)
	default:
		return args.Overload.run(args.Programs)
	}
}
