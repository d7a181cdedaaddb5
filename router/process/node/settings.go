package node

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/setting"
	"jacinthpaddle.example/fleet/process/vm"
)

// Settings has all settings of a router, with one struct for each section of the file.
type Settings struct {
	VM       VMSettings       `ini:"vm"`
	Listen   ListenSettings   `ini:"listen"`
	Platform PlatformSettings `ini:"platform"`
	Fleet    FleetSettings    `ini:"fleet"`
	Limits   LimitSettings    `ini:"limits"`
	Quota    QuotaSettings    `ini:"rights"`
	Journal  JournalSettings  `ini:"journal"`
	Retries  RetrySettings    `ini:"retries"`
	Locate   LocateSettings   `ini:"locate"`
	Log      LogSettings      `ini:"log"`
}

// VMSettings describes the VM on which the process runs.
type VMSettings struct {
	Name string `ini:"name"`
	// Address is an IP address.
	Address          string  `ini:"address"`
	Region           string  `ini:"region"`
	AvailabilityZone string  `ini:"availability_zone"`
	Cores            float64 `ini:"cores"`
	// CPUShare is the fraction of each core that the VM may use.
	CPUShare float64 `ini:"cpu_share"`
	// MemoryMB is the memory of the VM in units of 1,048,576 bytes, or zero if it is not
	// known.
	MemoryMB float64 `ini:"memory_mb"`
	// Descriptors is the number of file descriptors of the VM, or zero if it is not known.
	Descriptors float64 `ini:"descriptors"`
}

// Power returns the processing power of the VM in cores.
func (v VMSettings) Power() float64 {
	return v.Cores * v.CPUShare
}

// ListenSettings has the TCP ports on the VM's address, and separate addresses for the
// front ends of an adapter.
type ListenSettings struct {
	CallerPort    int `ini:"caller_port"`
	PeerPort      int `ini:"peer_port"`
	OperatorsPort int `ini:"operators_port"`
	MetricsPort   int `ini:"metrics_port"`
	// Callers is the IP address and port for callers. If it is set, it replaces the VM's
	// address with CallerPort.
	Callers string `ini:"callers"`
	// Ready is the IP address and port of an adapter's readiness checks.
	Ready string `ini:"ready"`
	// Locate is the IP address and port of an adapter's locate requests.
	Locate string `ini:"locate"`
}

// PlatformSettings configures the access to the platform's API and the use of its data.
type PlatformSettings struct {
	// Address is the host and port of the API.
	Address     string        `ini:"address"`
	CallTimeout time.Duration `ini:"call_timeout"`
	// WatchWait is the time that the API may wait for a change before it responds.
	WatchWait time.Duration `ini:"watch_wait"`
	// GenerationBound is the time within which a new generation must be active. If it is
	// set, watches of the generation wait for a time derived from it instead of WatchWait.
	GenerationBound time.Duration `ini:"generation_bound"`
	// ListBound is the same for a change of the list of VMs. A VM that is removed from the
	// list still serves for this time.
	ListBound time.Duration `ini:"list_bound"`
	// EvacuationBound is the time within which the evacuation of an availability zone must
	// be in force. Zero turns evacuations off: nothing reads them, and those of peers are
	// ignored.
	EvacuationBound time.Duration `ini:"evacuation_bound"`
	// WatchMargin is the time that a watch may take beyond its wait.
	WatchMargin time.Duration `ini:"watch_margin"`
	// WatchRetry is the pause after a failed watch.
	WatchRetry time.Duration `ini:"watch_retry"`
	// ListInterval is the interval between readings of the list of VMs in a small fleet.
	ListInterval time.Duration `ini:"list_interval"`
	// ReturnGrace is the time for which endpoints that are missing from the list stay in
	// use after the platform became available again.
	ReturnGrace time.Duration `ini:"return_grace"`
	// Regions maps availability zones to regions, as zone:region separated by commas, for
	// a platform whose list contains only zones.
	Regions string `ini:"regions"`
	// LeavingHold is the time for which an endpoint that is leaving stays excluded although
	// the list of VMs reports it as live.
	LeavingHold time.Duration `ini:"leaving_hold"`
	// WritesPerSecond is the rate of writes that the platform allows the whole fleet, or
	// zero if it is not known. It determines the layout of the accounts of a new fleet.
	WritesPerSecond float64 `ini:"writes_per_second"`
	// PolledEndpoints is the maximum number of endpoints whose load is polled.
	PolledEndpoints int `ini:"polled_endpoints"`
}

// FleetSettings has the settings that all routers of a fleet share.
type FleetSettings struct {
	// EntryPool is the pool of the routers' VMs in the platform's list.
	EntryPool string `ini:"entry_pool"`
	// Secret authenticates the routers to each other and signs tickets.
	Secret string `ini:"secret"`
}

