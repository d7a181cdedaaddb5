// Command standins plays one case of the review: it starts the system's own program as
// separate processes and plays the store, the runners and the clients around it.
//
//	standins CASE FOLDER
//
// It writes record.txt in the folder and exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(log *recorder, trouble bool) (int, error){
	"refused": playRefused,
	"mixed":   playMixed,
	"drain":   playDrain,
	"part":    playPart,
	"denied":  playDenied,
	"forget":  playForget,
}

func main() {
	// The routers end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(notRun)
	}
	log, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.say("could not run: %v", err)
		code = notRun
	}
	log.close()
	os.Exit(code)
}
