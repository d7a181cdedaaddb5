package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/proof/process/bench"
	"jacinthpaddle.example/proof/request/load"
	"jacinthpaddle.example/proof/version/declared"
)

// settleTime is the pause before a measurement in the subcommands without the flag --settle.
// The measurement before the first apply in the subcommand budgets takes as long.
const settleTime = 3 * time.Second

// Parameters of the declarations, the endpoint stand-ins and the load.
const (
	endpointMaxInFlight = 64
	responseTokens      = 32  // tokens in each response
	firstTeamShare      = 0.1 // fraction of the requests that the first team sends
)

type fleetCommand struct {
	Sizes          []int   `arg:"--sizes,required" help:"numbers of routers"`
	Seconds        int     `arg:"--seconds" default:"10" help:"length of each measurement"`
	Rate           float64 `arg:"--rate" default:"50" help:"requests a second to the whole fleet under load"`
	Changes        int     `arg:"--changes" default:"4" help:"changes of configuration"`
	Settle         int     `arg:"--settle" default:"3" help:"seconds before each measurement"`
	Teams          int     `arg:"--teams" default:"10" help:"teams, each with a budget"`
	Endpoints      int     `arg:"--endpoints" default:"2" help:"endpoint stand-ins"`
	TargetsPerTeam int     `arg:"--width" help:"routers that a team's callers use [default: all]"`
}

func (c *fleetCommand) run(programs string) error {
	for _, size := range c.Sizes {
		if err := c.measure(programs, size); err != nil {
			return errors.Annotatef(err, "%d routers", size)
		}
	}
	return nil
}

func (c *fleetCommand) measure(programs string, size int) error {
	fleet, err := bench.Start(bench.Config{
		Programs: programs, Routers: size, Endpoints: c.Endpoints, EndpointSlots: 64, ResponseTokens: responseTokens, TokenDelay: 2 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	folder, err := os.MkdirTemp("", "declarations-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if _, err := publish(fleet, folder, c.size(0)); err != nil {
		return err
	}
	c.settle()
	period := time.Duration(c.Seconds) * time.Second
	if err := measureUsage(fleet, "idle", func() error { time.Sleep(period); return nil }); err != nil {
		return err
	}
	if err := c.measureLoad(fleet, period); err != nil {
		return err
	}
	c.settle()
	return c.measureChanges(fleet, folder)
}

func (c *fleetCommand) settle() {
	time.Sleep(time.Duration(c.Settle) * time.Second)
}

// measureLoad measures the fleet under load, after a warm-up at the same rate.
func (c *fleetCommand) measureLoad(fleet *bench.Fleet, period time.Duration) error {
	config := load.Config{
		Targets: fleet.CallerURLs(), Rate: c.Rate, Duration: period, Teams: c.Teams, TargetsPerTeam: c.TargetsPerTeam,
		FirstTeamShare: firstTeamShare, Stream: true, MaxTokens: responseTokens,
	}
	warmUp := config
	warmUp.Duration = time.Duration(c.Settle) * time.Second
	load.Offer(context.Background(), warmUp)
	return measureUsage(fleet, fmt.Sprintf("load %.0f/s", c.Rate), func() error {
		result := load.Offer(context.Background(), config)
		fmt.Printf("  answers: %d whole, %d refused, %d other of %d; median %v, 95%% %v\n",
			result.Complete, result.Refused, result.Other, result.Offered,
			load.Percentile(result.ResponseTimes, 50), load.Percentile(result.ResponseTimes, 95))
		return nil
	})
}

// measureChanges measures the fleet while generations are published one after the other.
func (c *fleetCommand) measureChanges(fleet *bench.Fleet, folder string) error {
	return measureUsage(fleet, fmt.Sprintf("%d changes", c.Changes), func() error {
		for revision := range c.Changes {
			took, err := publish(fleet, folder, c.size(revision+1))
			if err != nil {
				return err
			}
			fmt.Printf("  change %d: in force everywhere after %v\n", revision+1, took.Round(time.Millisecond))
		}
		return nil
	})
}

func (c *fleetCommand) size(revision int) declared.Size {
	return declared.Size{
		Teams: c.Teams, Budgets: c.Teams, Models: 1, MaxInFlight: endpointMaxInFlight, Revision: revision,
	}
}

// publish writes and applies declarations. It returns the time until all routers
// confirmed the generation.
func publish(fleet *bench.Fleet, folder string, size declared.Size) (time.Duration, error) {
	if err := declared.Write(folder, size); err != nil {
		return 0, err
	}
	return fleet.Apply(folder)
}

// measureUsage runs the work and prints the usage of the fleet meanwhile.
func measureUsage(fleet *bench.Fleet, name string, work func() error) error {
	before, err := fleet.TakeSample()
	if err != nil {
		return err
	}
	if err := work(); err != nil {
		return err
	}
	after, err := fleet.TakeSample()
	if err != nil {
		return err
	}
	printDifference(fmt.Sprintf("%d routers, %s", len(fleet.Routers), name), before, after)
	return nil
}
