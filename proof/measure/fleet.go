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

// settleTime is how long other fleets than those of fleetCommand run before they
// are read.
const settleTime = 3 * time.Second

// Declarations and answers of a measured fleet.
const (
	smallMaxInFlight = 64
	answerTokens     = 32
	largeShare       = 0.1
)

type fleetCommand struct {
	Sizes   []int   `arg:"--sizes,required" help:"numbers of routers"`
	Seconds int     `arg:"--seconds" default:"10" help:"length of each measurement"`
	Rate    float64 `arg:"--rate" default:"50" help:"requests a second to the whole fleet under load"`
	Changes int     `arg:"--changes" default:"4" help:"changes of configuration"`
	Settle  int     `arg:"--settle" default:"3" help:"seconds before each measurement"`
	Teams   int     `arg:"--teams" default:"10" help:"teams, each with a budget"`
	Engines int     `arg:"--endpoints" default:"2" help:"endpoint stand-ins"`
	Width   int     `arg:"--width" help:"routers that a team's callers use [default: all]"`
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
		Programs: programs, Routers: size, Endpoints: c.Engines, EndpointSlots: 64, ResponseTokens: answerTokens, TokenDelay: 2 * time.Millisecond,
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
	if _, err := publish(fleet, folder, c.declared(0)); err != nil {
		return err
	}
	c.settle()
	period := time.Duration(c.Seconds) * time.Second
	if err := during(fleet, "idle", func() error { time.Sleep(period); return nil }); err != nil {
		return err
	}
	if err := c.loaded(fleet, period); err != nil {
		return err
	}
	c.settle()
	return c.changed(fleet, folder)
}

func (c *fleetCommand) settle() {
	time.Sleep(time.Duration(c.Settle) * time.Second)
}

func (c *fleetCommand) loaded(fleet *bench.Fleet, period time.Duration) error {
	offer := load.Config{
		Targets: fleet.CallerURLs(), Rate: c.Rate, Duration: period, Teams: c.Teams, TargetsPerTeam: c.Width,
		FirstTeamShare: largeShare, Stream: true, MaxTokens: answerTokens,
	}
	before := offer
	before.Duration = time.Duration(c.Settle) * time.Second
	load.Offer(context.Background(), before)
	return during(fleet, fmt.Sprintf("load %.0f/s", c.Rate), func() error {
		result := load.Offer(context.Background(), offer)
		fmt.Printf("  answers: %d whole, %d refused, %d other of %d; median %v, 95%% %v\n",
			result.Good, result.Refused, result.Untyped, result.Offered,
			load.Percentile(result.ResponseTimes, 50), load.Percentile(result.ResponseTimes, 95))
		return nil
	})
}

func (c *fleetCommand) changed(fleet *bench.Fleet, folder string) error {
	return during(fleet, fmt.Sprintf("%d changes", c.Changes), func() error {
		for revision := range c.Changes {
			took, err := publish(fleet, folder, c.declared(revision+1))
			if err != nil {
				return err
			}
			fmt.Printf("  change %d: in force everywhere after %v\n", revision+1, took.Round(time.Millisecond))
		}
		return nil
	})
}

func (c *fleetCommand) declared(revision int) declared.Size {
	return declared.Size{
		Teams: c.Teams, Budgets: c.Teams, Models: 1, MaxInFlight: smallMaxInFlight, Revision: revision,
	}
}

func publish(fleet *bench.Fleet, folder string, size declared.Size) (time.Duration, error) {
	if err := declared.Write(folder, size); err != nil {
		return 0, err
	}
	return fleet.Apply(folder)
}

// during prints what the fleet used while the work ran.
func during(fleet *bench.Fleet, name string, work func() error) error {
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