// LimitSettings bounds the requests and connections of callers, and the drain.
type LimitSettings struct {
	MaxBodyBytes   int64 `ini:"max_body_bytes"`
	MaxHeaderBytes int   `ini:"max_header_bytes"`
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes int64 `ini:"max_answer_bytes"`
	// MaxBufferedBytes bounds the memory that all responses occupy while they are read.
	MaxBufferedBytes int64 `ini:"max_buffered_bytes"`
	// MaxReceivedBytes bounds the part of that memory that requests occupy. Zero is a third
	// of it.
	MaxReceivedBytes int64 `ini:"max_received_bytes"`
	// MaxHeaderLines is the maximum number of lines of a request's header.
	MaxHeaderLines int `ini:"max_header_lines"`
	// MaxConnections is the maximum number of connections of callers. Zero is a number
	// that follows from the VM.
	MaxConnections int `ini:"max_connections"`
	// MaxConcurrent is the maximum number of requests in progress.
	MaxConcurrent     int           `ini:"max_concurrent"`
	ReadHeaderTimeout time.Duration `ini:"read_header_timeout"`
	ReadBodyTimeout   time.Duration `ini:"read_body_timeout"`
	// BodyStallTimeout bounds the time without any byte of a body that is read.
	BodyStallTimeout time.Duration `ini:"body_stall_timeout"`
	// DrainTimeout bounds the wait for the requests in progress during a drain.
	DrainTimeout time.Duration `ini:"drain_timeout"`
	// CloseTimeout bounds the return of the quota and the last journal write of a drain.
	CloseTimeout time.Duration `ini:"close_timeout"`
	// MaxQueueWait bounds the wait of a request for an endpoint with a free slot.
	MaxQueueWait time.Duration `ini:"max_queue_wait"`
}

// QuotaSettings determines how much of each budget the process holds.
type QuotaSettings struct {
	// Horizon is the time for which the quota covers the recent demand.
	Horizon time.Duration `ini:"horizon"`
	// Ready is the time for which the spendable part of witnessed quota covers the recent
	// demand.
	Ready time.Duration `ini:"ready"`
	// Window is the time constant of the demand estimate.
	Window time.Duration `ini:"window"`
	// Pages is the number of stored objects over which the accounts are distributed. Zero
	// is the number in the stored layout of the fleet.
	Pages int `ini:"pages"`
	// Witnessed makes peers witness the ceiling of the quota, so that the unspent part
	// above the ceiling can be reclaimed if this process fails.
	Witnessed bool `ini:"guarded"`
	// Holders is the least number of holders of a budget to expect.
	Holders int `ini:"holders"`
	// SharePercent is, with Witnessed, the maximum quota of a process in percent of an
	// equal part of the remaining credits of the budget. Without it, SharePercent is the
	// quota that all holders together keep, in percent of the credits left in the store.
	SharePercent int `ini:"share_percent"`
	// LossPercent bounds, without Witnessed, the quota that may be lost with failed
	// processes, in percent of the purchased credits of the budget. Zero is no bound.
	LossPercent int `ini:"loss_percent"`
	// RefillPercent is the percentage of the target quota below which a grant is
	// requested.
	RefillPercent int `ini:"refill_percent"`
	// SearchTimeout bounds the wait of a request for credits.
	SearchTimeout time.Duration `ini:"search_timeout"`
}

// JournalSettings determines how records of requests become durable.
type JournalSettings struct {
	// Wait makes a request wait until its record is durable. Without it the record is
	// written in the background.
	Wait bool `ini:"wait"`
	// Copies is the number of peers that must hold a record before it is durable without
	// the store.
	Copies int `ini:"copies"`
	// FlushInterval is the interval between journal writes in a small fleet.
	FlushInterval time.Duration `ini:"flush_interval"`
	// OpenTimeout bounds the wait for the open record of a request.
	OpenTimeout time.Duration `ini:"open_timeout"`
	// FinalTimeout bounds the wait for the final record of a request.
	FinalTimeout time.Duration `ini:"final_timeout"`
}

// RetrySettings bounds the retries of the whole fleet at one pool.
type RetrySettings struct {
	// SharePercent is the maximum number of retries in percent of the requests.
	SharePercent int `ini:"share_percent"`
	// Slack is the number of retries in each Window beyond SharePercent.
	Slack  float64       `ini:"slack"`
	Window time.Duration `ini:"window"`
}

// LocateSettings configures the responses to locate requests.
type LocateSettings struct {
	// TTL is how long a caller may use a response.
	TTL time.Duration `ini:"ttl"`
	// ContactBound is the time since the last contact with a suspected router after which
	// no response names it. Zero is no bound.
	ContactBound time.Duration `ini:"contact_bound"`
}

// LogSettings configures the log. A reload applies them at once.
type LogSettings struct {
	Level string `ini:"level"`
	// ServedPerSecond is the maximum number of served requests that are logged in one
	// second.
	ServedPerSecond int `ini:"served_per_second"`
}

