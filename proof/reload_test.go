package proof_test

import (
	"strings"
	"syscall"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// SIGHUP once ended the process. It has the settings read again: those of the log
// are in force at once, and faulty ones change nothing.
func TestReload(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 23, Routers: 1, Endpoints: 1})
	router := f.Routers[0]
	logged := func(event string) func() bool {
		return func() bool { return strings.Contains(router.Process.Log(), event) }
	}
	f.WriteSettings(t, 0, "\n[log]\nserved_per_second = 7\n")
	router.Process.Signal(syscall.SIGHUP)
	harness.Await(t, "the settings to be taken", logged(`"event":1009`))
	f.WriteSettings(t, 0, "\n[log]\nlevel = loud\n")
	router.Process.Signal(syscall.SIGHUP)
	harness.Await(t, "faulty settings to be refused", logged(`"event":1010`))
	if !strings.Contains(router.Process.Log(), "[log] level: must be") {
		t.Error("the refusal names no section, key and reason")
	}
	if _, err := router.Dump(); err != nil {
		t.Errorf("the router after both: got %v, want an answer", err)
	}
}
