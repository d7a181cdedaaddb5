package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/proof/process/bench"
)

const mebibyte = 1 << 20

// printDifference prints the usage between two samples: the mean and the maximum over
// the routers, the messages by kind, and the calls to the platform.
func printDifference(title string, before, after bench.Sample) {
	seconds := after.At.Sub(before.At).Seconds()
	var cpu, resident, out, in, links []float64
	for index, router := range after.Routers {
		earlier := before.Routers[index]
		cpu = append(cpu, 100*(router.CPUTime-earlier.CPUTime).Seconds()/seconds)
		resident = append(resident, float64(router.ResidentBytes)/mebibyte)
		out = append(out, bytesSince(router.Peers.Out, earlier.Peers.Out)/seconds)
		in = append(in, bytesSince(router.Peers.In, earlier.Peers.In)/seconds)
		links = append(links, float64(router.Links))
	}
	fmt.Printf("%s, %.1f s\n", title, seconds)
	fmt.Printf("  each router: cpu %s %%, resident %s MiB, links %s, peer bytes/s out %s in %s\n",
		formatMeanMax(cpu), formatMeanMax(resident), formatMeanMax(links), formatMeanMax(out), formatMeanMax(in))
	printKinds(before, after, seconds)
	printPlatform(before, after, seconds)
}

// printKinds prints the messages and bytes that a router sent per second, by kind of
// message, as the mean over the routers.
func printKinds(before, after bench.Sample, seconds float64) {
	sums := make(map[peer.Kind]peer.Traffic)
	for index, router := range after.Routers {
		for kind, traffic := range router.Peers.Out {
			earlier := before.Routers[index].Peers.Out[kind]
			sum := sums[kind]
			sum.Messages += traffic.Messages - earlier.Messages
			sum.Bytes += traffic.Bytes - earlier.Bytes
			sums[kind] = sum
		}
	}
	var parts []string
	routerSeconds := seconds * float64(len(after.Routers))
	for kind, sum := range sums {
		if sum.Messages > 0 {
			parts = append(parts, fmt.Sprintf("%s %.2f/s %.0f B/s", kind,
				float64(sum.Messages)/routerSeconds, float64(sum.Bytes)/routerSeconds))
		}
	}
	slices.Sort(parts)
	fmt.Printf("  sent by a router: %s\n", strings.Join(parts, ", "))
}

func printPlatform(before, after bench.Sample, seconds float64) {
	a, b := after.Counts, before.Counts
	fmt.Printf("  platform: reads %.2f/s, lists %.2f/s, writes %.2f/s, watches begun %.2f/s, waiting %d, cpu %.1f %%\n",
		float64(a.Reads-b.Reads)/seconds, float64(a.Lists-b.Lists)/seconds, float64(a.Writes-b.Writes)/seconds,
		float64(a.Watches-b.Watches)/seconds, a.Waiting,
		100*(after.Platform.CPUTime-before.Platform.CPUTime).Seconds()/seconds)
}

// bytesSince returns the bytes of all kinds counted between two samples.
func bytesSince(after, before map[peer.Kind]peer.Traffic) float64 {
	var bytes int64
	for kind, traffic := range after {
		bytes += traffic.Bytes - before[kind].Bytes
	}
	return float64(bytes)
}

// formatMeanMax formats the mean and the maximum of the values. It panics if there are none.
func formatMeanMax(values []float64) string {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return fmt.Sprintf("%.2f (max %.2f)", sum/float64(len(values)), slices.Max(values))
}

func formatMilliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", duration.Seconds()*1000)
}
