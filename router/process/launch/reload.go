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

// reloadOnSignal reloads the settings after SIGHUP and at each SettingsPoll, since the
// file can change without a signal.
func reloadOnSignal(ctx context.Context, router *node.Node, read func() (node.Settings, error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(SettingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		router.Reload(read())
	}
}
