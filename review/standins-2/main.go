// Command standins2 plays one case of the second review: the project's routers as separate
// processes, with small stand-ins of the platform's store, runners and clients.
//
//	standins2 CASE FOLDER
//
// It runs in the root of the repository, writes FOLDER/record.txt and exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// play plays a case, with or without its disruption, and reports whether the rule was broken.
type play func(s *site, trouble bool) (broken bool)

var cases = map[string]play{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	record = &recorder{file: file, start: time.Now()}
	folder, err := os.MkdirTemp("", "review")
	must(err)
	playing = newSite(folder)
	defer playing.clean()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { abort(fmt.Errorf("ended by a signal: %v", <-signals)) }()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, disruption %t", os.Args[1], trouble)
	if cases[os.Args[1]](playing, trouble) {
		record.line("the rule was broken")
		return 1
	}
	record.line("the rule held")
	return 0
}

// playing is the deployment of the case.
var playing *site

// must ends the case if it can't run.
func must(err error) {
	if err != nil {
		abort(err)
	}
}

// abort ends the case, which could not run, and all processes that it started.
func abort(err error) {
	record.line("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	if playing != nil {
		playing.clean()
	}
	os.Exit(2)
}
