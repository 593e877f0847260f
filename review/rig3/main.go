//go:build review

// Command rig3 runs the scripted cases of the third review: pier-edge processes with
// settings like those of a small deployment, and stand-ins on loopback addresses.
package main

import (
	"fmt"
	"io"
	"log"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var quietLog = log.New(io.Discard, "", 0)

// cases holds the cases by name; each file of a case adds its own.
var cases = make(map[string]func() int)

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(cases[os.Args[1]]())
}
