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

// Settings are all settings of a router.
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

// VMSettings say where the process runs. Address is an IP number. CPUShare is the
// part of each of the Cores that the VM may use.
type VMSettings struct {
	Name             string  `ini:"name"`
	Address          string  `ini:"address"`
	Region           string  `ini:"region"`
	AvailabilityZone string  `ini:"availability_zone"`
	Cores            float64 `ini:"cores"`
	CPUShare         float64 `ini:"cpu_share"`
}

// ListenSettings are the TCP ports on the VM's address. Callers, Ready and Locate
// are addresses with a port, for a platform on which these are apart: Callers
// goes before the caller port.
type ListenSettings struct {
	CallerPort    int    `ini:"caller_port"`
	PeerPort      int    `ini:"peer_port"`
	OperatorsPort int    `ini:"operators_port"`
	MetricsPort   int    `ini:"metrics_port"`
	Callers       string `ini:"callers"`
	Ready         string `ini:"ready"`
	Locate        string `ini:"locate"`
}

// PlatformSettings lead to the platform's service. Address is host and port.
// ReturnGrace is how long endpoints that are missing from the list stay in use
// after the platform was away. LeavingHold is how long the list alone cannot
// bring a leaving endpoint back. Polled bounds the endpoints whose load is polled.
// Regions lists availability zones with their regions, as zone:region, where the
// platform's list names only zones.
type PlatformSettings struct {
	Address         string        `ini:"address"`
	CallTimeout     time.Duration `ini:"call_timeout"`
	WatchWait       time.Duration `ini:"watch_wait"`
	WatchMargin     time.Duration `ini:"watch_margin"`
	WatchRetry      time.Duration `ini:"watch_retry"`
	ListInterval    time.Duration `ini:"list_interval"`
	ReturnGrace     time.Duration `ini:"return_grace"`
	Regions         string        `ini:"regions"`
	LeavingHold     time.Duration `ini:"leaving_hold"`
	PolledEndpoints int           `ini:"polled_endpoints"`
}

// FleetSettings join the routers. Secret is shared by all of them.
type FleetSettings struct {
	EntryPool string `ini:"entry_pool"`
	Secret    string `ini:"secret"`
}

// LimitSettings bound what callers can ask for.
type LimitSettings struct {
	MaxBodyBytes      int64         `ini:"max_body_bytes"`
	MaxHeaderBytes    int           `ini:"max_header_bytes"`
	MaxResponseBytes  int64         `ini:"max_answer_bytes"`
	MaxConcurrent     int           `ini:"max_concurrent"`
	ReadHeaderTimeout time.Duration `ini:"read_header_timeout"`
	ReadBodyTimeout   time.Duration `ini:"read_body_timeout"`
	DrainTimeout      time.Duration `ini:"drain_timeout"`
	CloseTimeout      time.Duration `ini:"close_timeout"`
	MaxQueueWait      time.Duration `ini:"max_queue_wait"`
}

// QuotaSettings size the part of the budgets that the process holds. Horizon
// and Ready are times of recent demand. Holders is the least number of routers
// to expect at one budget, and SharePercent how much of an equal part of what
// remains each may hold. Window is the time over which demand is averaged, Pages
// the number of objects that accounts are spread over, and Guarded has peers
// guard what is not ready to spend.
type QuotaSettings struct {
	Horizon       time.Duration `ini:"horizon"`
	Ready         time.Duration `ini:"ready"`
	Window        time.Duration `ini:"window"`
	Pages         int           `ini:"pages"`
	Witnessed     bool          `ini:"guarded"`
	Holders       int           `ini:"holders"`
	SharePercent  int           `ini:"share_percent"`
	RefillPercent int           `ini:"refill_percent"`
	SearchTimeout time.Duration `ini:"search_timeout"`
}

// JournalSettings bound the wait for a safe record of a request. Without Wait a
// request goes on at once, and its record follows.
type JournalSettings struct {
	Wait          bool          `ini:"wait"`
	Copies        int           `ini:"copies"`
	FlushInterval time.Duration `ini:"flush_interval"`
	OpenTimeout   time.Duration `ini:"open_timeout"`
	FinalTimeout  time.Duration `ini:"final_timeout"`
}

// RetrySettings bound the retries of the whole fleet at one pool: SharePercent of
// the requests and Slack more in each Window.
type RetrySettings struct {
	SharePercent int           `ini:"share_percent"`
	Slack        int           `ini:"slack"`
	Window       time.Duration `ini:"window"`
}

// LocateSettings shape the answers to callers that ask which address to use.
type LocateSettings struct {
	TTL time.Duration `ini:"ttl"`
}

// LogSettings choose the log's level, and how many served requests a second have a
// line.
type LogSettings struct {
	Level           string `ini:"level"`
	ServedPerSecond int    `ini:"served_per_second"`
}

// DefaultSettings returns the settings that a router starts from.
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
			MaxConcurrent:     1024,
			ReadHeaderTimeout: 5 * time.Second,
			ReadBodyTimeout:   30 * time.Second,
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

// LoadSettings decodes and checks settings. Its error is a setting.FaultsError
// with every fault.
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

// Locality returns where the process runs.
func (s Settings) Locality() vm.Locality {
	return vm.Locality{Region: s.VM.Region, AvailabilityZone: s.VM.AvailabilityZone}
}

// HostPort returns the VM's address with the port.
func (s Settings) HostPort(port int) string {
	return net.JoinHostPort(s.VM.Address, strconv.Itoa(port))
}

// RegionByZone returns the region of each availability zone that Regions lists.
func (p PlatformSettings) RegionByZone() map[string]string {
	regions := make(map[string]string)
	for entry := range strings.SplitSeq(p.Regions, ",") {
		if zone, region, ok := strings.Cut(entry, ":"); ok {
			regions[strings.TrimSpace(zone)] = strings.TrimSpace(region)
		}
	}
	return regions
}

// callerAddress returns where callers connect.
func (s Settings) callerAddress() string {
	if s.Listen.Callers != "" {
		return s.Listen.Callers
	}
	return s.HostPort(s.Listen.CallerPort)
}

// peerAddress returns where another VM accepts links.
func (s Settings) peerAddress(machine vm.VM) string {
	return net.JoinHostPort(machine.Address, strconv.Itoa(s.Listen.PeerPort))
}
