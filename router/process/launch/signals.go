package launch

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"jacinthpaddle.example/router/process/node"
)

// SettingsPoll is the interval at which the settings are read without a signal.
const SettingsPoll = 5 * time.Second

// signals receives the signals of the process.
type signals struct {
	// terminated ends at the first SIGTERM or SIGINT. Later ones have no effect.
	terminated context.Context
	reload     <-chan os.Signal
	dump       <-chan os.Signal
}

// catchSignals replaces the default actions of the signals until the process exits. None
// is ever restored, since SIGHUP would then end a process that drains or writes its last
// log lines. SIGPIPE is ignored, so that a log that nobody reads any more fails only the write.
func catchSignals() signals {
	signal.Ignore(syscall.SIGPIPE)
	terminated, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return signals{terminated: terminated, reload: notify(syscall.SIGHUP), dump: notify(syscall.SIGUSR1)}
}

// notify returns a channel that receives the signal. Signals that arrive while one waits
// in the channel are merged with it.
func notify(caught os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, caught)
	return received
}

// dumpOnSignal writes the state of the router to the log at each signal, for as long as
// the process lives.
func dumpOnSignal(dump <-chan os.Signal, router *node.Node) {
	for range dump {
		router.WriteDump()
	}
}

// reloadOnSignal reloads the settings at each signal and at each SettingsPoll, since the
// file can change without a signal. It does so for as long as the process lives: a reload
// changes only the log of a process that drains.
func reloadOnSignal(reload <-chan os.Signal, router *node.Node, read func() (node.Settings, error)) {
	ticker := time.NewTicker(SettingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
		case <-ticker.C:
		}
		router.Reload(read())
	}
}
