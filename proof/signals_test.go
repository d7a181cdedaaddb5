package proof_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// drainingLogged is in the log line of the event that a router drains.
const drainingLogged = `"event":1002`

// TestSignalsDuringDrain guards against a signal that ends a draining process: settings
// change, also to invalid ones, and further signals arrive until the process has exited.
func TestSignalsDuringDrain(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 26, Routers: 1, Endpoints: 1, EndpointFlags: loadedEndpointFlags})
	router := f.Routers[0]
	streams := startPinnedStreams(t, router, f.CallerAddresses())
	router.Process.Signal(syscall.SIGTERM)
	router.Process.AwaitLogged(t, drainingLogged)
	f.WriteSettings(t, 0, "\n[log]\nserved_per_second = 7\n")
	router.Process.Signal(syscall.SIGHUP)
	router.Process.AwaitLogged(t, reloadedLogged)
	f.WriteSettings(t, 0, "\n[log]\nlevel = loud\n")
	router.Process.SignalUntilExit(t, harness.DrainTimeout, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGINT)
	if got := router.Process.Command.ProcessState.ExitCode(); got != 0 {
		t.Errorf("exit code: got %d, want 0", got)
	}
	checkNoFailures(t, streams.Stop())
}

// TestSignalBeforeSettingsAreRead guards against a SIGHUP that ends a process which still
// reads its settings.
func TestSignalBeforeSettingsAreRead(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 27, Routers: 1, Endpoints: 1})
	router := f.Routers[0]
	router.Process.Terminate(t, harness.DrainTimeout)
	settings, err := os.ReadFile(f.WriteSettings(t, 0, ""))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	f.LaunchRouter(t, 0, path)
	pipe := openForReader(t, path)
	router.Process.Signal(syscall.SIGHUP)
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	f.AwaitStarted(t, 0)
}

// TestRouterOutlivesTheReaderOfItsLog guards against a router that ends because nothing reads
// its standard output any more: the runtime's default action of SIGPIPE ends the process.
func TestRouterOutlivesTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Config{Network: 28, Routers: 1, Endpoints: 1, EndpointFlags: loadedEndpointFlags})
	router := f.Routers[0]
	streams := startPinnedStreams(t, router, f.CallerAddresses())
	router.Process.CloseLog()
	dumps := 0
	harness.Await(t, "some log lines", func() bool {
		router.Process.Signal(syscall.SIGUSR1)
		dumps++
		return dumps > 20
	})
	checkNoFailures(t, streams.Stop())
	router.Process.Terminate(t, harness.DrainTimeout)
	if got := router.Process.Command.ProcessState.ExitCode(); got != 0 {
		t.Errorf("exit code: got %d, want 0", got)
	}
}

// openForReader opens the named pipe for writing once a process has opened it for reading.
func openForReader(t *testing.T, path string) *os.File {
	t.Helper()
	var pipe *os.File
	harness.Await(t, "a reader of "+path, func() bool {
		opened, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		pipe = opened
		return err == nil
	})
	return pipe
}
