// Command router runs the router process of jacinthpaddle on a VM of the entry pool.
//
// # Usage
//
//	router run --settings router.ini
//	router check --settings router.ini
//	router version
//
// SIGTERM drains the process, SIGHUP reloads the settings and SIGUSR1 writes the state of
// the process to the log.
package main

import (
	"os"

	"jacinthpaddle.example/router/process/launch"
)

var program = launch.Program{Name: "router", SettingsVariable: "JACINTH_SETTINGS"}

func main() {
	os.Exit(launch.Main(program, os.Args[1:], os.Stdout))
}
