package loadcmd

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/load"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// RunCommand is pier-load run.
type RunCommand struct {
	Target   []string `required:"" placeholder:"URL" help:"Base URL of a router; may be repeated."`
	Mix      string   `required:"" type:"existingfile" help:"YAML file that describes the load."`
	Document string   `required:"" type:"existingfile" help:"Document in force in the fleet; it lists the stand-ins and the prices."`
	Out      string   `required:"" type:"path" placeholder:"DIR" help:"Folder in which the run is saved."`
	Label    string   `default:"run" help:"Label of the run in reports, for example the name of the routing policy."`
	Seed     uint64   `help:"Overrides the mix's seed."`
	Balance  bool     `help:"Send only to targets that pass health checks, as a load balancer does."`
}

// CheckCommand is pier-load check.
type CheckCommand struct {
	Dir          string               `name:"run" required:"" type:"existingdir" placeholder:"DIR" help:"Folder of a run."`
	Document     string               `required:"" type:"existingfile" help:"Document in force in the fleet."`
	Platform     string               `placeholder:"ADDRESS" help:"Address of the platform stand-in; if set, bills are checked."`
	Forbid       []load.ForbiddenSpan `placeholder:"WHAT:NAME:FROM:UNTIL" help:"Span in which a zone, upstream or version may receive no new requests, in Unix milliseconds; may be repeated."`
	Killed       []load.RouterKill    `placeholder:"URL@TIME" help:"Router that was killed and the time of the kill in Unix milliseconds; may be repeated."`
	LeavingGrace time.Duration        `default:"3s" help:"Time in which a leaving upstream may still receive new requests."`
}

// CompareCommand is pier-load compare.
type CompareCommand struct {
	Dirs     []string `name:"run" required:"" type:"existingdir" placeholder:"DIR" help:"Folder of a run; repeat it for each run to compare."`
	Document string   `required:"" type:"existingfile" help:"Document in force in the fleet."`
	Out      string   `required:"" type:"path" placeholder:"DIR" help:"Folder for the table and the plots."`
}

// OverheadCommand is pier-load overhead.
type OverheadCommand struct {
	Target string `required:"" placeholder:"URL" help:"Base URL of a router."`
	Engine string `required:"" placeholder:"ADDRESS" help:"Engine that serves the model, IP:port."`
	Key    string `required:"" help:"Bearer key of a team."`
	Model  string `required:"" placeholder:"MODEL@VERSION" help:"Version to request."`
	Pairs  int    `default:"2000" help:"Number of measured pairs."`
	Stream bool   `help:"Request streamed responses."`
}

// Run sends the load, saves the run and writes its report.
func (c *RunCommand) Run(e *Env) error {
	mix, err := load.OpenMix(c.Mix)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		mix.Seed = c.Seed
	}
	d, err := openDocument(c.Document)
	if err != nil {
		return err
	}
	run, err := load.Drive(e.Context, load.Options{
		Label: c.Label, Mix: mix, Targets: c.Target, Balance: c.Balance, Document: d, Progress: e.Out,
	})
	if err != nil {
		return err
	}
	if err := run.Save(c.Out); err != nil {
		return err
	}
	return load.Report(e.Out, run, d)
}

// Run checks a saved run. It returns an error if the run violates an invariant.
func (c *CheckCommand) Run(e *Env) error {
	run, err := load.OpenRun(c.Dir)
	if err != nil {
		return err
	}
	d, err := openDocument(c.Document)
	if err != nil {
		return err
	}
	evidence := load.Evidence{Document: d, Run: run, LeavingGraceMS: c.LeavingGrace.Milliseconds(), ForbiddenSpans: c.Forbid, RouterKills: c.Killed}
	if c.Platform != "" {
		store := platform.NewClient(platform.Config{Address: c.Platform}, nil)
		defer store.Close()
		if evidence.Bills, err = load.ReadBills(e.Context, store); err != nil {
			return err
		}
	}
	if !load.ReportVerdicts(e.Out, evidence.Check()) {
		return trace.Wrap(result.New(result.Internal, "the run violates an invariant"))
	}
	return nil
}

// Run compares saved runs.
func (c *CompareCommand) Run(e *Env) error {
	d, err := openDocument(c.Document)
	if err != nil {
		return err
	}
	runs := make([]*load.Run, 0, len(c.Dirs))
	for _, dir := range c.Dirs {
		r, err := load.OpenRun(dir)
		if err != nil {
			return err
		}
		runs = append(runs, r)
	}
	return load.Compare(e.Out, runs, d, c.Out)
}

// Run measures the added latency and prints it.
func (c *OverheadCommand) Run(e *Env) error {
	r, err := load.Overhead{
		Router: c.Target, Engine: c.Engine, Key: c.Key, Target: c.Model, Pairs: c.Pairs, Streamed: c.Stream,
	}.Run(e.Context)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "%d pairs, one at a time, in milliseconds\n", r.Direct.Count)
	fmt.Fprintf(e.Out, "direct  p50 %.3f  p95 %.3f  p99 %.3f  max %.3f\n", r.Direct.P50, r.Direct.P95, r.Direct.P99, r.Direct.Max)
	fmt.Fprintf(e.Out, "routed  p50 %.3f  p95 %.3f  p99 %.3f  max %.3f\n", r.Routed.P50, r.Routed.P95, r.Routed.P99, r.Routed.Max)
	fmt.Fprintf(e.Out, "added   p50 %.3f  p99 %.3f\n", r.AddedP50, r.AddedP99)
	return nil
}

func openDocument(file string) (*document.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.Wrap(result.New(result.SettingsInvalid, "%v", err))
	}
	return document.Parse(raw)
}
