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

type budgetsCommand struct {
	Budgets int     `arg:"--budgets" default:"15000"`
	Teams   int     `arg:"--teams" default:"3000"`
	Models  int     `arg:"--models" default:"12"`
	Routers int     `arg:"--routers" default:"4"`
	Seconds int     `arg:"--seconds" default:"15" help:"length of each measurement"`
	Rate    float64 `arg:"--rate" default:"200" help:"requests a second, spread over all teams"`
}

func (c *budgetsCommand) run(programs string) error {
	fleet, err := bench.Start(bench.Config{
		Programs: programs, Routers: c.Routers, Endpoints: 2, EndpointSlots: 64, ResponseTokens: responseTokens, TokenDelay: 2 * time.Millisecond,
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
	time.Sleep(settleTime)
	if err := measureUsage(fleet, "nothing declared", func() error { time.Sleep(settleTime); return nil }); err != nil {
		return err
	}
	for revision := range 3 {
		if err := c.publish(fleet, folder, revision); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return c.measureSteadyState(fleet)
}

func (c *budgetsCommand) publish(fleet *bench.Fleet, folder string, revision int) error {
	size := declared.Size{
		Teams: c.Teams, Budgets: c.Budgets, Models: c.Models, MaxInFlight: endpointMaxInFlight, Revision: revision,
	}
	return measureUsage(fleet, fmt.Sprintf("apply %d", revision), func() error {
		took, err := publish(fleet, folder, size)
		fmt.Printf("  in force everywhere after %v\n", took.Round(time.Millisecond))
		return err
	})
}

// measureSteadyState measures the fleet idle, under the same load twice, and idle again. The
// routers are not restarted, so that they start the second load with the quota and the
// connections that remain from the first.
func (c *budgetsCommand) measureSteadyState(fleet *bench.Fleet) error {
	period := time.Duration(c.Seconds) * time.Second
	if err := measureUsage(fleet, "idle", func() error { time.Sleep(period); return nil }); err != nil {
		return err
	}
	for range 2 {
		err := measureUsage(fleet, fmt.Sprintf("load %.0f/s", c.Rate), func() error {
			result := load.Offer(context.Background(), load.Config{
				Targets: fleet.CallerURLs(), Rate: c.Rate, Duration: period, Teams: c.Teams, FirstTeamShare: 0.01,
				Stream: true, MaxTokens: responseTokens,
			})
			fmt.Printf("  answers: %d whole, %d refused, %d other of %d %v; median %s\n", result.Complete, result.Refused,
				result.Other, result.Offered, result.ByCode, formatMilliseconds(load.Percentile(result.ResponseTimes, 50)))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return measureUsage(fleet, "idle after load", func() error { time.Sleep(period); return nil })
}
