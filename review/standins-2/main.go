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
	"path/filepath"
	"time"
)

// play plays a case, with or without its disruption, and returns how often the rule was
// broken and what the rule allows.
type play func(s *site, trouble bool) (broken bool)

var cases = map[string]play{}

func main() { os.Exit(run()) }

func run() (code int) {
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
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, folder)
	}
	var playing *site
	defer func() {
		if playing != nil {
			playing.stop()
		}
		if failed := recover(); failed != nil {
			record.line("the case could not run: %v", failed)
			fmt.Fprintln(os.Stderr, failed)
			code = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, disruption %t", os.Args[1], trouble)
	playing = newSite(folder)
	if cases[os.Args[1]](playing, trouble) {
		record.line("the rule was broken")
		return 1
	}
	record.line("the rule held")
	return 0
}
