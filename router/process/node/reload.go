package node

import (
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/event"
)

// Reload applies the result of loading the settings again. Log settings become active
// at once. All others apply at the next start, which is logged if they differ. After an
// error the settings stay as they are. Reload must be called by one goroutine only.
func (n *Node) Reload(settings Settings, err error) {
	if err != nil {
		n.Log.Emit(event.ReloadRefused, event.Cause(err))
		return
	}
	previous := n.loadedSettings
	if settings == previous {
		return
	}
	n.loadedSettings = settings
	level, _ := logrus.ParseLevel(settings.Log.Level)
	n.Log.SetLevel(level)
	previous.Log = settings.Log
	n.Log.Emit(event.Reloaded, event.Bool("at_next_start", settings != previous))
}
