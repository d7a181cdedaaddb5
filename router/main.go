// Command router is the process on an entry VM of jacinthpaddle.
//
// # Usage
//
//	router run --settings router.ini
//	router check --settings router.ini
//	router version
//
// SIGTERM drains the process and SIGUSR1 writes its state to the log.
package main

import (
	"os"

	"jacinthpaddle.example/router/process/launch"
)

var program = launch.Program{Name: "router", SettingsVariable: "JACINTH_SETTINGS"}

func main() {
	os.Exit(launch.Main(program, os.Args[1:], os.Stdout))
}
