package node

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/setting"
)

// checker collects the faults of the settings, so that all of them are reported at
// once.
type checker struct {
	faults []setting.Fault
}

func (c *checker) require(ok bool, section, key, reason string) {
	if !ok {
		c.faults = append(c.faults, setting.Fault{Section: section, Key: key, Reason: reason})
	}
}

func (c *checker) positive(value time.Duration, section, key string) {
	c.require(value > 0, section, key, "must be more than zero")
}

// Smallest and largest VM on which a router runs.
const (
	MinMemoryMB    = 32
	MinDescriptors = 240
	MaxMemoryMB    = 64 << 20
	MaxDescriptors = 1 << 30
	// MinConnections is the smallest maximum number of connections of callers.
	MinConnections = 16
)

// MinBound is the shortest bound on the time until a change of the store is in force.
const MinBound = time.Second

// bound requires a bound that is not set, or long enough for two watches of the store.
func (c *checker) bound(value time.Duration, section, key string) {
	c.require(value == 0 || value >= MinBound, section, key, fmt.Sprintf("must be 0 or at least %s", MinBound))
}

func (c *checker) within(value, low, high int64, section, key string) {
	c.require(value >= low && value <= high, section, key, fmt.Sprintf("must be from %d to %d", low, high))
}

func (s Settings) faults() []setting.Fault {
	check := &checker{}
	s.checkNamesAndAddresses(check)
	s.checkPorts(check)
	s.checkLimits(check)
	s.checkDurations(check)
	return check.faults
}

func (s Settings) checkNamesAndAddresses(check *checker) {
	_, err := netip.ParseAddr(s.VM.Address)
	check.require(err == nil, "vm", "address", "must be an IP address")
	check.require(s.VM.Name != "", "vm", "name", "is missing")
	check.require(s.VM.Region != "", "vm", "region", "is missing")
	check.require(s.VM.AvailabilityZone != "", "vm", "availability_zone", "is missing")
	check.require(s.VM.Cores > 0, "vm", "cores", "must be more than zero")
	check.require(s.VM.MemoryMB == 0 || s.VM.MemoryMB >= MinMemoryMB && s.VM.MemoryMB <= MaxMemoryMB,
		"vm", "memory_mb", fmt.Sprintf("must be 0 or from %d to %d", MinMemoryMB, MaxMemoryMB))
	check.require(s.VM.Descriptors == 0 || s.VM.Descriptors >= MinDescriptors && s.VM.Descriptors <= MaxDescriptors,
		"vm", "descriptors", fmt.Sprintf("must be 0 or from %d to %d", MinDescriptors, MaxDescriptors))
	check.require(s.VM.CPUShare > 0, "vm", "cpu_share", "must be more than zero")
	_, _, err = net.SplitHostPort(s.Platform.Address)
	check.require(err == nil, "platform", "address", "must be host:port")
	check.require(s.Fleet.EntryPool != "", "fleet", "entry_pool", "is missing")
	check.require(len(s.Fleet.Secret) >= 16, "fleet", "secret", "must have at least 16 characters")
	for key, address := range map[string]string{
		"callers": s.Listen.Callers, "ready": s.Listen.Ready, "locate": s.Listen.Locate,
	} {
		_, err = netip.ParseAddrPort(address)
		check.require(address == "" || err == nil, "listen", key, "must be an IP address and a port")
	}
	_, err = logrus.ParseLevel(s.Log.Level)
	check.require(err == nil, "log", "level", "must be debug, info, warning or error")
}

func (s Settings) checkPorts(check *checker) {
	ports := []int{s.Listen.CallerPort, s.Listen.PeerPort, s.Listen.OperatorsPort, s.Listen.MetricsPort}
	keys := []string{"caller_port", "peer_port", "operators_port", "metrics_port"}
	for index, port := range ports {
		check.within(int64(port), 1, 65535, "listen", keys[index])
		check.require(!slices.Contains(ports[:index], port), "listen", keys[index], "is used twice")
	}
}

