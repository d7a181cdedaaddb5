package proof_test

import (
	"strings"
	"syscall"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// TestReload guards against SIGHUP terminating the process. The signal reloads the
// settings file: log settings become active at once, and invalid settings change
// nothing.
func TestReload(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 23, Routers: 1, Endpoints: 1})
	router := f.Routers[0]
	logged := func(event string) func() bool {
		return func() bool { return strings.Contains(router.Process.Log(), event) }
	}
	f.WriteSettings(t, 0, "\n[log]\nserved_per_second = 7\n")
	router.Process.Signal(syscall.SIGHUP)
	harness.Await(t, "the settings to be reloaded", logged(`"event":1009`))
	f.WriteSettings(t, 0, "\n[log]\nlevel = loud\n")
	router.Process.Signal(syscall.SIGHUP)
	harness.Await(t, "invalid settings to be refused", logged(`"event":1010`))
	if !strings.Contains(router.Process.Log(), "[log] level: must be") {
		t.Error("the log entry names no section, key and reason")
	}
	if _, err := router.Dump(); err != nil {
		t.Errorf("dump after both reloads: got %v, want no error", err)
	}
}
