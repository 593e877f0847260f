package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
)

// Commands is the command line of pierctl.
type Commands struct {
	Settings string `type:"path" placeholder:"FILE" env:"PIERCTL_SETTINGS" help:"YAML settings file; required by commands that call agents."`

	Validate ValidateCommand `cmd:"" help:"Validate a document and list all its faults."`
	Check    CheckCommand    `cmd:"" help:"Check a configuration of the platform before it is sent, and compare it with another."`
	Submit   SubmitCommand   `cmd:"" help:"Submit a document to the fleet."`
	Show     ShowCommand     `cmd:"" help:"Print the document in force, ready to be edited and submitted."`
	Diff     DiffCommand     `cmd:"" help:"Compare the document in force with a file."`
	Status   StatusCommand   `cmd:"" help:"Show the fleet's status."`
	Timeline TimelineCommand `cmd:"" help:"Show the events of all processes in order."`
	Drain    DrainCommand    `cmd:"" help:"Stop a VM gracefully."`
	Keys     KeysCommand     `cmd:"" help:"Create certificates and key digests."`
	Explain  ExplainCommand  `cmd:"" help:"Explain from logs what happened to a request and why."`
	Site     SiteCommand     `cmd:"" help:"Show the configuration, upstreams, roll-outs and withdrawn zones in the platform's store."`
}

// Env is the environment in which commands run.
type Env struct {
	Context context.Context
	Out     io.Writer
	// SettingsPath is the path of the settings file; empty if not set.
	SettingsPath string
}

// connect returns a client configured by the settings file.
func (e *Env) connect() (*Client, error) {
	if e.SettingsPath == "" {
		return nil, trace.Wrap(result.New(result.SettingsInvalid, "--settings is missing, expected the path of pierctl's settings"))
	}
	var s settings.Ctl
	if err := settings.Load(e.SettingsPath, &s); err != nil {
		return nil, trace.Wrap(err)
	}
	store, err := pki.Open(s.TLS, s.Fleet)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return NewClient(s.Agents, store.Client(pki.RoleAgent), s.Timeout.D()), nil
}

// withClient runs f with a client and closes the client afterwards.
func (e *Env) withClient(f func(*Client) error) error {
	c, err := e.connect()
	if err != nil {
		return trace.Wrap(err)
	}
	defer c.Close()
	return trace.Wrap(f(c))
}

func readDocument(path string) (*document.Document, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(result.New(result.DocumentInvalid, "%s: can't be read: %v", path, errors.Unwrap(err)))
	}
	d, err := document.Load(b)
	return d, trace.Wrap(err)
}

// ValidateCommand is pierctl validate.
type ValidateCommand struct {
	File string `arg:"" type:"path" help:"The document."`
}

// Run implements the command.
func (c *ValidateCommand) Run(e *Env) error {
	d, err := readDocument(c.File)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(e.Out, "%s is valid: fleet %s, %d zones, %d models, %d upstreams, %d teams\n",
		c.File, d.Fleet, len(d.Zones), len(d.Models), len(d.Upstreams), len(d.Teams))
	if exceeding := d.DescribeRequestsLongerThan(settings.DefaultGracePeriod.D()); len(exceeding) > 0 {
		fmt.Fprintf(e.Out, "note: a planned stop waits longer than the default drain.grace of %s for:\n  %s\n",
			settings.DefaultGracePeriod.D(), strings.Join(exceeding, "\n  "))
	}
	return nil
}

// SubmitCommand is pierctl submit.
type SubmitCommand struct {
	File    string        `arg:"" type:"path" help:"The document."`
	Base    *uint64       `placeholder:"N" help:"Generation that the document replaces. Default is the file's base or, if it has none, the generation in force."`
	Wait    bool          `help:"Wait until the document is in force on every live VM."`
	Timeout time.Duration `default:"30s" help:"Limit for the whole command."`
}

// Run implements the command.
func (c *SubmitCommand) Run(e *Env) error {
	d, err := readDocument(c.File)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(e.Context, c.Timeout)
	defer cancel()
	return e.withClient(func(client *Client) error { return c.submit(ctx, e, client, d) })
}

