package launch

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"jacinthpaddle.example/router/process/node"
)

// SettingsPoll is how often the settings are read without a signal.
const SettingsPoll = 5 * time.Second

// reloadOnSignal reads the settings again after SIGHUP and now and then, since
// their file can change without a signal.
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
