//go:build review

// Command harness-2 plays the scripts of the second independent review: it starts the project's own processes on
// loopback addresses and stands in for the operator, the platform and the upstreams.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script: the rule held, it was broken, or the case could not run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name; the file of each adds it.
var cases = map[string]func(s *site, trouble bool) (broken string, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER, from the root of the repository")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs stay in", folder)
	}
	s := newSite(folder, r)
	defer s.stop()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		r.line("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.line("HELD")
	fmt.Println("held")
	return exitHeld
}