func (c *SubmitCommand) submit(ctx context.Context, e *Env, client *Client, d *document.Document) error {
	base, err := c.base(ctx, client, d)
	if err != nil {
		return trace.Wrap(err)
	}
	start := time.Now()
	submitted, err := client.Submit(ctx, Submission{Document: d, Base: base})
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(e.Out, "%s as generation %d\n", choose(submitted.AlreadyInForce, "already in force", "accepted"), submitted.Generation)
	if !c.Wait {
		return nil
	}
	lagging, err := client.Wait(ctx, submitted.Generation)
	for _, l := range lagging {
		fmt.Fprintf(e.Out, "lagging: %s\n", l)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(e.Out, "in force on every live VM after %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}

// base returns the base from the flag, else from the file, else the generation
// in force.
func (c *SubmitCommand) base(ctx context.Context, client *Client, d *document.Document) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	if d.Base != 0 {
		return d.Base, nil
	}
	s, err := client.Status(ctx)
	return s.Generation, trace.Wrap(err)
}

// ShowCommand is pierctl show; it prints the document in force.
type ShowCommand struct{}

// Run implements the command.
func (c *ShowCommand) Run(e *Env) error {
	return e.withClient(func(client *Client) error {
		d, generation, err := client.Document(e.Context)
		if err != nil {
			return trace.Wrap(err)
		}
		// With this base, a submission of the edited file replaces only the
		// generation that was printed, not a newer one.
		d.Generation, d.Base = 0, generation
		b, err := document.Encode(d)
		if err != nil {
			return trace.Wrap(err)
		}
		_, err = e.Out.Write(b)
		return trace.Wrap(err)
	})
}

// DiffCommand is pierctl diff; it compares a file with the document in force.
type DiffCommand struct {
	File string `arg:"" type:"path" help:"The document."`
}

// Run implements the command.
func (c *DiffCommand) Run(e *Env) error {
	d, err := readDocument(c.File)
	if err != nil {
		return trace.Wrap(err)
	}
	return e.withClient(func(client *Client) error {
		inForce, generation, err := client.Document(e.Context)
		if err != nil {
			return trace.Wrap(err)
		}
		changes := document.Diff(inForce, d)
		fmt.Fprintf(e.Out, "%d changes against generation %d\n", len(changes), generation)
		for _, change := range changes {
			fmt.Fprintln(e.Out, change)
		}
		return nil
	})
}

// StatusCommand is pierctl status.
type StatusCommand struct{}

// Run implements the command.
func (c *StatusCommand) Run(e *Env) error {
	return e.withClient(func(client *Client) error {
		s, err := client.Status(e.Context)
		if err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(WriteStatus(e.Out, s))
	})
}

// TimelineCommand is pierctl timeline; it prints events.
type TimelineCommand struct {
	Request string        `placeholder:"ID" help:"Show only events of this request."`
	Since   time.Duration `default:"10m" help:"How far back to start."`
	Follow  bool          `help:"Keep showing new events until interrupted."`
}

// Run implements the command.
func (c *TimelineCommand) Run(e *Env) error {
	return e.withClient(func(client *Client) error {
		f := NewFollower(time.Now().Add(-c.Since).UnixMilli())
		for again := true; again; {
			if err := c.printNew(e, client, f); err != nil {
				return err
			}
			again = c.Follow && ctxwait.For(e.Context, followInterval)
		}
		return nil
	})
}

// printNew prints the new events. With --follow it prints an error and returns
// nil, so that the caller retries.
func (c *TimelineCommand) printNew(e *Env, client *Client, f *Follower) error {
	t, err := client.Timeline(e.Context, f.SinceMS(), c.Request)
	if err == nil {
		c.printTimeline(e, f, t)
		return nil
	}
	if !c.Follow {
		return trace.Wrap(err)
	}
	fmt.Fprintln(e.Out, "cannot read the timeline, retrying:", result.From(err))
	return nil
}

func (c *TimelineCommand) printTimeline(e *Env, f *Follower, t Timeline) {
	for _, event := range f.New(t.Events) {
		WriteEvent(e.Out, event)
	}
	if c.Follow {
		return
	}
	for _, g := range t.Gaps {
		fmt.Fprintf(e.Out, "gap: %s/%s#%d dropped events %d to %d\n", g.VM, g.Role, g.Incarnation, g.From, g.To)
	}
	for _, vm := range t.Missing {
		fmt.Fprintf(e.Out, "missing: the events of %s could not be read\n", vm)
	}
}

// DrainCommand is pierctl drain; it stops a VM gracefully.
type DrainCommand struct {
	VM string `arg:"" help:"Name of the VM."`
}

// Run implements the command.
func (c *DrainCommand) Run(e *Env) error {
	return e.withClient(func(client *Client) error {
		d, err := client.Drain(e.Context, c.VM)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintln(e.Out, strings.TrimSpace(d.VM+" is draining "+d.Detail))
		return nil
	})
}
