// Command pier-load sends load to a running fleet and measures and checks the
// results.
package main

import (
	"os"

	"github.com/cranberrypier/cranberrypier/internal/loadcmd"
)

func main() {
	os.Exit(loadcmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
