// Command jacinth checks and publishes declarations, and tells operators what
// the fleet does with them.
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
// The exit code is 0 if all went well, 1 for faults, 2 for a wrong command
// line, 3 if a router did not confirm or answer, 4 if an audit found a mismatch
// and 5 if the platform gave no usable answer.
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
