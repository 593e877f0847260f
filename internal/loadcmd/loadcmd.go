// Package loadcmd is the command line of pier-load.
package loadcmd

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/demo"
	"github.com/cranberrypier/cranberrypier/internal/program"
)

// Commands are the subcommands of pier-load.
type Commands struct {
	Tour  TourCommand  `cmd:"" help:"Send a few requests of every kind and print the result of each."`
	Ready ReadyCommand `cmd:"" help:"Exit with code 0 if a router is ready for requests."`

	Run      RunCommand      `cmd:"" help:"Send the load of a mix, save the run and report what callers saw."`
	Check    CheckCommand    `cmd:"" help:"Check a run against the logs of the stand-ins."`
	Compare  CompareCommand  `cmd:"" help:"Compare runs of several policies in a table and plots."`
	Overhead OverheadCommand `cmd:"" help:"Measure the latency that a router adds, with pairs of a direct and a routed request."`
}

// TourCommand is pier-load tour.
type TourCommand struct {
	Target []string `required:"" placeholder:"URL" help:"Base URL of a router; may be repeated."`
}

// ReadyCommand is pier-load ready.
type ReadyCommand struct {
	Target string `required:"" placeholder:"URL" help:"Base URL of a router."`
}

// Env holds the context and the output of commands.
type Env struct {
	Context context.Context
	Out     io.Writer
}

// Main runs pier-load and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var cmds Commands
	parsed, done, code := program.Parse(&cmds, "pier-load", "Sends load to a running fleet and measures and checks the results.", args, out, errOut)
	if done {
		return code
	}
	return program.ReportError("pier-load", parsed.Run(&Env{Context: ctx, Out: out}), errOut)
}

// Run sends the requests of the tour.
func (c *TourCommand) Run(e *Env) error {
	d := demo.Demo{Targets: c.Target, Out: e.Out}
	return d.Run(e.Context)
}

// Run checks a router's readiness. It returns an error if the router is not
// ready.
func (c *ReadyCommand) Run(e *Env) error {
	req, err := http.NewRequestWithContext(e.Context, http.MethodGet, c.Target+"/readyz", nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s is not ready: %s", c.Target, resp.Status)
	}
	return nil
}