func (s Settings) checkLimits(check *checker) {
	check.within(s.Limits.MaxBodyBytes, 1<<10, 64<<20, "limits", "max_body_bytes")
	check.within(int64(s.Limits.MaxHeaderBytes), 1<<10, 1<<20, "limits", "max_header_bytes")
	check.within(s.Limits.MaxResponseBytes, 1<<10, 256<<20, "limits", "max_answer_bytes")
	check.within(s.Limits.MaxBufferedBytes, 1<<20, 64<<30, "limits", "max_buffered_bytes")
	check.require(s.Limits.MaxReceivedBytes == 0 || s.Limits.MaxReceivedBytes >= 1<<20 && s.Limits.MaxReceivedBytes <= s.Limits.MaxBufferedBytes,
		"limits", "max_received_bytes", "must be 0 or from 1048576 to max_buffered_bytes")
	check.within(int64(s.Limits.MaxHeaderLines), 64, 1<<20, "limits", "max_header_lines")
	check.require(s.Limits.MaxConnections == 0 || s.Limits.MaxConnections >= MinConnections && s.Limits.MaxConnections <= 1<<20,
		"limits", "max_connections", fmt.Sprintf("must be 0 or from %d to %d", MinConnections, 1<<20))
	check.within(int64(s.Limits.MaxConcurrent), 1, 1<<20, "limits", "max_concurrent")
	check.within(int64(s.Quota.Holders), 1, 64, "rights", "holders")
	check.within(int64(s.Quota.SharePercent), 1, 100*int64(s.Quota.Holders), "rights", "share_percent")
	check.within(int64(s.Quota.LossPercent), 0, 100, "rights", "loss_percent")
	check.within(int64(s.Journal.Copies), 0, 4, "journal", "copies")
	check.require(s.Journal.Copies > 0 || !s.Journal.Wait, "journal", "copies", "must not be zero while requests wait for them")
	check.within(int64(s.Quota.RefillPercent), 1, 100, "rights", "refill_percent")
	check.within(int64(s.Log.ServedPerSecond), 0, 1<<20, "log", "served_per_second")
	check.within(int64(s.Quota.Pages), 0, account.PageCount, "rights", "pages")
	check.require(s.Platform.WritesPerSecond >= 0, "platform", "writes_per_second", "must not be negative")
	check.within(int64(s.Platform.PolledEndpoints), 0, 1024, "platform", "polled_endpoints")
	check.within(int64(s.Retries.SharePercent), 0, 100, "retries", "share_percent")
	check.require(s.Retries.Slack >= 0, "retries", "slack", "must not be negative")
}

func (s Settings) checkDurations(check *checker) {
	check.positive(s.Platform.CallTimeout, "platform", "call_timeout")
	check.positive(s.Platform.WatchWait, "platform", "watch_wait")
	check.bound(s.Platform.GenerationBound, "platform", "generation_bound")
	check.bound(s.Platform.ListBound, "platform", "list_bound")
	check.bound(s.Platform.EvacuationBound, "platform", "evacuation_bound")
	check.positive(s.Platform.ListInterval, "platform", "list_interval")
	check.positive(s.Platform.WatchMargin, "platform", "watch_margin")
	check.positive(s.Platform.WatchRetry, "platform", "watch_retry")
	check.positive(s.Limits.CloseTimeout, "limits", "close_timeout")
	check.positive(s.Quota.Window, "rights", "window")
	check.positive(s.Retries.Window, "retries", "window")
	check.positive(s.Limits.ReadHeaderTimeout, "limits", "read_header_timeout")
	check.positive(s.Limits.ReadBodyTimeout, "limits", "read_body_timeout")
	check.positive(s.Limits.BodyStallTimeout, "limits", "body_stall_timeout")
	check.positive(s.Limits.DrainTimeout, "limits", "drain_timeout")
	check.positive(s.Limits.MaxQueueWait, "limits", "max_queue_wait")
	check.positive(s.Quota.Horizon, "rights", "horizon")
	check.positive(s.Quota.Ready, "rights", "ready")
	check.positive(s.Quota.SearchTimeout, "rights", "search_timeout")
	check.positive(s.Journal.FlushInterval, "journal", "flush_interval")
	check.positive(s.Journal.OpenTimeout, "journal", "open_timeout")
	check.positive(s.Journal.FinalTimeout, "journal", "final_timeout")
	check.positive(s.Locate.TTL, "locate", "ttl")
	check.require(s.Locate.ContactBound >= 0, "locate", "contact_bound", "must not be negative")
}
