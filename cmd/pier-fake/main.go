// Command pier-fake runs stand-ins for the platform, model engines, plain
// services and the rating service, for tests and the quick start.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/cranberrypier/cranberrypier/internal/fake/app"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// exitUsage is the exit code for invalid settings or arguments.
const exitUsage = 2

func main() {
	var args struct {
		Settings string `help:"Settings file." required:"" type:"path"`
	}
	kong.Parse(&args,
		kong.Name("pier-fake"),
		kong.Description("Stand-ins for tests and the quick start."),
		kong.Exit(func(code int) { os.Exit(min(code, exitUsage)) }))
	if err := run(args.Settings); err != nil {
		fmt.Fprintln(os.Stderr, "pier-fake:", result.From(err))
		os.Exit(exitUsage)
	}
}

// run serves until SIGINT or SIGTERM.
func run(settingsFile string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return app.Run(ctx, settingsFile)
}
