package proof_test

import (
	"strings"
	"syscall"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// reloadedLogged is in the log line of the event that changed settings were read.
const reloadedLogged = `"event":1009`

// TestReload guards against SIGHUP terminating the process. The signal reloads the
// settings file: log settings become active at once, and invalid settings change
// nothing.
func TestReload(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 23, Routers: 1, Endpoints: 1})
	router := f.Routers[0]
	f.WriteSettings(t, 0, "\n[log]\nserved_per_second = 7\n")
	router.Process.Signal(syscall.SIGHUP)
	router.Process.AwaitLogged(t, reloadedLogged)
	f.WriteSettings(t, 0, "\n[log]\nlevel = loud\n")
	router.Process.Signal(syscall.SIGHUP)
	router.Process.AwaitLogged(t, `"event":1010`)
	if !strings.Contains(router.Process.Log(), "[log] level: must be") {
		t.Error("the log entry names no section, key and reason")
	}
	if _, err := router.Dump(); err != nil {
		t.Errorf("dump after both reloads: got %v, want no error", err)
	}
}
