package node

import (
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/event"
)

// Reload takes the settings as they are now. Those of the log are in force at
// once and all others at the next start, which the log says. Faulty settings
// change nothing. It is called by one goroutine.
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
	n.Log.Emit(event.Reloaded, event.Flag("at_next_start", settings != previous))
}
