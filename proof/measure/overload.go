package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/proof/process/bench"
	"jacinthpaddle.example/proof/request/load"
	"jacinthpaddle.example/proof/version/declared"
	"jacinthpaddle.example/standin/process/endpoint"
)

// firstTokenDelay is the default delay of the endpoint stand-in before the first token.
const firstTokenDelay = 10 * time.Millisecond

type overloadCommand struct {
	Routers     int       `arg:"--routers" default:"1"`
	Endpoints   int       `arg:"--endpoints" default:"2"`
	Slots       int       `arg:"--slots" default:"8" help:"of each endpoint"`
	MaxInFlight int       `arg:"--max-in-flight" default:"64" help:"declared for each endpoint"`
	Seconds     int       `arg:"--seconds" default:"10" help:"length of each load"`
	Teams       int       `arg:"--teams" default:"20"`
	Loads       []float64 `arg:"--loads" help:"multiples of the capacity [default: 0.5 1 2 5]"`
}

func (c *overloadCommand) run(programs string) error {
	const tokens, tokenDelay = 20, 10 * time.Millisecond
	fleet, err := bench.Start(bench.Config{
		Programs: programs, Routers: c.Routers, Endpoints: c.Endpoints, EndpointSlots: c.Slots, ResponseTokens: tokens, TokenDelay: tokenDelay,
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
	size := declared.Size{Teams: c.Teams, Budgets: c.Teams, Models: 1, MaxInFlight: c.MaxInFlight}
	if _, err := publish(fleet, folder, size); err != nil {
		return err
	}
	time.Sleep(settleTime)
	service := firstTokenDelay + tokens*tokenDelay
	capacity := float64(c.Endpoints*c.Slots) / service.Seconds()
	fmt.Printf("%d routers, %d slots, at most %.0f answers/s\n", c.Routers, c.Endpoints*c.Slots, capacity)
	return c.offer(fleet, capacity)
}

func (c *overloadCommand) offer(fleet *bench.Fleet, capacity float64) error {
	loads := c.Loads
	if len(loads) == 0 {
		loads = []float64{0.5, 1, 2, 5}
	}
	for _, multiple := range loads {
		if err := clearRuns(fleet); err != nil {
			return err
		}
		before, err := fleet.TakeSample()
		if err != nil {
			return err
		}
		result := load.Offer(context.Background(), load.Config{
			Targets: fleet.CallerURLs(), Rate: multiple * capacity, Duration: time.Duration(c.Seconds) * time.Second,
			Teams: c.Teams, FirstTeamShare: 0.5, Stream: true, MaxTokens: 4096,
		})
		if err := printResult(fleet, before, multiple, capacity, result); err != nil {
			return err
		}
		time.Sleep(settleTime)
	}
	return nil
}

// printResult prints the outcome of one load and the usage of each router.
func printResult(fleet *bench.Fleet, before bench.Sample, multiple, capacity float64, result load.Result) error {
	after, err := fleet.TakeSample()
	if err != nil {
		return err
	}
	goodput := float64(result.Complete) / result.Elapsed.Seconds()
	fmt.Printf("load %.1f: offered %d, whole %d, refused %d, other %d, skipped %d in %.1f s; goodput %.1f/s, %.2f of capacity\n",
		multiple, result.Offered, result.Complete, result.Refused, result.Other, result.Skipped,
		result.Elapsed.Seconds(), goodput, goodput/capacity)
	fmt.Printf("  answer median %s 95%% %s; refusal median %s 95%% %s; %v\n",
		formatMilliseconds(load.Percentile(result.ResponseTimes, 50)), formatMilliseconds(load.Percentile(result.ResponseTimes, 95)),
		formatMilliseconds(load.Percentile(result.RefusalTimes, 50)), formatMilliseconds(load.Percentile(result.RefusalTimes, 95)), result.ByCode)
	for index, router := range after.Routers {
		fmt.Printf("  router %d: resident %.1f MiB, cpu %.2f s\n", index,
			float64(router.ResidentBytes)/mebibyte, (router.CPUTime - before.Routers[index].CPUTime).Seconds())
	}
	return compareRuns(fleet, result)
}

// compareRuns compares the complete responses with the runs that the endpoint stand-ins
// recorded, and prints how many requests ran more than once.
func compareRuns(fleet *bench.Fleet, result load.Result) error {
	attempts, runs, repeated, completeOnce := 0, 0, 0, 0
	runsByRequest := make(map[string]int)
	for _, address := range fleet.EndpointURLs() {
		var records []endpoint.RequestRecord
		if err := fleet.Get(address+"/admin/runs", &records); err != nil {
			return err
		}
		for _, run := range records {
			attempts += run.Attempts
			runsByRequest[run.RequestID] += run.Runs
		}
	}
	for id, count := range runsByRequest {
		runs += count
		if count > 1 {
			repeated++
		}
		if count == 1 && slices.Contains(result.CompleteIDs, id) {
			completeOnce++
		}
	}
	fmt.Printf("  endpoints: %d attempts, %d runs, %d requests run twice, %d whole answers run once, %d runs without a whole answer\n",
		attempts, runs, repeated, completeOnce, runs-result.Complete)
	return nil
}

// clearRuns deletes the recorded runs, so that the next load starts from zero.
func clearRuns(fleet *bench.Fleet) error {
	for _, address := range fleet.EndpointURLs() {
		if err := fleet.Delete(address + "/admin/runs"); err != nil {
			return err
		}
	}
	return nil
}
