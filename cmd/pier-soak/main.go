// Command pier-soak runs pier-edge processes under random faults and checks
// what callers and replicas see.
//
// Exit codes: 0 every promise was kept, 1 one was broken, 2 wrong command line,
// 3 interrupted.
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
	Program  string        `required:"" type:"existingfile" help:"The pier-edge program."`
	Dir      string        `required:"" type:"path" help:"Folder for settings and logs; logs of failed seeds stay there."`
	Seed     uint64        `default:"1" help:"First seed."`
	Seeds    uint64        `default:"1" help:"Number of seeds."`
	Duration time.Duration `default:"15s" help:"Time of faults in each seed."`
	VMs      int           `name:"vms" default:"4" help:"Number of entry VMs."`
	Callers  int           `default:"12" help:"Number of callers."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("pier-soak"), kong.Description("Random faults around real processes."))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	failed := 0
	for seed := opts.Seed; seed < opts.Seed+opts.Seeds; seed++ {
		dir := filepath.Join(opts.Dir, fmt.Sprintf("seed-%d", seed))
		result, err := sitesoak.Run(sitesoak.Options{
			Program: opts.Program, Dir: dir, Seed: seed, Duration: opts.Duration, VMs: opts.VMs, Callers: opts.Callers,
			Started: func(stopAll func()) { go stopOnInterrupt(interrupted, stopAll) },
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "pier-soak: seed %d: %v\n", seed, err)
			os.Exit(1)
		}
		result.Print(os.Stdout)
		if len(result.Faults) > 0 {
			failed++
			continue
		}
		_ = os.RemoveAll(dir) // nothing to look into
	}
	fmt.Printf("%d seeds, %d with a broken promise\n", opts.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// endWith ends a run's processes and this one when it is interrupted: processes
// that were started here must not outlive it.
func stopOnInterrupt(interrupted <-chan os.Signal, stopAll func()) {
	<-interrupted
	stopAll()
	os.Exit(3)
}