// DefaultSettings returns the values of the settings that a file does not contain. The
// required settings are empty.
func DefaultSettings() Settings {
	return Settings{
		VM:     VMSettings{Cores: 1, CPUShare: 1},
		Listen: ListenSettings{CallerPort: 7070, PeerPort: 7071, OperatorsPort: 7072, MetricsPort: 7073},
		Platform: PlatformSettings{
			CallTimeout:     2 * time.Second,
			WatchWait:       8 * time.Second,
			WatchMargin:     WatchMargin,
			WatchRetry:      WatchRetry,
			ListInterval:    time.Second,
			LeavingHold:     30 * time.Second,
			PolledEndpoints: 16,
		},
		Fleet: FleetSettings{EntryPool: "entry"},
		Limits: LimitSettings{
			MaxBodyBytes:      1 << 20,
			MaxHeaderBytes:    16 << 10,
			MaxResponseBytes:  16 << 20,
			MaxBufferedBytes:  64 << 20,
			MaxHeaderLines:    16 << 10,
			MaxConcurrent:     1024,
			ReadHeaderTimeout: 5 * time.Second,
			ReadBodyTimeout:   30 * time.Second,
			BodyStallTimeout:  10 * time.Second,
			DrainTimeout:      2 * time.Minute,
			CloseTimeout:      CloseTimeout,
			MaxQueueWait:      time.Second,
		},
		Quota: QuotaSettings{
			Horizon:       8 * time.Hour,
			Ready:         30 * time.Second,
			Window:        quota.DemandWindow,
			Pages:         account.PageCount,
			Witnessed:     true,
			Holders:       8,
			SharePercent:  400,
			RefillPercent: 50,
			SearchTimeout: 1500 * time.Millisecond,
		},
		Retries: RetrySettings{SharePercent: 10, Slack: 160, Window: 10 * time.Second},
		Journal: JournalSettings{
			Wait:          true,
			Copies:        2,
			FlushInterval: time.Second,
			OpenTimeout:   2 * time.Second,
			FinalTimeout:  5 * time.Second,
		},
		Locate: LocateSettings{TTL: 10 * time.Second},
		Log:    LogSettings{Level: "info", ServedPerSecond: 20},
	}
}

// LoadSettings decodes and checks settings. Its error is a *setting.FaultsError that
// lists all faults.
func LoadSettings(content []byte) (Settings, error) {
	settings := DefaultSettings()
	var undecoded *setting.FaultsError
	var faults []setting.Fault
	if errors.As(setting.Decode(content, &settings), &undecoded) {
		faults = undecoded.Faults
	}
	faults = append(faults, settings.faults()...)
	return settings, setting.Err(faults)
}

// Locality returns the region and the availability zone of the VM.
func (s Settings) Locality() vm.Locality {
	return vm.Locality{Region: s.VM.Region, AvailabilityZone: s.VM.AvailabilityZone}
}

// HostPort returns the VM's address and the port as host:port.
func (s Settings) HostPort(port int) string {
	return net.JoinHostPort(s.VM.Address, strconv.Itoa(port))
}

// ReadTime is the part of a bound that remains for reading and applying a change.
const ReadTime = 100 * time.Millisecond

// GenerationWait returns how long a watch of the generation may wait for a change.
func (p PlatformSettings) GenerationWait() time.Duration {
	return p.watchWait(p.GenerationBound)
}

// ListWait returns how long a watch of the list of VMs may wait for a change.
func (p PlatformSettings) ListWait() time.Duration {
	return p.watchWait(p.ListBound)
}

// EvacuationWait returns how long a watch of the evacuated zones may wait for a change.
func (p PlatformSettings) EvacuationWait() time.Duration {
	return p.watchWait(p.EvacuationBound)
}

// watchWait returns the wait with which two watches fit into the bound, so that one of
// them can fail silently. Shorter waits would only cost more calls.
func (p PlatformSettings) watchWait(bound time.Duration) time.Duration {
	if bound == 0 {
		return p.WatchWait
	}
	return (bound - ReadTime) / 2
}

// RegionByZone returns the region of each availability zone in Regions. Malformed
// entries are skipped.
func (p PlatformSettings) RegionByZone() map[string]string {
	regions := make(map[string]string)
	for entry := range strings.SplitSeq(p.Regions, ",") {
		if zone, region, ok := strings.Cut(entry, ":"); ok {
			regions[strings.TrimSpace(zone)] = strings.TrimSpace(region)
		}
	}
	return regions
}

// callerAddress returns the address that callers connect to.
func (s Settings) callerAddress() string {
	if s.Listen.Callers != "" {
		return s.Listen.Callers
	}
	return s.HostPort(s.Listen.CallerPort)
}

// peerAddress returns the address at which the router of another VM accepts links.
func (s Settings) peerAddress(machine vm.VM) string {
	return net.JoinHostPort(machine.Address, strconv.Itoa(s.Listen.PeerPort))
}
