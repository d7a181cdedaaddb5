// Command jacinth is the command line of the operators of a fleet of routers: it validates
// and publishes declarations, shows the state of the routers and audits the bills.
//
// # Usage
//
//	jacinth check --dir declarations
//	jacinth apply --dir declarations --wait 14s
//	jacinth topup --dir declarations --budget festival --to 2000000
//	jacinth status
//	jacinth dump --vm entry-1
//	jacinth drain --vm entry-1
//	jacinth audit
//	jacinth key
//
// The exit code is 0 on success, 1 for faults of the declarations and any other error, 2 for
// an invalid command line or a file that could not be accessed, 3 if a router did not confirm or was unreachable, 4 if an audit
// found a mismatch and 5 if the platform was unavailable.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/jacinth/request/command"
)

func main() {
	os.Exit(int(run()))
}

func run() command.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, command.Environment{
		Arguments: os.Args[1:],
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		Clock:     clock.New(),
	})
}
