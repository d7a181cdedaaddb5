package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// sampleInterval is how often a ResourceMonitor counts the open sockets.
const sampleInterval = 10 * time.Millisecond

// ResourceMonitor observes the memory and the sockets of a process.
type ResourceMonitor struct {
	process *process
	// RestBytes is the resident memory at the start of the monitor.
	RestBytes   int64
	stop        chan struct{}
	done        sync.WaitGroup
	peakSockets int
}

// Resources are what a process occupied at most.
type Resources struct {
	// Running reports whether the process has not ended.
	Running bool
	// PeakBytes is the maximum of the resident memory, which the kernel records.
	PeakBytes int64
	// PeakSockets is the maximum number of open sockets and pipes that was observed.
	PeakSockets int
}

// MonitorResources observes the process of the router until Stop is called.
func (r *Router) MonitorResources(t *testing.T) *ResourceMonitor {
	t.Helper()
	monitor := &ResourceMonitor{process: r.Process, stop: make(chan struct{})}
	var err error
	if monitor.RestBytes, err = r.Process.statusBytes("VmRSS"); err != nil {
		t.Fatal(err)
	}
	monitor.done.Go(monitor.sample)
	return monitor
}

func (m *ResourceMonitor) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.peakSockets = max(m.peakSockets, m.process.countSockets())
		}
	}
}

// Stop ends the observation.
func (m *ResourceMonitor) Stop(t *testing.T) Resources {
	t.Helper()
	close(m.stop)
	m.done.Wait()
	select {
	case <-m.process.exited:
		return Resources{PeakSockets: m.peakSockets}
	default:
	}
	peak, err := m.process.statusBytes("VmHWM")
	if err != nil {
		t.Fatal(err)
	}
	return Resources{Running: true, PeakBytes: peak, PeakSockets: m.peakSockets}
}

// statusBytes returns a value of /proc/PID/status that has the unit kB.
func (p *process) statusBytes(name string) (int64, error) {
	content, err := os.ReadFile(p.procPath("status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("%s has no %s", p.procPath("status"), name)
}

// countSockets counts the open sockets and pipes.
func (p *process) countSockets() int {
	entries, err := os.ReadDir(p.procPath("fd"))
	if err != nil {
		return 0
	}
	count := 0
	for _, entry := range entries {
		target, err := os.Readlink(p.procPath("fd/" + entry.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

func (p *process) procPath(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.Command.Process.Pid, name)
}
