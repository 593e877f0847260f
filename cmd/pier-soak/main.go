// Command pier-soak runs pier-edge processes under random faults. It checks the
// responses that callers receive and the requests that replicas execute.
//
// Exit codes: 0 no violations, 1 violations or a failed run, 2 invalid command
// line, 3 interrupted.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/cranberrypier/cranberrypier/internal/fake/sitesoak"
)

type options struct {
	Program  string        `required:"" type:"existingfile" help:"Path of the pier-edge program."`
	Dir      string        `required:"" type:"path" help:"Folder for settings and logs; those of failed seeds are kept."`
	Seed     uint64        `default:"1" help:"First seed."`
	Seeds    uint64        `default:"1" help:"Number of seeds."`
	Duration time.Duration `default:"15s" help:"Duration of the faults of each seed."`
	VMs      int           `name:"vms" default:"4" help:"Number of entry VMs."`
	Callers  int           `default:"12" help:"Number of callers."`
	Steps    []string      `help:"Names of the steps to draw; all if empty."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("pier-soak"), kong.Description("Runs pier-edge processes under random faults."))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	failed := 0
	for seed := opts.Seed; seed < opts.Seed+opts.Seeds; seed++ {
		dir := filepath.Join(opts.Dir, fmt.Sprintf("seed-%d", seed))
		result, err := sitesoak.Run(sitesoak.Options{
			Program: opts.Program, Dir: dir, Seed: seed, Duration: opts.Duration, VMs: opts.VMs, Callers: opts.Callers, Steps: opts.Steps,
			OnStart: func(stopAll func()) { go stopOnInterrupt(interrupted, stopAll) },
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "pier-soak: seed %d: %v\n", seed, err)
			os.Exit(1)
		}
		result.Print(os.Stdout)
		if len(result.Violations) > 0 {
			failed++
			continue
		}
		_ = os.RemoveAll(dir) // logs are only needed to analyze violations
	}
	fmt.Printf("%d seeds, %d with violations\n", opts.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// stopOnInterrupt stops a run's processes and exits when interrupted, so that
// child processes do not outlive this process.
func stopOnInterrupt(interrupted <-chan os.Signal, stopAll func()) {
	<-interrupted
	stopAll()
	os.Exit(3)
}
